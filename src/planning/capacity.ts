/**
 * Estimates the utilization of a fleet for a given split of engine roles. The estimate is a fluid
 * model: it works with average rates, not with single requests.
 */
import type {EngineReport} from '../backends';
import type {Demand, RoleCounts} from './types';

/** Performance of one engine, averaged over the fleet. */
export interface EngineRates {
  readonly prefillTokensPerS: number;
  /** Fixed time of a decode step, whatever the batch size, in milliseconds. */
  readonly decodeStepMs: number;
  /** Time that each running request adds to a decode step, in milliseconds. */
  readonly decodeStepMsPerRequest: number;
}

/** Longest decode step of a full batch, and so the longest time between tokens, in milliseconds. */
const TARGET_DECODE_STEP_MS = 42;
/** Prompt tokens that a mixed engine prefills in one step beside the decoding requests. */
const MIXED_CHUNK_TOKENS = 256;
const BISECTION_STEPS = 24;
/** Upper bound of the search; returned for a load that no engine can serve. */
const MAX_UTILIZATION = 100;

/** Load as a number of engines: 1 keeps one engine busy if nothing else takes its time. */
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

/** Converts a demand in tokens per second to a load in engines. */
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
 * Returns the utilization of the engines under a load, found by bisection; above 1 the engines are
 * overloaded. A request runs either entirely on a mixed engine, or its prompt on a prefill engine
 * and its decoding on a decode engine, so prefill engines are of no use without decode engines, nor
 * the reverse. A prefill engine prefills at its full rate. Decode and mixed engines spend a fixed
 * time on each step, and a mixed engine prefills at most one chunk per step.
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
  // A step with a chunk takes decodeStepMs + chunkMs, and decodeStepMsPerRequest for each request.
  const chunkMs = (MIXED_CHUNK_TOKENS / rates.prefillTokensPerS) * 1_000;
  const chunkCost = (rates.decodeStepMs + chunkMs) / chunkMs;
  const isWithinSteps = prefill + decode <= counts.mixed * perRequestFraction;
  const isWithinChunks = prefill * chunkCost + decode <= counts.mixed;
  return isWithinSteps && isWithinChunks;
}

/**
 * Returns the fraction of the requests that prefill and decode engines can serve together, 0 to 1.
 * `perRequestFraction` is the part of a step that is left after its fixed time.
 */
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
