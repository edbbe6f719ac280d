/** Checks requests when they are submitted, and creates the failures that need no engine. */
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import type {AccountLimiter} from './account_limiter';
import {getRetryAfterMs} from './admission';
import type {OpenRequest} from './open_request';

/** Retry delay given by a draining node, in milliseconds; short, as another node will answer. */
const DRAINING_RETRY_AFTER_MS = 100;
/** Retry delay given when no engine serves the model, in milliseconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 2_000;

/** Returns a refusal, or counts an admitted request against its client account's limits. */
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

/** Creates the refusal of a draining node. */
export function createDrainingFailure(): RequestFailure {
  return createFailure(FailureKind.Unavailable, 'the node is stopping', {
    retryAfterMs: DRAINING_RETRY_AFTER_MS,
  });
}
