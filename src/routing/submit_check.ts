/** Checks a request at its submission, and makes the failures that need no engine. */
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import type {AccountLimiter} from './account_limiter';
import {getRetryAfterMs} from './admission';
import type {OpenRequest} from './open_request';

/** When a caller should come back to a node that drains: another node answers. */
const DRAINING_RETRY_AFTER_MS = 100;
const UNAVAILABLE_RETRY_AFTER_MS = 2_000;

/** Returns the refusal of a request that should not be placed; else takes it into the limits. */
export function tryGetSubmitRefusal(
  entry: OpenRequest,
  limiter: AccountLimiter | undefined,
  nowMs: number,
): RequestFailure | undefined {
  const {request, pool} = entry;
  if (request.deadlineAtMs <= nowMs) return createDeadlineFailure(entry);
  if (pool.all.length === 0 && !pool.hasReturningEngine) {
    return createFailure(
      FailureKind.Unavailable,
      `no engine with model ${request.model} is available`,
      {retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS},
    );
  }
  return limiter && tryGetLimitRefusal(entry, limiter, nowMs);
}

function tryGetLimitRefusal(
  entry: OpenRequest,
  limiter: AccountLimiter,
  nowMs: number,
): RequestFailure | undefined {
  const {clientAccount, limits} = entry.request;
  if (limits === undefined) return undefined;
  const admission = limiter.tryAdmit(clientAccount, limits, nowMs);
  if (admission.kind === 'refused') {
    return createFailure(FailureKind.LimitExceeded, admission.reason, {
      retryAfterMs: getRetryAfterMs(admission.retryAfterMs),
    });
  }
  entry.releaseLimits = admission.release;
  return undefined;
}

/** Creates the failure of a request whose deadline has passed. */
export function createDeadlineFailure(entry: OpenRequest): RequestFailure {
  return createFailure(
    FailureKind.DeadlineExceeded,
    'the deadline passed before the answer was complete',
    {verdict: entry.mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun},
  );
}

/** Creates the refusal of a node that stops. */
export function createDrainingFailure(): RequestFailure {
  return createFailure(FailureKind.Unavailable, 'the node is stopping', {
    retryAfterMs: DRAINING_RETRY_AFTER_MS,
  });
}
