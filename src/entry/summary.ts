/** Creates the summary of a request when it ends. */
import {createHash} from 'node:crypto';
import type {Result} from 'ts-results';
import type {AnswerEnd, AnswerSink} from '../routing';
import type {Clock} from '../runtime';
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import {type AdmittedRequest, getTarget} from './admitted_request';
import type {
  ModelInput,
  RequestInput,
  RequestSummary,
  ServiceInput,
  ServiceResult,
} from './types';

/** A sink that emits a summary when the request ends. */
export interface SummarySink extends AnswerSink {
  /** Ends the request because the caller disconnected; the caller's sink is not called any more. */
  cancel(): void;
}

/** Options of `createSummarySink`. */
export interface SummarySinkOptions {
  readonly clock: Clock;
  readonly request: AdmittedRequest<ModelInput>;
  /** The caller's sink. */
  readonly sink: AnswerSink;
  /** Called once, when the request ends. */
  readonly onEnd: (summary: RequestSummary) => void;
}

/** Creates a sink that forwards to the caller's sink until the request ends. */
export function createSummarySink(options: SummarySinkOptions): SummarySink {
  const {clock, request, sink} = options;
  let firstAtMs: number | undefined;
  let lastAtMs = 0;
  let tokens = 0;
  let isClosed = false;
  return {onTokens, onEnd, onFailure, cancel};

  function onTokens(batch: Parameters<AnswerSink['onTokens']>[0]): void {
    if (isClosed) return;
    firstAtMs ??= batch.firstAtMs;
    lastAtMs = batch.lastAtMs;
    tokens += batch.count;
    sink.onTokens(batch);
  }

  function onEnd(end: AnswerEnd): void {
    if (isClosed) return;
    emitSummary(end.engine, undefined);
    sink.onEnd(end);
  }

  function onFailure(failure: RequestFailure): void {
    if (isClosed) return;
    emitSummary(undefined, failure);
    sink.onFailure(failure);
  }

  function cancel(): void {
    if (isClosed) return;
    const verdict = tokens > 0 ? Verdict.Ran : Verdict.MayHaveRun;
    emitSummary(
      undefined,
      createFailure(FailureKind.Cancelled, 'the caller disconnected', {
        verdict,
      }),
    );
  }

  function emitSummary(
    engine: string | undefined,
    failure: RequestFailure | undefined,
  ): void {
    isClosed = true;
    const nowMs = clock.getMonotonicMs();
    options.onEnd({
      ...createBase(request, nowMs, failure),
      promptTokens: request.input.promptTokens,
      generatedTokens: tokens,
      prefixHashes: request.input.prefixHashes,
      prefixTokens: request.input.prefixTokens,
      engine,
      firstTokenMs:
        firstAtMs === undefined ? undefined : firstAtMs - request.receivedAtMs,
      betweenTokensMs:
        firstAtMs === undefined || tokens < 2
          ? undefined
          : (lastAtMs - firstAtMs) / (tokens - 1),
    });
  }
}

/** Creates the summary of a call to a plain service. */
export function createServiceSummary(
  request: AdmittedRequest<ServiceInput>,
  nowMs: number,
  answer: Result<ServiceResult, RequestFailure>,
): RequestSummary {
  return {
    ...createBase(request, nowMs, answer.err ? answer.val : undefined),
    promptTokens: 0,
    generatedTokens: 0,
    prefixHashes: [],
    prefixTokens: 0,
  };
}

function createBase(
  request: AdmittedRequest<RequestInput>,
  nowMs: number,
  failure: RequestFailure | undefined,
): Omit<
  RequestSummary,
  'promptTokens' | 'generatedTokens' | 'prefixHashes' | 'prefixTokens'
> {
  const {input, classification} = request;
  return {
    requestId: input.options.requestId,
    clientAccount: input.template.client_account,
    kind: input.kind,
    target: getTarget(input),
    className: classification.name,
    urgent: classification.urgent,
    idempotent: classification.idempotent,
    keyHash: getShortHash(input.options.idempotencyKey),
    receivedAtMs: request.receivedAtMs,
    deadlineMs: request.deadlineMs,
    durationMs: nowMs - request.receivedAtMs,
    failure,
    isInDeadline: failure === undefined && nowMs <= request.deadlineAtMs,
  };
}

/** Length of the idempotency key's hash in summaries, in hexadecimal digits. */
const KEY_HASH_DIGITS = 16;

function getShortHash(key: string | undefined): string | undefined {
  if (key === undefined) return undefined;
  return createHash('sha256')
    .update(key)
    .digest('hex')
    .slice(0, KEY_HASH_DIGITS);
}
