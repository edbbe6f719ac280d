/** Predicts what the pipeline would do with a request, by the functions that requests use and without an effect. */
import type {
  AccountLimiter,
  Dispatcher,
  ModelRequest,
  PredictedDispatch,
  ServerView,
  ServiceDispatcher,
} from '../routing';
import type {Clock} from '../runtime';
import type {ServerSelector, Template} from '../state';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';
import {
  type AdmittedRequest,
  createAdmittedRequest,
  getTarget,
} from './admitted_request';
import {isUnserved} from './fallback';
import type {
  ModelInput,
  RequestInput,
  RequestPreview,
  ServerChoice,
} from './types';

/** Options of a preview. */
export interface RequestPreviewOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly services: ServiceDispatcher;
  readonly limiter?: Pick<AccountLimiter, 'tryPredictRefusal'>;
  /** Selects the servers of a request for a random number from 0 to 1 (excluded). */
  readonly predictServers: (template: Template, draw: number) => ServerChoice;
  readonly isDraining: () => boolean;
}

/** Retry delay given to callers that a draining node refuses, in milliseconds. */
const DRAIN_RETRY_AFTER_MS = 100;

/** Creates the preview. */
export function createRequestPreview(
  options: RequestPreviewOptions,
): RequestPreview {
  const {clock, dispatcher, services, limiter, predictServers} = options;
  return {predict, listServerViews};

  function predict(
    input: RequestInput,
    getRandom: () => number,
  ): PredictedDispatch {
    const failure =
      tryGetAccessFailure(input, options.isDraining()) ??
      tryPredictLimitFailure(input);
    if (failure !== undefined) return {kind: 'refuse', failure};
    const request = createRequest(input, getRandom());
    const {servers, fallback} = request.choice;
    const first = predictAt(servers, request, getRandom);
    const isRetried =
      fallback !== undefined &&
      first.kind === 'refuse' &&
      isUnserved(first.failure);
    return isRetried ? predictAt(fallback, request, getRandom) : first;
  }

  function tryPredictLimitFailure({
    template,
  }: RequestInput): RequestFailure | undefined {
    const refusal = limiter?.tryPredictRefusal(
      template.client_account,
      getFleetLimits(template),
      clock.getMonotonicMs(),
    );
    return refusal && createLimitFailure(refusal);
  }

  function createRequest<Input extends RequestInput>(
    input: Input,
    draw: number,
  ): AdmittedRequest<Input> {
    return createAdmittedRequest(input, {
      clock,
      selectServers: template => predictServers(template, draw),
    });
  }

  function predictAt(
    servers: ServerSelector,
    request: AdmittedRequest<RequestInput>,
    getRandom: () => number,
  ): PredictedDispatch {
    const {input} = request;
    if (input.kind === 'service') {
      const {service} = input;
      return services.predictDispatch({service, servers}, getRandom);
    }
    const model = createModelRequest({...request, input}, servers);
    return dispatcher.predictDispatch(model, getRandom);
  }

  function listServerViews(input: RequestInput): readonly ServerView[] {
    const request = createRequest(input, 0);
    const {servers, fallback} = request.choice;
    const views = listAt(servers, request);
    if (fallback === undefined) return views;
    const others = listAt(fallback, request);
    // A server of either set is shown as that set sees it.
    return views.map(view =>
      view.cause === undefined
        ? view
        : (others.find(({id}) => id === view.id) ?? view),
    );
  }

  function listAt(
    servers: ServerSelector,
    request: AdmittedRequest<RequestInput>,
  ): readonly ServerView[] {
    const {input} = request;
    if (input.kind === 'service') {
      return services.listServerViews({service: input.service, servers});
    }
    return dispatcher.listServerViews(
      createModelRequest({...request, input}, servers),
    );
  }
}

/** Creates the request that the dispatcher gets. */
export function createModelRequest(
  request: AdmittedRequest<ModelInput>,
  engines: ServerSelector,
): ModelRequest {
  const {input, classification} = request;
  return {
    requestId: input.options.requestId,
    clientAccount: input.template.client_account,
    model: input.model,
    prompt: input.prompt,
    promptTokens: input.promptTokens,
    maxTokens: input.maxTokens,
    deadlineAtMs: request.deadlineAtMs,
    urgent: classification.urgent,
    priority: request.priority,
    idempotent: classification.idempotent,
    prefixHashes: input.prefixHashes,
    prefixTokens: input.prefixTokens,
    engines,
    weight: input.template.limits.weight,
  };
}

/** Returns why a request is refused whatever its account's usage is, if it is. */
export function tryGetAccessFailure(
  input: RequestInput,
  isDraining: boolean,
): RequestFailure | undefined {
  if (isDraining) {
    return createFailure(FailureKind.Unavailable, 'the node is draining', {
      retryAfterMs: DRAIN_RETRY_AFTER_MS,
    });
  }
  const {template, kind} = input;
  const allowed = kind === 'model' ? template.models : template.services;
  const target = getTarget(input);
  if (allowed.includes(target)) return undefined;
  const text = `client account ${template.client_account} may not use ${kind} ${target}`;
  return createFailure(FailureKind.Forbidden, text);
}

/** Returns the limits of a client account over the whole fleet. */
export function getFleetLimits({limits}: Template) {
  return {
    requestsPerS: limits.requests_per_s,
    burst: limits.burst,
    maxConcurrent: limits.max_concurrent,
  };
}

/** Creates the failure of a request that its account's limits refuse. */
export function createLimitFailure({
  reason,
  retryAfterMs,
}: {
  readonly reason: string;
  readonly retryAfterMs: number;
}): RequestFailure {
  return createFailure(FailureKind.LimitExceeded, reason, {retryAfterMs});
}
