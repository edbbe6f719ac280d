/**
 * Claims a non-idempotent request in the claims ledger, and maps the decision to a result for its
 * caller.
 */
import {createHash} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results';
import type {
  ClaimOutcome,
  ClaimResult,
  ClaimsLedger,
  ClaimTicket,
} from '../claims';
import {assertNever, type Clock} from '../runtime';
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import type {AdmittedRequest} from './admitted_request';
import type {RequestInput, ServiceResult} from './types';

/** Fraction of the time remaining to the deadline that a claim may take. */
const CLAIM_TIME_FRACTION = 0.5;

/** A granted claim, or the stored answer to the first request with this key. */
export type ClaimedRequest =
  | {readonly kind: 'granted'; readonly ticket: ClaimTicket}
  | {readonly kind: 'answered'; readonly result: ServiceResult};

/** Options of `claimRequest`. */
export interface ClaimRequestOptions {
  readonly clock: Clock;
  readonly claims: ClaimsLedger;
}

/** Claims the request under its idempotency key. Fails when the request may not run. */
export async function claimRequest(
  request: AdmittedRequest<RequestInput>,
  options: ClaimRequestOptions,
): Promise<Result<ClaimedRequest, RequestFailure>> {
  const {input, classification} = request;
  const key = input.options.idempotencyKey;
  if (key === undefined) {
    return fail(
      FailureKind.BadRequest,
      `request class ${classification.name} runs at most once and needs an Idempotency-Key header`,
    );
  }
  const remainingMs = request.deadlineAtMs - options.clock.getMonotonicMs();
  const result = await options.claims.claim({
    clientAccount: input.template.client_account,
    idempotencyKey: key,
    requestHash: getRequestHash(input),
    windowMs: input.template.key_window_s * 1_000,
    timeoutMs: remainingMs * CLAIM_TIME_FRACTION,
  });
  return resolveResult(result);
}

/**
 * Releases the claim of a failed request that did not run; otherwise records that it may have run.
 */
export function settleFailure(
  claims: ClaimsLedger,
  ticket: ClaimTicket,
  failure: RequestFailure,
): void {
  if (failure.verdict === Verdict.NotRun) {
    claims.release(ticket);
    return;
  }
  claims.settle(ticket, {
    verdict: Verdict.MayHaveRun,
    status: 502,
    contentType: 'text/plain',
    body: failure.message,
  });
}

function resolveResult(
  result: ClaimResult,
): Result<ClaimedRequest, RequestFailure> {
  switch (result.kind) {
    case 'granted':
      return Ok({kind: 'granted', ticket: result.ticket});
    case 'answered':
      return resolveOutcome(result.outcome);
    case 'unresolved':
      return fail(
        FailureKind.BackendFailed,
        'the request with this key may have run; its outcome is not known',
        {verdict: Verdict.MayHaveRun, retryAfterMs: result.retryAfterMs},
      );
    case 'conflict':
      return fail(
        FailureKind.KeyConflict,
        'the idempotency key was used for another request',
      );
    case 'expired':
      return fail(
        FailureKind.BadRequest,
        'the time stamp of the idempotency key is outside the key window',
      );
    case 'unavailable':
      return fail(
        FailureKind.LogUnavailable,
        "the platform's log did not decide in time; the request will not run",
        {retryAfterMs: result.retryAfterMs},
      );
    default:
      return assertNever(result);
  }
}

function resolveOutcome(
  outcome: ClaimOutcome,
): Result<ClaimedRequest, RequestFailure> {
  const {verdict, body} = outcome;
  if (verdict === Verdict.Ran && body !== undefined) {
    return Ok({kind: 'answered', result: {...outcome, body}});
  }
  const text =
    verdict === Verdict.Ran
      ? 'the request with this key ran; its answer was too long to store'
      : 'the request with this key may have run';
  return fail(FailureKind.BackendFailed, text, {verdict});
}

function fail(
  kind: FailureKind,
  message: string,
  options: {verdict?: Verdict; retryAfterMs?: number} = {},
): Err<RequestFailure> {
  return Err(createFailure(kind, message, options));
}

/** Returns a hash that shows whether a repeated key comes with the same request. */
function getRequestHash(input: RequestInput): string {
  const parts =
    input.kind === 'model'
      ? [input.model, input.prompt ?? input.promptTokens, input.maxTokens]
      : [input.service, input.method, input.path, input.body];
  return createHash('sha256').update(JSON.stringify(parts)).digest('hex');
}
