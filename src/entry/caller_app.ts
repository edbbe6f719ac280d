/**
 * HTTP application for callers: completions in the format of the OpenAI API, and plain services.
 */
import {randomUUID} from 'node:crypto';
import {H3, type H3Event} from 'h3';
import {Err, Ok, type Result} from 'ts-results';
import type {PrefixHasher} from '../routing';
import type {Clock} from '../runtime';
import type {ConfigState, Template} from '../state';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';
import {tryGetAccount} from './authenticate';
import {parseCallerOptions} from './caller_options';
import {createCompletionResponse} from './completion_response';
import {type CompletionRequest, parseCompletion} from './completion_schema';
import {createErrorResponse, createNotReadyFailure} from './error_response';
import {tryReadBody} from './read_body';
import type {ResumeService} from './resume_service';
import type {CallerOptions, ModelInput, RequestPipeline} from './types';

/** Options of the callers' application. */
export interface CallerAppOptions {
  readonly clock: Clock;
  readonly pipeline: RequestPipeline;
  /** True while the state in force is known and the node does not drain. */
  readonly isReady: () => boolean;
  /** Returns the configuration state, which holds the templates in force. */
  readonly getConfig: () => ConfigState;
  /**
   * Hashes the leading blocks of prompts for prefix-aware routing; requests have no prefix hashes
   * when absent.
   */
  readonly prefixHasher?: PrefixHasher;
  /** Resumes streams whose node has failed; absent without a resume secret. */
  readonly resumeService?: ResumeService;
  /** Maximum length of a request body, in bytes. */
  readonly maxBodyBytes?: number;
  /** Returns the text for `/metrics`. */
  readonly renderMetrics?: () => string;
}

const DEFAULT_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
/** Estimated characters of prompt text per token. */
const CHARACTERS_PER_TOKEN = 4;
/** Request headers that are forwarded to plain services. */
const FORWARDED_HEADERS = ['content-type', 'accept'];

/** The part of an authenticated request that all routes use. */
interface CallerRequest {
  readonly template: Template;
  readonly options: CallerOptions;
  readonly body: string;
}

