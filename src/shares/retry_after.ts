/** Spreads the retries of refused callers. */
import {MAX_REMAINING_FRACTION} from './told_callers';

/** Inputs to the time after which a refused caller may retry; times are in milliseconds. */
export interface RetrySpread {
  /** Predicted time until an engine has room. */
  readonly predictedMs: number;
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
  readonly minMs: number;
  /** Random number, 0 to 1. */
  readonly random: number;
}

/** Returns a random time, in milliseconds, up to the one at which there is room: callers that were told the same time would return together. */
export function computeSpreadRetryMs(spread: RetrySpread): number {
  const {predictedMs, remainingMs, minMs, random} = spread;
  const maxMs = Math.min(predictedMs, remainingMs * MAX_REMAINING_FRACTION);
  return Math.round(minMs + Math.max(0, maxMs - minMs) * random);
}
