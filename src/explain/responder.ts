/** Answers requests for explanations over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createBoundedBody} from '../gateway/bounded_body';
import {parseExplainRequest} from './parse_request';
import type {Explanation, ExplainRequest} from './types';

/** Path of the explanations at the control listener. */
export const EXPLAIN_PATH = '/explain';

/** Answers a request for an explanation. */
export type ExplainResponder = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Time after which a request ends that sends no bytes, in milliseconds. */
const STALL_TIMEOUT_MS = 1_000;

/** Creates a responder. */
export function createExplainResponder(
  explain: (request: ExplainRequest) => Explanation,
): ExplainResponder {
  return (request, response) => {
    if (request.method !== 'POST') {
      request.resume();
      sendJson(response, 405, {error: 'method: must be POST'});
      return;
    }
    const body = createBoundedBody();
    request.setTimeout(STALL_TIMEOUT_MS, () => request.destroy());
    // The response of a broken request cannot be sent.
    request.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => {
      if (body.add(chunk) || response.headersSent) return;
      response.setHeader('connection', 'close');
      sendJson(response, 413, {error: 'the body is too long'});
    });
    request.on('end', () => {
      if (!response.headersSent) answer(response, body.read().toString('utf8'));
    });
  };

  function answer(response: ServerResponse, text: string): void {
    const request = parseExplainRequest(text);
    if (request.err) {
      sendJson(response, 400, {error: request.val});
      return;
    }
    sendJson(response, 200, explain(request.val));
  }
}

function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
  });
  response.end(body);
}
