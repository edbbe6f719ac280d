/** The callers' HTTP: completions in the shape of the OpenAI API, and plain services. */
import {randomUUID} from 'node:crypto';
import {H3, type H3Event} from 'h3';
import type {Clock} from '../runtime';
import type {ConfigState, TemplateState} from '../state';
import {createFailure, FailureKind, Verdict} from '../verdict';
import {tryGetAccount} from './authenticate';
import {createCompletionResponse} from './completion_response';
import {parseCompletion} from './completion_schema';
import {createErrorResponse} from './error_response';
import type {CallerOptions, RequestPipeline} from './types';

/** Options of the callers' application. */
export interface CallerAppOptions {
  readonly clock: Clock;
  readonly pipeline: RequestPipeline;
  /** True while the state in force is known and the node does not drain. */
  readonly isReady: () => boolean;
  /** Returns the templates in force. */
  readonly getConfig: () => ConfigState;
  /** Longest body, in bytes. */
  readonly maxBodyBytes?: number;
  /** Returns the text for `/metrics`. */
  readonly renderMetrics?: () => string;
}

const DEFAULT_MAX_BODY_BYTES = 8 * 1_024 * 1_024;
/** When a caller refused by a node that is not ready should try again, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500;
const MAX_KEY_LENGTH = 255;
const MAX_DEADLINE_MS = 3_600_000;
/** Characters of a prompt that one token stands for, as an estimate. */
const CHARACTERS_PER_TOKEN = 4;
/** Request headers that plain services get. */
const FORWARDED_HEADERS = ['content-type', 'accept'];

/** Creates the application. */
export function createCallerApp(options: CallerAppOptions): H3 {
  const {clock, pipeline, isReady, getConfig} = options;
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const app = new H3();
  app.get('/healthz', () => ({status: 'ok'}));
  app.get('/readyz', () =>
    isReady()
      ? {status: 'ready'}
      : new Response('{"status":"not ready"}', {status: 503}),
  );
  app.get('/metrics', () => options.renderMetrics?.() ?? '');
  app.post('/v1/chat/completions', event => handleCompletion(event, 'chat'));
  app.post('/v1/completions', event => handleCompletion(event, 'text'));
  app.all('/services/:service/**', handleService);
  app.all('/services/:service', handleService);
  app.all('/**', event =>
    createErrorResponse(
      createFailure(FailureKind.NotFound, `no route ${event.url.pathname}`),
      createRequestId(),
    ),
  );
  return app;

  async function handleCompletion(
    event: H3Event,
    shape: 'chat' | 'text',
  ): Promise<Response> {
    const requestId = createRequestId();
    const account = getAccount(event);
    if (account instanceof Response) return account;
    const caller = parseCallerOptions(event, requestId);
    if (caller instanceof Response) return caller;
    const body = await readBody(event, requestId, maxBodyBytes);
    if (body instanceof Response) return body;
    const parsed = parseCompletion(shape, body);
    if (parsed.kind === 'malformed') {
      return refuse(FailureKind.BadRequest, parsed.message, requestId);
    }
    const {completion} = parsed;
    return createCompletionResponse({
      completion,
      requestId,
      createdAtS: Math.floor(clock.getWallMs() / 1_000),
      start: sink =>
        pipeline.runModel(
          {
            kind: 'model',
            template: account.template,
            options: caller,
            model: completion.model,
            prompt: completion.prompt,
            promptTokens: Math.ceil(
              completion.prompt.length / CHARACTERS_PER_TOKEN,
            ),
            maxTokens: completion.maxTokens,
            prefixHashes: [],
            prefixTokens: 0,
          },
          sink,
        ),
    });
  }

  async function handleService(event: H3Event): Promise<Response> {
    const requestId = createRequestId();
    const account = getAccount(event);
    if (account instanceof Response) return account;
    const caller = parseCallerOptions(event, requestId);
    if (caller instanceof Response) return caller;
    const body = await readBody(event, requestId, maxBodyBytes);
    if (body instanceof Response) return body;
    const service = event.context.params?.['service'] ?? '';
    const answer = await pipeline.runService(
      {
        kind: 'service',
        template: account.template,
        options: caller,
        service,
        method: event.req.method,
        path: getServicePath(event.url, service),
        headers: getForwardedHeaders(event),
        body,
      },
      event.req.signal,
    );
    if (answer.err) return createErrorResponse(answer.val, requestId);
    return new Response(answer.val.body, {
      status: answer.val.status,
      headers: {
        'content-type': answer.val.contentType,
        'anvilstack-request-id': requestId,
        'anvilstack-verdict': answer.val.verdict,
      },
    });
  }

  function getAccount(event: H3Event): TemplateState | Response {
    if (!isReady()) {
      const failure = createFailure(
        FailureKind.Unavailable,
        'the node is not ready',
        {retryAfterMs: NOT_READY_RETRY_AFTER_MS},
      );
      return createErrorResponse(failure, createRequestId());
    }
    const account = tryGetAccount(
      getConfig(),
      event.req.headers.get('authorization'),
    );
    return (
      account ??
      refuse(
        FailureKind.Unauthorized,
        'the API key is missing or unknown',
        createRequestId(),
      )
    );
  }
}

function createRequestId(): string {
  return `req-${randomUUID()}`;
}

function refuse(
  kind: FailureKind,
  message: string,
  requestId: string,
): Response {
  return createErrorResponse(
    createFailure(kind, message, {verdict: Verdict.NotRun}),
    requestId,
  );
}

function parseCallerOptions(
  event: H3Event,
  requestId: string,
): CallerOptions | Response {
  const {headers} = event.req;
  const key = headers.get('idempotency-key') ?? undefined;
  if (key !== undefined && (key === '' || key.length > MAX_KEY_LENGTH)) {
    return refuse(
      FailureKind.BadRequest,
      `Idempotency-Key has 1 to ${MAX_KEY_LENGTH} characters`,
      requestId,
    );
  }
  const deadlineMs = parseNumber(headers.get('anvilstack-deadline-ms'));
  if (
    deadlineMs !== undefined &&
    !(deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS)
  ) {
    return refuse(
      FailureKind.BadRequest,
      `Anvilstack-Deadline-Ms is a number from 1 to ${MAX_DEADLINE_MS}`,
      requestId,
    );
  }
  const priority = parseNumber(headers.get('anvilstack-priority'));
  if (priority !== undefined && !(priority >= 0 && priority <= 99)) {
    return refuse(
      FailureKind.BadRequest,
      'Anvilstack-Priority is a number from 0 to 99',
      requestId,
    );
  }
  return {requestId, idempotencyKey: key, deadlineMs, priority};
}

function parseNumber(text: string | null): number | undefined {
  if (text === null) return undefined;
  return text.trim() === '' ? Number.NaN : Number(text);
}

async function readBody(
  event: H3Event,
  requestId: string,
  maxBytes: number,
): Promise<string | Response> {
  const declared = Number(event.req.headers.get('content-length') ?? 0);
  const body = declared > maxBytes ? '' : await event.req.text();
  if (declared <= maxBytes && Buffer.byteLength(body) <= maxBytes) return body;
  return refuse(
    FailureKind.BadRequest,
    `the body is longer than ${maxBytes} bytes`,
    requestId,
  );
}

function getServicePath(url: URL, service: string): string {
  const path = url.pathname.slice(`/services/${service}`.length);
  return `${path === '' ? '/' : path}${url.search}`;
}

function getForwardedHeaders(event: H3Event): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = event.req.headers.get(name);
    if (value !== null) forwarded[name] = value;
  }
  return forwarded;
}
