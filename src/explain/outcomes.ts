/** Builds and collects outcomes. */
import {
  DEFAULT_RETRY_AFTER_MS,
  getFailureStatus,
} from '../gateway/request_task';
import {Verdict} from '../verdict';
import type {MsRange, Outcome} from './types';

const STATUS_UNAVAILABLE = 503;

/** Creates the refusal that a request which was not sent gets for a reason. */
export function createRefusal(
  reason: string,
  retryAfterMs: number | MsRange = DEFAULT_RETRY_AFTER_MS,
): Outcome {
  const status = getFailureStatus(Verdict.NotRun, reason);
  if (status !== STATUS_UNAVAILABLE) return {kind: 'refuse', status, reason};
  const range =
    typeof retryAfterMs === 'number'
      ? {min: retryAfterMs, max: retryAfterMs}
      : retryAfterMs;
  return {kind: 'refuse', status, reason, retryAfterMs: range};
}

/** Returns the outcomes without repetitions, in order. */
export function collectDistinct(outcomes: readonly Outcome[]): Outcome[] {
  const byText = new Map(outcomes.map(item => [JSON.stringify(item), item]));
  return [...byText.values()];
}
