/** Admission control: refuses a request that cannot meet its deadline and says when to retry. */
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';

/** Predicted times of a request that is about to be queued or sent. */
export interface DeadlineEstimate {
  /** Time in this node's queue. */
  readonly waitMs: number;
  /** Time from sending the request to the end of the answer. */
  readonly completionMs: number;
  readonly timeToDeadlineMs: number;
}

/** Bounds of the retry delay that a refused caller is given, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Returns a refusal if the request is predicted to miss its deadline. */
export function tryGetDeadlineRefusal(
  estimate: DeadlineEstimate,
): RequestFailure | undefined {
  const totalMs = estimate.waitMs + estimate.completionMs;
  if (totalMs <= estimate.timeToDeadlineMs) return undefined;
  return createOverloadedFailure(
    `the answer would take ${Math.round(totalMs)} ms and the deadline is in ${Math.round(estimate.timeToDeadlineMs)} ms`,
    totalMs - estimate.timeToDeadlineMs,
  );
}

/** Creates an `overloaded` refusal of a request that was not sent to any engine. */
export function createOverloadedFailure(
  message: string,
  backlogMs: number,
): RequestFailure {
  return createFailure(FailureKind.Overloaded, message, {
    verdict: Verdict.NotRun,
    retryAfterMs: getRetryAfterMs(backlogMs),
  });
}

/** Returns the retry delay for a predicted backlog: the time the backlog takes, within bounds. */
export function getRetryAfterMs(backlogMs: number): number {
  const wholeMs = Math.ceil(backlogMs);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wholeMs));
}
