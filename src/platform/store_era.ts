/** The era of the store, which every answer states and which rises each time that the store loses its newest records. */
import {isStoreEra} from '../gateway';

/** Tracks the highest known era. */
export interface EraTracker {
  /** Returns the highest known era; 0 before the first answer. */
  get(): number;
  /** Raises the highest known era to that of another node. */
  observe(era: number): void;
  /** Records the header of an answer; returns its era, or undefined when the answer is stale. */
  record(header: string | string[] | undefined): number | undefined;
}

/** Creates a tracker; `onAnomaly` is called with a description, once for each series of answers with the same anomaly. */
export function createEraTracker(
  onAnomaly: (description: string) => void,
): EraTracker {
  let highest: number | undefined;
  let lastAnomaly: string | undefined;
  return {get: () => highest ?? 0, observe, record};

  function observe(era: number): void {
    if (isStoreEra(era)) highest = Math.max(highest ?? 0, era);
  }

  function record(header: string | string[] | undefined): number | undefined {
    const stated = tryParseEra(header);
    const era = stated ?? 0;
    reportAnomaly(header, stated);
    if (highest !== undefined && era < highest) return undefined;
    highest = era;
    return era;
  }

  function reportAnomaly(
    header: string | string[] | undefined,
    stated: number | undefined,
  ): void {
    const anomaly = tryFindAnomaly(header, stated);
    if (anomaly !== undefined && anomaly !== lastAnomaly) onAnomaly(anomaly);
    lastAnomaly = anomaly;
  }

  function tryFindAnomaly(
    header: string | string[] | undefined,
    stated: number | undefined,
  ): string | undefined {
    if (header !== undefined && stated === undefined) return 'era is no number';
    if (highest === undefined) return undefined;
    if (stated === undefined) {
      return highest > 0 ? 'era is missing' : undefined;
    }
    if (stated < highest) return 'era is lower than a known one';
    return stated > highest + 1 ? 'era rose by more than one' : undefined;
  }
}

function tryParseEra(
  header: string | string[] | undefined,
): number | undefined {
  if (typeof header !== 'string' || !/^\d{1,7}$/.test(header)) return undefined;
  const era = Number(header);
  return isStoreEra(era) ? era : undefined;
}
