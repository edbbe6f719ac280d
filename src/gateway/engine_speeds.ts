/** Speeds of the model engines of each service, learned from their answers. */
import {computeReadMs, DEFAULT_SPEEDS, type EngineSpeeds} from './engine_costs';

/** What other nodes learn from one that has measured. */
export interface SpeedFigures {
  readonly service: string;
  /** Observed over sheet time of reading prompts; absent when no prompt was read. */
  readonly readFactor?: number;
  /** Mean time of a stream by route, in milliseconds. */
  readonly runMs: Readonly<Record<string, number>>;
}

/** Learned speeds. */
export interface EngineSpeedBook {
  /** Returns the time to read a prompt of which `cachedTokens` are kept, in milliseconds. */
  predictReadMs(
    service: string,
    promptTokens: number,
    cachedTokens: number,
  ): number;
  /** Returns how long a stream of a route keeps its slot, in milliseconds. */
  predictRunMs(service: string, route: string): number;
  /** Takes a prompt that was read: what the sheet says and what it took, in milliseconds. */
  recordRead(service: string, sheetMs: number, observedMs: number): void;
  /** Takes a stream that ran to its end, and how long it kept its slot, in milliseconds. */
  recordRun(service: string, route: string, runMs: number): void;
  /** Observed over sheet time of reading prompts; 1 when nothing was measured. */
  getReadFactor(service: string): number;
  listFigures(): SpeedFigures[];
  /** Takes what another node has measured, where this one has measured less. */
  addFigures(figures: readonly SpeedFigures[]): void;
}

/** A quotient of two sums in which old samples fade. */
interface FadingQuotient {
  observed: number;
  expected: number;
}

interface ServiceSpeeds {
  readonly read: FadingQuotient;
  /** Time of streams over their number, by route. */
  readonly runs: Map<string, FadingQuotient>;
  samples: number;
}

/** Part of the older samples that is left after a new one: some fifty count. */
const FADE = 0.98;
/** Samples of its own from which on a node no longer takes the figures of others. */
const ENOUGH_SAMPLES = 20;
/** Weight of another node's figures: some reads of 100 ms by the sheet, and some streams. */
const READ_FIGURE_MS = 500;
const RUN_FIGURE_COUNT = 5;
/** Time of a stream that is assumed before one has ended, in milliseconds: a short answer. */
const ASSUMED_RUN_MS = 100;
/** How far from the learned speed one sample may be, so that a stalled engine doesn't set the speed of all. */
const MAX_DEVIATION = 2;
/** Samples from which on outliers are bounded. */
const TRUSTED_SAMPLES = 5;

/** Creates a book that knows the sheets' speeds only. */
export function createEngineSpeeds(
  sheet: EngineSpeeds = DEFAULT_SPEEDS,
): EngineSpeedBook {
  const services = new Map<string, ServiceSpeeds>();
  return {
    predictReadMs: (service, promptTokens, cachedTokens) =>
      computeReadMs(promptTokens, cachedTokens, sheet) * getReadFactor(service),
    predictRunMs: (service, route) =>
      computeQuotient(services.get(service)?.runs.get(route)) ?? ASSUMED_RUN_MS,
    recordRead: (service, sheetMs, observedMs) => {
      const speeds = getSpeeds(service);
      addSample(speeds.read, observedMs, sheetMs, speeds.samples);
      speeds.samples++;
    },
    recordRun: (service, route, runMs) => {
      addFaded(getRun(service, route), runMs, 1);
    },
    getReadFactor,
    listFigures: () => [...services].map(formatFigures),
    addFigures,
  };

  function getReadFactor(service: string): number {
    return computeQuotient(services.get(service)?.read) ?? 1;
  }

  function addFigures(figures: readonly SpeedFigures[]): void {
    for (const {service, readFactor, runMs} of figures) {
      const speeds = getSpeeds(service);
      if (readFactor !== undefined && speeds.samples < ENOUGH_SAMPLES) {
        setQuotient(speeds.read, readFactor, READ_FIGURE_MS);
      }
      for (const [route, meanMs] of Object.entries(runMs)) {
        const run = getRun(service, route);
        if (run.expected >= RUN_FIGURE_COUNT) continue;
        setQuotient(run, meanMs, RUN_FIGURE_COUNT);
      }
    }
  }

  function getRun(service: string, route: string): FadingQuotient {
    const {runs} = getSpeeds(service);
    const known = runs.get(route);
    if (known !== undefined) return known;
    const created = {observed: 0, expected: 0};
    runs.set(route, created);
    return created;
  }

  function getSpeeds(service: string): ServiceSpeeds {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = {
      read: {observed: 0, expected: 0},
      runs: new Map<string, FadingQuotient>(),
      samples: 0,
    };
    services.set(service, created);
    return created;
  }
}

function computeQuotient(sums: FadingQuotient | undefined): number | undefined {
  if (sums === undefined || sums.expected <= 0) return undefined;
  return sums.observed / sums.expected;
}

function setQuotient(
  sums: FadingQuotient,
  quotient: number,
  weight: number,
): void {
  sums.expected = weight;
  sums.observed = weight * quotient;
}

function formatFigures([service, speeds]: [
  string,
  ServiceSpeeds,
]): SpeedFigures {
  const readFactor = computeQuotient(speeds.read);
  const runMs: Record<string, number> = {};
  for (const [route, run] of speeds.runs) {
    const meanMs = computeQuotient(run);
    if (meanMs !== undefined) runMs[route] = Math.round(meanMs);
  }
  return {service, ...(readFactor === undefined ? {} : {readFactor}), runMs};
}

function addSample(
  sums: FadingQuotient,
  observed: number,
  expected: number,
  samples: number,
): void {
  if (expected <= 0 || observed < 0) return;
  const known = computeQuotient(sums);
  const bounded =
    known === undefined || samples < TRUSTED_SAMPLES
      ? observed
      : Math.min(
          known * expected * MAX_DEVIATION,
          Math.max((known * expected) / MAX_DEVIATION, observed),
        );
  addFaded(sums, bounded, expected);
}

function addFaded(
  sums: FadingQuotient,
  observed: number,
  expected: number,
): void {
  sums.observed = sums.observed * FADE + observed;
  sums.expected = sums.expected * FADE + expected;
}
