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
const TARGET_STEP_MS = 42;
/** Prompt tokens that a mixed engine prefills in a step while others decode. */
const MIXED_CHUNK_TOKENS = 256;
const SEARCH_STEPS = 24;
/** Utilization reported for work that no engine can do. */
const MAX_UTILIZATION = 100;

/** Work in engines: 1 keeps one engine busy when nothing else costs time. */
export interface Work {
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
export function computeWork(demand: Demand, rates: EngineRates): Work {
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
  work: Work,
  rates: EngineRates,
): number {
  if (work.prefill + work.decode === 0) return 0;
  let low = 0;
  let high = MAX_UTILIZATION;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middle = (low + high) / 2;
    const part = {
      prefill: work.prefill / middle,
      decode: work.decode / middle,
    };
    if (isServed(counts, part, rates)) high = middle;
    else low = middle;
  }
  return high;
}

function isServed(counts: RoleCounts, work: Work, rates: EngineRates): boolean {
  const useful = 1 - rates.decodeStepMs / TARGET_STEP_MS;
  const split = getSplitPart(counts, work, useful);
  const whole = 1 - split;
  const prefill = whole * work.prefill;
  const decode = whole * work.decode;
  if (decode === 0) return prefill <= counts.mixed;
  // A step with a chunk lasts (decodeStepMs + chunkMs) and what its requests add.
  const chunkMs = (MIXED_CHUNK_TOKENS / rates.prefillTokensPerS) * 1_000;
  const chunkCost = (rates.decodeStepMs + chunkMs) / chunkMs;
  const isWithinSteps = prefill + decode <= counts.mixed * useful;
  const isWithinChunks = prefill * chunkCost + decode <= counts.mixed;
  return isWithinSteps && isWithinChunks;
}

/** The part of the requests that prefill and decode engines can share between them. */
function getSplitPart(counts: RoleCounts, work: Work, useful: number): number {
  if (counts.prefill === 0 || counts.decode === 0) return 0;
  const byPrefill = work.prefill === 0 ? 1 : counts.prefill / work.prefill;
  const byDecode =
    work.decode === 0 ? 1 : (counts.decode * useful) / work.decode;
  return Math.min(1, byPrefill, byDecode);
}
