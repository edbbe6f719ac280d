/** Decides whether a request can make its deadline, and says when to come back. */
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';

/** What is predicted of a request that is about to wait or start. */
export interface Outlook {
  readonly waitMs: number;
  readonly completionMs: number;
  /** Time to the deadline, in milliseconds. */
  readonly slackMs: number;
}

/** Least and most time after which a refused caller is asked to come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Returns the refusal of a request that cannot make its deadline. */
export function tryGetRefusal(outlook: Outlook): RequestFailure | undefined {
  const totalMs = outlook.waitMs + outlook.completionMs;
  if (totalMs <= outlook.slackMs) return undefined;
  return createOverloaded(
    `the answer would take ${Math.round(totalMs)} ms and the deadline is in ${Math.round(outlook.slackMs)} ms`,
    totalMs - outlook.slackMs,
  );
}

/** Creates the refusal of a request that was never sent. */
export function createOverloaded(
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