/** Creates the application. */
export function createCallerApp(options: CallerAppOptions): H3 {
  const {clock, pipeline, isReady, getConfig} = options;
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const app = new H3({onError: error => createUnhandledResponse(error.status)});
  app.get('/healthz', () => ({status: 'ok'}));
  app.get('/readyz', () =>
    isReady()
      ? {status: 'ready'}
      : new Response('{"status":"not ready"}', {status: 503}),
  );
  app.get(
    '/metrics',
    () =>
      new Response(options.renderMetrics?.() ?? '', {
        headers: {'content-type': 'text/plain; version=0.0.4'},
      }),
  );
  app.get('/v1/models', handleModels);
  app.post('/v1/chat/completions', event => handleCompletion(event, 'chat'));
  app.post('/v1/completions', event => handleCompletion(event, 'text'));
  app.get('/v1/resume/:token', handleResume);
  app.all('/services/:service/**', handleService);
  app.all('/services/:service', handleService);
  app.all('/**', event =>
    createErrorResponse(
      createFailure(FailureKind.NotFound, `no route ${event.url.pathname}`),
      createRequestId(),
    ),
  );
  return app;

  async function handleModels(event: H3Event): Promise<Response> {
    const requestId = createRequestId();
    const request = await readRequest(event, requestId);
    if (request.err) return createErrorResponse(request.val, requestId);
    const data = request.val.template.models.map(id => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'anvilstack',
    }));
    return Response.json({object: 'list', data});
  }

  async function handleCompletion(
    event: H3Event,
    shape: 'chat' | 'text',
  ): Promise<Response> {
    const requestId = createRequestId();
    const request = await readRequest(event, requestId);
    if (request.err) return createErrorResponse(request.val, requestId);
    const parsed = parseCompletion(shape, request.val.body);
    if (parsed.kind === 'malformed') {
      const failure = createFailure(FailureKind.BadRequest, parsed.message);
      return createErrorResponse(failure, requestId);
    }
    const input = createModelInput(
      request.val,
      parsed.completion,
      options.prefixHasher,
    );
    return createCompletionResponse({
      completion: parsed.completion,
      requestId,
      createdAtS: Math.floor(clock.getWallMs() / 1_000),
      signal: event.req.signal,
      start: sink => pipeline.runModel(input, sink),
      createResumeToken: engine =>
        options.resumeService?.createToken(input, parsed.completion, engine),
    });
  }

  async function handleResume(event: H3Event): Promise<Response> {
    const requestId = createRequestId();
    const request = await readRequest(event, requestId);
    if (request.err) return createErrorResponse(request.val, requestId);
    const token = event.context.params?.['token'] ?? '';
    const resumed = options.resumeService?.open(
      token,
      request.val.template,
      event,
    );
    if (resumed === undefined) {
      const text =
        'this node cannot resume streams: no resume secret is configured';
      const failure = createFailure(FailureKind.NotFound, text);
      return createErrorResponse(failure, requestId);
    }
    if (resumed.err) return createErrorResponse(resumed.val, requestId);
    return createCompletionResponse({
      ...resumed.val,
      createdAtS: Math.floor(clock.getWallMs() / 1_000),
      signal: event.req.signal,
    });
  }

  async function handleService(event: H3Event): Promise<Response> {
    const requestId = createRequestId();
    const request = await readRequest(event, requestId);
    if (request.err) return createErrorResponse(request.val, requestId);
    const service = event.context.params?.['service'] ?? '';
    const answer = await pipeline.runService(
      {
        kind: 'service',
        ...request.val,
        service,
        method: event.req.method,
        path: getServicePath(event.url, service),
        headers: getForwardedHeaders(event.req.headers),
      },
      event.req.signal,
    );
    if (answer.err) return createErrorResponse(answer.val, requestId);
    return new Response(
      canHaveBody(answer.val.status) ? answer.val.body : null,
      {
        status: answer.val.status,
        headers: {
          'content-type': answer.val.contentType,
          'anvilstack-request-id': requestId,
          'anvilstack-verdict': answer.val.verdict,
        },
      },
    );
  }

  /**
   * Reads a request. Authenticates before reading the body, so that unauthenticated requests cost
   * little.
   */
  async function readRequest(
    event: H3Event,
    requestId: string,
  ): Promise<Result<CallerRequest, RequestFailure>> {
    if (!isReady()) return Err(createNotReadyFailure());
    const {headers} = event.req;
    const account = tryGetAccount(getConfig(), headers.get('authorization'));
    if (account === undefined) {
      return fail(
        FailureKind.Unauthorized,
        'the API key is missing or unknown',
      );
    }
    const callerOptions = parseCallerOptions(headers, requestId);
    if (callerOptions.err) {
      return fail(FailureKind.BadRequest, callerOptions.val);
    }
    const body = await tryReadBody(event, maxBodyBytes);
    if (body === undefined) {
      return fail(
        FailureKind.TooLarge,
        `the body is longer than ${maxBodyBytes} bytes`,
      );
    }
    return Ok({template: account.template, options: callerOptions.val, body});
  }
}

function createModelInput(
  request: CallerRequest,
  completion: CompletionRequest,
  hasher: PrefixHasher | undefined,
): ModelInput {
  const {prompt, model} = completion;
  const prefix = hasher?.compute(model, prompt);
  return {
    kind: 'model',
    template: request.template,
    options: request.options,
    model: completion.model,
    prompt,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    maxTokens: completion.maxTokens,
    prefixHashes: prefix?.hashes ?? [],
    prefixTokens: prefix?.tokens ?? 0,
  };
}

function createRequestId(): string {
  return `req-${randomUUID()}`;
}

function fail(
  kind: FailureKind,
  message: string,
  options: {retryAfterMs?: number} = {},
): Err<RequestFailure> {
  return Err(createFailure(kind, message, options));
}

/** Returns the response to an unhandled error, without the error's text. */
function createUnhandledResponse(status: number | undefined): Response {
  const kind =
    status !== undefined && status < 500
      ? FailureKind.BadRequest
      : FailureKind.Internal;
  const failure = createFailure(kind, 'the request could not be handled');
  return createErrorResponse(failure, createRequestId());
}

function canHaveBody(status: number): boolean {
  return status !== 204 && status !== 205 && status !== 304;
}

function getServicePath(url: URL, service: string): string {
  const path = url.pathname.slice(`/services/${service}`.length);
  return `${path === '' ? '/' : path}${url.search}`;
}

function getForwardedHeaders(headers: Headers): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers.get(name);
    if (value !== null) forwarded[name] = value;
  }
  return forwarded;
}
