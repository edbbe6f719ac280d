/** Decides whether a request can make its deadline, and says when to come back. */
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';

/** What is predicted of a request that is about to wait or start. */
export interface DeadlineEstimate {
  readonly waitMs: number;
  readonly completionMs: number;
  /** Time to the deadline, in milliseconds. */
  readonly timeToDeadlineMs: number;
}

/** Least and most time after which a refused caller is asked to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Returns the refusal of a request that cannot make its deadline. */
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

/** Creates the refusal of a request that was never sent. */
export function createOverloadedFailure(
  message: string,
  backlogMs: number,
): RequestFailure {
  return createFailure(FailureKind.Overloaded, message, {
    verdict: Verdict.NotRun,
    retryAfterMs: getRetryAfterMs(backlogMs),
  });
}

/** Returns when a caller should come back, given a predicted backlog. */
export function getRetryAfterMs(backlogMs: number): number {
  const wholeMs = Math.ceil(backlogMs);
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wholeMs));
}
