/** Converts requests of a trace to inputs of the entry's request pipeline. */
import type {ModelInput, ServiceInput} from '../entry';
import {type Template, templateSchema} from '../state';
import type {TraceRequest} from './types';

/** Name of the model that every engine of a replay has loaded. */
export const REPLAY_MODEL = 'small';
/** Tokens per hashed block of a prompt's prefix. */
const PREFIX_BLOCK_TOKENS = 512;
const MIN_MAX_TOKENS = 16;
/** Limits that no client account reaches in a replay: traces exercise load, not account limits. */
const UNLIMITED = {
  requests_per_s: 100_000,
  burst: 100_000,
  max_concurrent: 100_000,
};

/** Creates inputs; requests of the same account, kind, urgency and idempotency share a template. */
export interface InputFactory {
  createModelInput(request: TraceRequest, requestId: string): ModelInput;
  createServiceInput(request: TraceRequest, requestId: string): ServiceInput;
}

/** Creates a factory; `services` are the names of the plain services that accounts may call. */
export function createInputFactory(services: readonly string[]): InputFactory {
  const templates = new Map<string, Template>();
  return {createModelInput, createServiceInput};

  function createModelInput(
    request: TraceRequest,
    requestId: string,
  ): ModelInput {
    return {
      kind: 'model',
      template: getTemplate(request),
      options: {
        requestId,
        idempotencyKey: request.key,
        deadlineMs: request.deadline_ms,
      },
      model: REPLAY_MODEL,
      promptTokens: request.prompt_tokens,
      maxTokens: getMaxTokens(request),
      prefixHashes: getPrefixHashes(request),
      prefixTokens: request.prefix === undefined ? 0 : request.prefix_tokens,
    };
  }

  function createServiceInput(
    request: TraceRequest,
    requestId: string,
  ): ServiceInput {
    const isRead = request.idempotent && request.key === undefined;
    return {
      kind: 'service',
      template: getTemplate(request),
      options: {
        requestId,
        idempotencyKey: request.key,
        deadlineMs: request.deadline_ms,
      },
      service: request.service ?? '',
      method: isRead ? 'GET' : 'POST',
      path: '/bookings',
      headers: {},
      body: request.key ?? '',
    };
  }

  function getTemplate(request: TraceRequest): Template {
    const {client_account, kind, urgent, idempotent} = request;
    const key = `${client_account}|${kind}|${urgent}|${idempotent}`;
    const known = templates.get(key);
    if (known !== undefined) return known;
    const template = templateSchema.parse({
      client_account,
      api_key_sha256: ['0'.repeat(64)],
      operators: ['replay'],
      models: [REPLAY_MODEL],
      services: [...services],
      limits: UNLIMITED,
      request_class: [{name: 'replayed', kind, urgent, idempotent}],
    });
    templates.set(key, template);
    return template;
  }
}

/** Returns the caller's token limit: 16 or its first doubling that fits the answer, as callers do not know its length. */
function getMaxTokens(request: TraceRequest): number {
  let limit = MIN_MAX_TOKENS;
  while (limit < request.output_tokens) limit *= 2;
  return limit;
}

function getPrefixHashes(request: TraceRequest): string[] {
  if (request.prefix === undefined || request.prefix_tokens === 0) return [];
  const blocks = Math.ceil(request.prefix_tokens / PREFIX_BLOCK_TOKENS);
  return Array.from(
    {length: blocks},
    (_, index) => `${request.prefix}/${index}`,
  );
}
