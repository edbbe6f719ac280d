/** Turns an answer in progress into an HTTP response, either streamed or buffered. */
import type {TokenBatch} from '../backends';
import type {AnswerEnd, AnswerSink, RequestHandle} from '../routing';
import {type RequestFailure, Verdict} from '../verdict';
import {
  type AnswerIdentity,
  getAnswerBody,
  getChunkData,
  getUsageData,
} from './completion_format';
import type {CompletionRequest} from './completion_schema';
import {createErrorResponse, getErrorBody} from './error_response';

/** Options of a response. */
export interface CompletionResponseOptions {
  readonly completion: CompletionRequest;
  readonly requestId: string;
  /** Seconds since the Unix epoch. */
  readonly createdAtS: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly start: (sink: AnswerSink) => RequestHandle;
  /** Returns the token with which the stream can be resumed at another node, if it can. */
  readonly createResumeToken?: (engine: string) => string | undefined;
}

/** Unread bytes from which the answer to a slow caller is paused. */
const MAX_UNREAD_BYTES = 64 * 1_024;

/**
 * Creates the response. Resolves at the first token of a stream, or at the end of a buffered
 * answer, or on failure.
 */
export function createCompletionResponse(
  options: CompletionResponseOptions,
): Promise<Response> {
  return options.completion.isStream
    ? createStreamResponse(options)
    : createBufferedResponse(options);
}

function createBufferedResponse(
  options: CompletionResponseOptions,
): Promise<Response> {
  return new Promise(resolve => {
    let text = '';
    const handle = options.start({
      onTokens: batch => {
        text += batch.text;
      },
      onEnd: end =>
        resolve(
          new Response(getAnswerBody(options, text, end), {
            headers: getHeaders(options.requestId, 'application/json'),
          }),
        ),
      onFailure: failure =>
        resolve(createErrorResponse(failure, options.requestId)),
    });
    options.signal.addEventListener('abort', handle.cancel, {once: true});
  });
}

function createStreamResponse(
  options: CompletionResponseOptions,
): Promise<Response> {
  return new Promise(resolve => {
    const stream = createEventStream(options);
    let isResponseStarted = false;
    // The sink may be called before `start` has returned the handle.
    let handle: RequestHandle | undefined = undefined;
    const getEngine = (): string | undefined => handle?.tryGetEngine();
    const started = options.start({
      onTokens: batch => {
        startResponse();
        stream.sendTokens(batch);
      },
      onEnd: end => {
        startResponse();
        stream.sendEnd(end);
      },
      onFailure: failure => {
        if (isResponseStarted) stream.sendFailure(failure);
        else resolve(createErrorResponse(failure, options.requestId));
      },
    });
    handle = started;
    stream.setHandle(started);
    options.signal.addEventListener('abort', started.cancel, {once: true});

    function startResponse(): void {
      if (isResponseStarted) return;
      isResponseStarted = true;
      const headers = getHeaders(options.requestId, 'text/event-stream');
      headers.set('cache-control', 'no-cache');
      const engine = getEngine();
      const token =
        engine === undefined ? undefined : options.createResumeToken?.(engine);
      if (token !== undefined) headers.set('anvilstack-resume', token);
      resolve(new Response(stream.body, {headers}));
    }
  });
}

interface EventStream {
  readonly body: ReadableStream<Uint8Array>;
  setHandle(handle: RequestHandle): void;
  sendTokens(batch: TokenBatch): void;
  sendEnd(end: AnswerEnd): void;
  sendFailure(failure: RequestFailure): void;
}

function createEventStream(identity: AnswerIdentity): EventStream {
  const encoder = new TextEncoder();
  let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
  let handle: RequestHandle | undefined;
  let isFirst = true;
  let isOpen = true;
  const body = new ReadableStream<Uint8Array>(
    {
      start: value => {
        controller = value;
      },
      pull: () => handle?.setPaused(false),
      cancel: () => {
        isOpen = false;
        handle?.cancel();
      },
    },
    new ByteLengthQueuingStrategy({highWaterMark: MAX_UNREAD_BYTES}),
  );
  return {
    body,
    setHandle: value => {
      handle = value;
    },
    sendTokens,
    sendEnd,
    sendFailure,
  };

  function sendTokens(batch: TokenBatch): void {
    const data = getChunkData(identity, batch.text, null, isFirst);
    isFirst = false;
    sendData(data, batch.firstIndex + batch.count);
  }

  function sendEnd(end: AnswerEnd): void {
    const reason = end.finishReason === 'length' ? 'length' : 'stop';
    sendData(getChunkData(identity, '', reason, isFirst));
    if (identity.completion.includeUsage) sendData(getUsageData(identity, end));
    sendData('[DONE]');
    close();
  }

  function sendFailure(failure: RequestFailure): void {
    sendData(getErrorBody(failure, identity.requestId));
    close();
  }

  function sendData(data: string, eventId?: number): void {
    if (!isOpen || controller === undefined) return;
    const id = eventId === undefined ? '' : `id: ${eventId}\n`;
    controller.enqueue(encoder.encode(`${id}data: ${data}\n\n`));
    if ((controller.desiredSize ?? 0) <= 0) handle?.setPaused(true);
  }

  function close(): void {
    if (!isOpen) return;
    isOpen = false;
    controller?.close();
  }
}

function getHeaders(requestId: string, contentType: string): Headers {
  return new Headers({
    'content-type': contentType,
    'anvilstack-request-id': requestId,
    'anvilstack-verdict': Verdict.Ran,
  });
}
