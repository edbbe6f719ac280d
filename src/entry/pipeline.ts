/**
 * The request pipeline: classification, admission, claim, then routing. Replays run the same
 * pipeline.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {ClaimsLedger} from '../claims';
import type {
  AccountLimiter,
  AnswerSink,
  Dispatcher,
  RequestHandle,
  ServiceDispatcher,
} from '../routing';
import type {Clock} from '../runtime';
import type {ServerSelector, Template} from '../state';
import type {RequestFailure} from '../verdict';
import {type AdmittedRequest, createAdmittedRequest} from './admitted_request';
import {claimRequest, settleFailure} from './claim_request';
import {createClaimedModelRun} from './claimed_model';
import {createFallbackRun, isUnserved} from './fallback';
import {createOpenRequests} from './open_requests';
import {
  createLimitFailure,
  createModelRequest,
  createRequestPreview,
  getFleetLimits,
  tryGetAccessFailure,
} from './request_preview';
import {createSummarySink, createServiceSummary} from './summary';
import type {
  ModelInput,
  RequestInput,
  RequestPipeline,
  RequestSummary,
  SelectServers,
  ServerChoice,
  ServiceInput,
  ServiceResult,
} from './types';

/** Options of the pipeline. */
export interface RequestPipelineOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly services: ServiceDispatcher;
  readonly claims: ClaimsLedger;
  /** Enforces the limits of client accounts; no limits when omitted. */
  readonly limiter?: AccountLimiter;
  /** Selects the servers of a request; the template's `engines` selector when omitted. */
  readonly selectServers?: SelectServers;
  /** As `selectServers` for a random number from 0 to 1 (excluded), without an effect. */
  readonly predictServers?: (template: Template, draw: number) => ServerChoice;
  /** Called once for each request, when it has ended. */
  readonly onSummary?: (summary: RequestSummary) => void;
}

/** Creates the pipeline of one node. */
export function createRequestPipeline(
  options: RequestPipelineOptions,
): RequestPipeline {
  const {clock, dispatcher, services, claims} = options;
  const selectServers =
    options.selectServers ?? (template => ({servers: template.engines}));
  const onSummary = options.onSummary ?? (() => undefined);
  const openRequests = createOpenRequests();
  return {
    preview: createRequestPreview({
      clock,
      dispatcher,
      services,
      limiter: options.limiter,
      predictServers:
        options.predictServers ?? (({engines}) => ({servers: engines})),
      isDraining: openRequests.isDraining,
    }),
    runModel,
    runService,
    getOpenCount: openRequests.getCount,
    drain: openRequests.drain,
  };

  function runModel(input: ModelInput, callerSink: AnswerSink): RequestHandle {
    const request = createAdmittedRequest(input, {clock, selectServers});
    const close = openRequests.add();
    let release: () => void = () => undefined;
    const sink = createSummarySink({
      clock,
      request,
      sink: callerSink,
      onEnd: summary => {
        close();
        release();
        onSummary(summary);
      },
    });
    const admission = checkAdmission(input);
    if (admission.err) {
      sink.onFailure(admission.val);
      return createClosedHandle();
    }
    release = admission.val;
    if (request.needsClaim) {
      return createClaimedModelRun({
        clock,
        claims,
        request,
        sink,
        submit: claimedSink => submitModel(request, claimedSink),
      });
    }
    const handle = submitModel(request, sink);
    return {
      ...handle,
      cancel: () => {
        handle.cancel();
        sink.cancel();
      },
    };
  }

  /** Submits to the fallback servers when no server of the first choice is available. */
  function submitModel(
    request: AdmittedRequest<ModelInput>,
    sink: AnswerSink,
  ): RequestHandle {
    const {servers, fallback} = request.choice;
    if (fallback === undefined) return submitTo(servers, request, sink);
    return createFallbackRun({
      sink,
      submit: next => submitTo(servers, request, next),
      submitFallback: next => submitTo(fallback, request, next),
    });
  }

  function submitTo(
    engines: ServerSelector,
    request: AdmittedRequest<ModelInput>,
    sink: AnswerSink,
  ): RequestHandle {
    return dispatcher.submit(createModelRequest(request, engines), sink);
  }

  async function runService(
    input: ServiceInput,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const request = createAdmittedRequest(input, {clock, selectServers});
    const close = openRequests.add();
    try {
      const answer = await callServiceWithClaim(request, signal);
      onSummary(createServiceSummary(request, clock.getMonotonicMs(), answer));
      return answer;
    } finally {
      close();
    }
  }

  async function callServiceWithClaim(
    request: AdmittedRequest<ServiceInput>,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const {input} = request;
    const admission = checkAdmission(input);
    if (admission.err) return Err(admission.val);
    try {
      return request.needsClaim
        ? await runClaimedService(request)
        : await callService(request, true, signal);
    } finally {
      admission.val();
    }
  }

  /**
   * Takes no abort signal: a claimed call runs to its end when the caller disconnects, as it may
   * have taken effect.
   */
  async function runClaimedService(
    request: AdmittedRequest<ServiceInput>,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const claimed = await claimRequest(request, {clock, claims});
    if (claimed.err) return claimed;
    const claim = claimed.val;
    if (claim.kind === 'answered') return Ok(claim.result);
    const answer = await callService(request, false);
    if (answer.ok) claims.settle(claim.ticket, answer.val);
    else settleFailure(claims, claim.ticket, answer.val);
    return answer;
  }

  async function callService(
    request: AdmittedRequest<ServiceInput>,
    idempotent: boolean,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const {servers, fallback} = request.choice;
    const answer = await callServers(servers, request, idempotent, signal);
    if (answer.ok || fallback === undefined || !isUnserved(answer.val)) {
      return answer;
    }
    return callServers(fallback, request, idempotent, signal);
  }

  async function callServers(
    servers: ServerSelector,
    request: AdmittedRequest<ServiceInput>,
    idempotent: boolean,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>> {
    const {input} = request;
    const answer = await services.call(
      {
        requestId: input.options.requestId,
        service: input.service,
        method: input.method,
        path: input.path,
        headers: input.headers,
        body: input.body,
        idempotent,
        deadlineAtMs: request.deadlineAtMs,
        servers,
      },
      signal,
    );
    return answer.map(value => ({...value, verdict: 'ran' as const}));
  }

  /**
   * Checks drain state, rights and limits before anything is claimed. Returns the function that
   * releases the account's limits.
   */
  function checkAdmission(
    input: RequestInput,
  ): Result<() => void, RequestFailure> {
    const failure = tryGetAccessFailure(input, openRequests.isDraining());
    if (failure !== undefined) return Err(failure);
    const admission = options.limiter?.tryAdmit(
      input.template.client_account,
      getFleetLimits(input.template),
      clock.getMonotonicMs(),
    );
    if (admission === undefined) return Ok(() => undefined);
    if (admission.kind === 'admitted') return Ok(admission.release);
    return Err(createLimitFailure(admission));
  }
}

function createClosedHandle(): RequestHandle {
  return {
    cancel: () => undefined,
    setPaused: () => undefined,
    tryGetEngine: () => undefined,
  };
}
