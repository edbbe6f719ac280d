/** Decides whether a failed attempt is retried or the request fails. */
import type {BackendFailure} from '../backends';
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import {addTriedEngine, type Attempt, type OpenRequest} from './open_request';
import type {RetryBudget} from './retry_budget';

/** Whether to retry or to fail the request. */
export type RetryDecision =
  | {readonly kind: 'retry'}
  | {readonly kind: 'fail'; readonly failure: RequestFailure};

/** Number of failed attempts that may have run after which a request fails. */
const MAX_FAILED_ENGINES = 3;
/**
 * Number of engines tried after which a request fails. Larger than `MAX_FAILED_ENGINES`, since
 * a whole failure domain may be unreachable.
 */
const MAX_TRIED_ENGINES = 8;
/** How long no request is sent to an engine after it refused one, in milliseconds. */
const REFUSAL_BACKOFF_MS = 500;
/** Retry delay given to the caller of a failed request, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** Records a failed attempt in its request and decides whether to retry. */
export function applyAttemptFailure(
  entry: OpenRequest,
  attempt: Attempt,
  failure: BackendFailure,
  options: {budget: RetryBudget; nowMs: number},
): RetryDecision {
  if (failure.verdict !== Verdict.NotRun) {
    entry.mayHaveRun = true;
    entry.failureCount++;
  }
  addTriedEngine(entry, attempt.engine);
  if (isRefusal(failure)) {
    attempt.engine.refusedUntilMs = options.nowMs + REFUSAL_BACKOFF_MS;
  }
  const isUnexecutedDecode =
    attempt.phase === 'decode' && failure.verdict === Verdict.NotRun;
  if (!isUnexecutedDecode) entry.kv = undefined;
  const isSafe =
    entry.request.idempotent || !entry.mayHaveRun || isUnexecutedDecode;
  if (!isSafe) return createFailDecision(failure, failure.message);
  const triedCount = entry.triedEngines?.size ?? 0;
  if (
    entry.failureCount >= MAX_FAILED_ENGINES ||
    triedCount >= MAX_TRIED_ENGINES
  ) {
    return createFailDecision(failure, failure.message);
  }
  // Not charged to the retry budget. A refused decode costs the engine nothing, and an answer
  // that has begun must not be lost because of it.
  const isExemptFromBudget =
    tryUseContinuation(entry, attempt) ||
    (isUnexecutedDecode && isRefusal(failure)) ||
    isNewlyUnreachable(attempt, failure, options.nowMs);
  if (!isExemptFromBudget && !options.budget.tryTake()) {
    return createFailDecision(
      failure,
      `${failure.message}; the retry budget is used up`,
    );
  }
  return {kind: 'retry'};
}

/**
 * Returns whether a broken answer may be continued on another engine outside the retry
 * budget. Each request has one such continuation, which this call uses up: a crash breaks
 * each open answer once, so these retries cannot grow into a retry storm.
 */
function tryUseContinuation(entry: OpenRequest, attempt: Attempt): boolean {
  if (attempt.firstTokenAtMs < 0 || entry.hasContinued) return false;
  entry.hasContinued = true;
  return true;
}

/**
 * Returns whether the attempt failed because its engine is unreachable and now ejected.
 * An unreachable engine is ejected at its first failure and not used while it does not
 * report, so each node makes such a retry once for an engine, and needs no budget for it.
 */
function isNewlyUnreachable(
  attempt: Attempt,
  failure: BackendFailure,
  nowMs: number,
): boolean {
  const {health} = attempt.engine;
  return (
    failure.kind === 'unavailable' &&
    failure.verdict === Verdict.NotRun &&
    nowMs < health.ejectedUntilMs
  );
}

/** Returns whether a failure counts against the server's health, and not only against its load. */
export function isHealthFailure(failure: BackendFailure): boolean {
  return (
    failure.kind === 'unavailable' ||
    failure.kind === 'broken' ||
    failure.kind === 'timeout'
  );
}

function isRefusal(failure: BackendFailure): boolean {
  return failure.kind === 'refused' || failure.kind === 'overloaded';
}

function createFailDecision(
  failure: BackendFailure,
  message: string,
): RetryDecision {
  return {
    kind: 'fail',
    failure: createFailure(FailureKind.BackendFailed, message, {
      verdict: failure.verdict,
      retryAfterMs: RETRY_AFTER_MS,
    }),
  };
}
