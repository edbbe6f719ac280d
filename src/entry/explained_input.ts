/** Turns the request of an explanation into the one that callers would send. */
import {Err, Ok, type Result} from 'ts-results';
import type {ExplainRequest} from '../explain';
import type {ModelInput, ServiceInput} from './types';

const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'];
const SERVICE_PATH = /^\/services\/([^/]+)(\/.*)?$/;
/** Makes the path of a request a URL. */
const BASE_URL = 'http://node';

/** A request without its client account. */
export type ExplainedInput =
  Omit<ModelInput, 'template'> | Omit<ServiceInput, 'template'>;

/**
 * Returns the request, or undefined when no route has its path; an error names the wrong field. A
 * request that runs at most once is taken to have an idempotency key that is not in use.
 */
export function parseExplainedInput(
  request: ExplainRequest,
): Result<ExplainedInput | undefined, string> {
  if (!URL.canParse(`${BASE_URL}${request.path}`)) {
    return Err('path: must be the path of a URL');
  }
  const url = new URL(`${BASE_URL}${request.path}`);
  const base = {
    options: {
      requestId: 'explain',
      idempotencyKey: 'explain',
      ...(request.deadlineMs === undefined
        ? {}
        : {deadlineMs: request.deadlineMs}),
    },
  };
  if (COMPLETION_PATHS.includes(url.pathname)) {
    if (request.method !== 'POST') return Ok(undefined);
    const model = url.searchParams.get('model') ?? '';
    if (model === '') {
      return Err('path: must name the model, as in /v1/completions?model=NAME');
    }
    if (request.model === undefined) {
      return Err('tokens: needed for a model request');
    }
    const {promptTokens, maxOutputTokens: maxTokens} = request.model;
    return Ok({
      ...base,
      kind: 'model',
      model,
      promptTokens,
      maxTokens,
      prefixHashes: [],
      prefixTokens: 0,
    });
  }
  const found = SERVICE_PATH.exec(url.pathname);
  if (found === null) return Ok(undefined);
  return Ok({
    ...base,
    kind: 'service',
    service: found[1],
    method: request.method,
    path: `${found[2] ?? '/'}${url.search}`,
    headers: {},
    body: '',
  });
}
