/** How much work a set of roles can do: a fluid estimate, in engines. */
import type {EngineReport} from '../backends';
import type {Demand, RoleCounts} from './types';

/** What one engine can do; the fleet's average. */
export interface EngineRates {
  readonly prefillTokensPerS: number;
  readonly decodeStepMs: number;
  readonly decodeStepMsPerRequest: number;
}

/** Time between tokens that a full batch should stay within, in milliseconds. */
const TARGET_DECODE_STEP_MS = 42;
/** Prompt tokens that a mixed engine prefills in a step while others decode. */
const MIXED_CHUNK_TOKENS = 256;
const BISECTION_STEPS = 24;
/** Utilization reported for work that no engine can do. */
const MAX_UTILIZATION = 100;

/** Work in engines: 1 keeps one engine busy when nothing else costs time. */
export interface OfferedLoad {
  readonly prefill: number;
  readonly decode: number;
}

/** Returns the average rates of the engines. */
export function computeRates(reports: readonly EngineReport[]): EngineRates {
  const count = Math.max(1, reports.length);
  const average = (get: (report: EngineReport) => number): number =>
    reports.reduce((sum, report) => sum + get(report), 0) / count;
  return {
    prefillTokensPerS: average(report => report.prefillTokensPerS),
    decodeStepMs: average(report => report.decodeStepMs),
    decodeStepMsPerRequest: average(report => report.decodeStepMsPerRequest),
  };
}

/** Returns the demand as work in engines. */
export function computeOfferedLoad(
  demand: Demand,
  rates: EngineRates,
): OfferedLoad {
  return {
    prefill: demand.prefillTokensPerS / Math.max(1, rates.prefillTokensPerS),
    decode: (demand.decodeTokensPerS * rates.decodeStepMsPerRequest) / 1_000,
  };
}

/**
 * Returns the part of the roles' capacity that the work takes; above 1 it is too much.
 * A request goes whole to a mixed engine, or its prompt to a prefill engine and the
 * rest to a decode engine, so that one without the other has no work. A prefill engine
 * prefills at full rate; the others spend a fixed time on each step, and a mixed one
 * prefills only a chunk in it.
 */
export function computeUtilization(
  counts: RoleCounts,
  load: OfferedLoad,
  rates: EngineRates,
): number {
  if (load.prefill + load.decode === 0) return 0;
  let low = 0;
  let high = MAX_UTILIZATION;
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middle = (low + high) / 2;
    const scaledLoad = {
      prefill: load.prefill / middle,
      decode: load.decode / middle,
    };
    if (isWithinCapacity(counts, scaledLoad, rates)) high = middle;
    else low = middle;
  }
  return high;
}

function isWithinCapacity(
  counts: RoleCounts,
  load: OfferedLoad,
  rates: EngineRates,
): boolean {
  const perRequestFraction = 1 - rates.decodeStepMs / TARGET_DECODE_STEP_MS;
  const disaggregatedFraction = getDisaggregatedFraction(
    counts,
    load,
    perRequestFraction,
  );
  const mixedFraction = 1 - disaggregatedFraction;
  const prefill = mixedFraction * load.prefill;
  const decode = mixedFraction * load.decode;
  if (decode === 0) return prefill <= counts.mixed;
  // A step with a chunk lasts (decodeStepMs + chunkMs) and what its requests add.
  const chunkMs = (MIXED_CHUNK_TOKENS / rates.prefillTokensPerS) * 1_000;
  const chunkCost = (rates.decodeStepMs + chunkMs) / chunkMs;
  const isWithinSteps = prefill + decode <= counts.mixed * perRequestFraction;
  const isWithinChunks = prefill * chunkCost + decode <= counts.mixed;
  return isWithinSteps && isWithinChunks;
}

/** The part of the requests that prefill and decode engines can share between them. */
function getDisaggregatedFraction(
  counts: RoleCounts,
  load: OfferedLoad,
  perRequestFraction: number,
): number {
  if (counts.prefill === 0 || counts.decode === 0) return 0;
  const byPrefill = load.prefill === 0 ? 1 : counts.prefill / load.prefill;
  const byDecode =
    load.decode === 0 ? 1 : (counts.decode * perRequestFraction) / load.decode;
  return Math.min(1, byPrefill, byDecode);
}
