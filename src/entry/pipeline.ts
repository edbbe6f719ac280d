/** Answers requests: class, rights, claim, then routing. The same core runs in a replay. */
import {createHash} from 'node:crypto';
import {Err, Ok, type Result} from 'ts-results';
import type {ClaimsLedger, ClaimTicket} from '../claims';
import type {
  AnswerEnd,
  AnswerSink,
  Dispatcher,
  RequestHandle,
  ServiceDispatcher,
} from '../routing';
import type {Clock} from '../runtime';
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import {type Classification, getClassification} from './classify';
import type {
  ModelInput,
  RequestPipeline,
  ServiceInput,
  ServiceResult,
} from './types';

/** Options of the pipeline. */
export interface RequestPipelineOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly services: ServiceDispatcher;
  readonly claims: ClaimsLedger;
}

/** Part of the time to the deadline that a claim may take. */
const CLAIM_TIME_FRACTION = 0.5;
const URGENT_PRIORITY = 100;

/** Creates the pipeline of one node. */
export function createRequestPipeline(
  options: RequestPipelineOptions,
): RequestPipeline {
  const {clock, dispatcher, services, claims} = options;
  return {runModel, runService};

  function runModel(input: ModelInput, sink: AnswerSink): RequestHandle {
    const {template} = input;
    if (!template.models.includes(input.model)) {
      return failAtOnce(sink, `model ${input.model} is not in the template`);
    }
    const traits = {kind: 'model' as const, target: input.model};
    const classification = getClassification(template, traits);
    if (classification.idempotent) {
      return submitModel(input, classification, sink);
    }
    return runClaimedModel(input, classification, sink);
  }

  function submitModel(
    input: ModelInput,
    classification: Classification,
    sink: AnswerSink,
  ): RequestHandle {
    const {template} = input;
    return dispatcher.submit(
      {
        requestId: input.options.requestId,
        clientAccount: template.client_account,
        model: input.model,
        prompt: input.prompt,
        promptTokens: input.promptTokens,
        maxTokens: input.maxTokens,
        deadlineAtMs: getDeadlineAtMs(input, classification),
        urgent: classification.urgent,
        priority: getPriority(input, classification),
        idempotent: classification.idempotent,
        prefixHashes: input.prefixHashes,
        prefixTokens: input.prefixTokens,
        engines: template.engines,
        weight: template.limits.weight,
      },
      sink,
    );
  }

  /** Claims the request first; its answer is kept for a repeated key. */
  function runClaimedModel(
    input: ModelInput,
    classification: Classification,
    sink: AnswerSink,
  ): RequestHandle {
    let handle: RequestHandle | undefined;
    let isCancelled = false;
    let isPaused = false;
    void start();
    return {
      cancel: () => {
        isCancelled = true;
        handle?.cancel();
      },
      setPaused: value => {
        isPaused = value;
        handle?.setPaused(value);
      },
      tryGetEngine: () => handle?.tryGetEngine(),
    };

    async function start(): Promise<void> {
      const request = `${input.model}\n${input.prompt ?? ''}\n${input.maxTokens}`;
      const claimed = await claimRequest(input, classification, request);
      if (claimed.err) return sink.onFailure(claimed.val);
      const claim = claimed.val;
      if (claim.kind === 'answered') return repeatAnswer(claim.result, sink);
      if (isCancelled) return claims.release(claim.ticket);
      handle = submitModel(
        input,
        classification,
        createSettlingSink(claim.ticket, sink),
      );
      if (isPaused) handle.setPaused(true);
    }
  }

  function createSettlingSink(
    ticket: ClaimTicket,
    sink: AnswerSink,
  ): AnswerSink {
    let text = '';
    return {
      onTokens: batch => {
        text += batch.text;
        sink.onTokens(batch);
      },
      onEnd: end => {
        settleModel(ticket, text, end);
        sink.onEnd(end);
      },
      onFailure: failure => {
        settleFailure(ticket, failure);
        sink.onFailure(failure);
      },
    };
  }

  function settleModel(
    ticket: ClaimTicket,
    text: string,
    end: AnswerEnd,
  ): void {
    claims.settle(ticket, {
      verdict: Verdict.Ran,
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify({text, end}),
    });
  }

  function settleFailure(ticket: ClaimTicket, failure: RequestFailure): void {
    if (failure.verdict === Verdict.NotRun) {
      claims.release(ticket);
      return;
    }
    claims.settle(ticket, {
      verdict: failure.verdict,
      status: 502,
      contentType: 'text/plain',
      body: failure.message,
    });
  }

  async function runService(
    input: ServiceInput,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const {template, service} = input;
    if (!template.services.includes(service)) {
      return Err(
        createFailure(
          FailureKind.Forbidden,
          `service ${service} is not in the template`,
        ),
      );
    }
    const traits = {kind: 'service' as const, target: service};
    const classification = getClassification(template, traits);
    const isRead = input.method === 'GET' || input.method === 'HEAD';
    if (classification.idempotent || isRead) {
      const answer = await callService(input, classification, true, signal);
      return answer.map(value => ({...value, verdict: Verdict.Ran}));
    }
    return runClaimedService(input, classification);
  }

  async function runClaimedService(
    input: ServiceInput,
    classification: Classification,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const request = `${input.method}\n${input.path}\n${input.body}`;
    const claimed = await claimRequest(input, classification, request);
    if (claimed.err) return claimed;
    const claim = claimed.val;
    if (claim.kind === 'answered') return Ok(claim.result);
    // A caller who goes away does not stop what may take effect.
    const answer = await callService(input, classification, false);
    if (answer.err) {
      settleFailure(claim.ticket, answer.val);
      return answer;
    }
    claims.settle(claim.ticket, {...answer.val, verdict: Verdict.Ran});
    return Ok({...answer.val, verdict: Verdict.Ran});
  }

  function callService(
    input: ServiceInput,
    classification: Classification,
    idempotent: boolean,
    signal?: AbortSignal,
  ): ReturnType<ServiceDispatcher['call']> {
    return services.call(
      {
        requestId: input.options.requestId,
        service: input.service,
        method: input.method,
        path: input.path,
        headers: input.headers,
        body: input.body,
        idempotent,
        deadlineAtMs: getDeadlineAtMs(input, classification),
        servers: input.template.engines,
      },
      signal,
    );
  }

  async function claimRequest(
    input: ModelInput | ServiceInput,
    classification: Classification,
    request: string,
  ): Promise<Result<ClaimedRequest, RequestFailure>> {
    const key = input.options.idempotencyKey;
    if (key === undefined) {
      return Err(
        createFailure(
          FailureKind.BadRequest,
          `request class ${classification.name} runs at most once and needs an Idempotency-Key header`,
        ),
      );
    }
    const leftMs = getDeadlineAtMs(input, classification) - getNowMs();
    const result = await claims.claim({
      clientAccount: input.template.client_account,
      idempotencyKey: key,
      requestHash: createHash('sha256').update(request).digest('hex'),
      windowMs: input.template.key_window_s * 1_000,
      timeoutMs: leftMs * CLAIM_TIME_FRACTION,
    });
    switch (result.kind) {
      case 'granted':
        return Ok({kind: 'granted', ticket: result.ticket});
      case 'answered':
        return getKeptAnswer(result.outcome);
      case 'unresolved':
        return Err(
          createFailure(
            FailureKind.BackendFailed,
            'the request with this key may have run; its outcome is not known',
            {verdict: Verdict.MayHaveRun},
          ),
        );
      case 'conflict':
        return Err(
          createFailure(
            FailureKind.KeyConflict,
            'the idempotency key was used for another request',
          ),
        );
      case 'expired':
        return Err(
          createFailure(
            FailureKind.BadRequest,
            'the idempotency key is older than its window',
          ),
        );
      case 'unavailable':
        return Err(
          createFailure(
            FailureKind.LogUnavailable,
            "the platform's log did not decide in time; the request will not run",
            {retryAfterMs: result.retryAfterMs},
          ),
        );
    }
  }

  function getDeadlineAtMs(
    input: ModelInput | ServiceInput,
    classification: Classification,
  ): number {
    const wantedMs = input.options.deadlineMs ?? classification.deadlineMs;
    return getNowMs() + wantedMs;
  }

  function getNowMs(): number {
    return clock.getMonotonicMs();
  }
}

