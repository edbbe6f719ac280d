/** Decides what follows a failed attempt: another one, or the failure for the caller. */
import type {BackendFailure} from '../backends';
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import {addTriedEngine, type Attempt, type OpenRequest} from './open_request';
import type {RetryBudget} from './retry_budget';

/** What follows a failed attempt. */
export type RetryDecision =
  | {readonly kind: 'retry'}
  | {readonly kind: 'fail'; readonly failure: RequestFailure};

/** Most engines that may work on a request because others failed it. */
const MAX_FAILED_ENGINES = 3;
/** Most engines tried that did not run it: a failure domain may be out of reach as a whole. */
const MAX_TRIED_ENGINES = 8;
/** How long an engine that refused a request is spared, in milliseconds. */
const REFUSAL_BACKOFF_MS = 500;
const RETRY_AFTER_MS = 1_000;

/** Updates the request for a failed attempt and decides what follows. */
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
  // A refusal costs the engine nothing, and a begun answer must not end for it.
  const isExemptFromBudget =
    tryUseContinuation(entry, attempt) ||
    (isUnexecutedDecode && isRefusal(failure)) ||
    isNewlyUnreachable(attempt, failure, options.nowMs);
  if (!isExemptFromBudget && !options.budget.tryTake()) {
    return createFailDecision(failure, `${failure.message}; no retry is left`);
  }
  return {kind: 'retry'};
}

/**
 * An answer that broke off after it began goes on elsewhere once beside the budget:
 * a crash breaks each open answer once, so this cannot grow into a storm.
 */
function tryUseContinuation(entry: OpenRequest, attempt: Attempt): boolean {
  if (attempt.firstTokenAtMs < 0 || entry.hasContinued) return false;
  entry.hasContinued = true;
  return true;
}

/**
 * A server out of reach is ejected at its first failure and left alone while it is
 * silent, so such a retry comes once for each node and server.
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

/** Returns whether a failure speaks against the engine's health, not just against its load. */
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