type ClaimedRequest =
  | {readonly kind: 'granted'; readonly ticket: ClaimTicket}
  | {readonly kind: 'answered'; readonly result: ServiceResult};

function getKeptAnswer(outcome: {
  verdict: Verdict;
  status: number;
  contentType: string;
  body?: string;
}): Result<ClaimedRequest, RequestFailure> {
  const {verdict, body} = outcome;
  if (verdict === Verdict.Ran && body !== undefined) {
    return Ok({kind: 'answered', result: {...outcome, body}});
  }
  const text =
    verdict === Verdict.Ran
      ? 'the request with this key ran; its answer was too long to keep'
      : 'the request with this key may have run';
  return Err(createFailure(FailureKind.BackendFailed, text, {verdict}));
}

function repeatAnswer(result: ServiceResult, sink: AnswerSink): void {
  const {text, end} = JSON.parse(result.body) as {text: string; end: AnswerEnd};
  sink.onTokens({
    firstIndex: 0,
    count: end.generatedTokens,
    text,
    firstAtMs: 0,
    lastAtMs: 0,
  });
  sink.onEnd(end);
}

function getPriority(
  input: ModelInput,
  classification: Classification,
): number {
  const asked = Math.min(
    URGENT_PRIORITY - 1,
    Math.max(0, input.options.priority ?? 0),
  );
  return classification.urgent ? URGENT_PRIORITY + asked : asked;
}

function failAtOnce(sink: AnswerSink, message: string): RequestHandle {
  sink.onFailure(createFailure(FailureKind.Forbidden, message));
  return {
    cancel: () => undefined,
    setPaused: () => undefined,
    tryGetEngine: () => undefined,
  };
}
