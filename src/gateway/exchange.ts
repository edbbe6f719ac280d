/** A caller's HTTP request and its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  type AnswerBudget,
  computeReadLimitMs,
  type HeldBody,
  type SlowAnswer,
} from '../memory';
import type {OpenRequest} from './caller_connection';
import type {UnreadAnswer} from './held_memory';
import {findHeader} from './raw_headers';
import type {BackendProtocol, CallerRequest} from './types';

/** A caller's complete request and the operations to answer it. */
export interface Exchange {
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly target: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly request: CallerRequest;
  /** Absent for requests without a body. */
  readonly body?: Buffer;
  /** Keeps the body accounted for until the returned function is called, even if the caller leaves. */
  holdBody(): () => void;
  /** When the head of the request was received, on the monotonic clock, in milliseconds. */
  readonly receivedAtMs: number;
  /** True once the caller's connection is closed or the answer is complete. */
  isOver(): boolean;
  hasAnswerBegun(): boolean;
  /** Calls back once when the caller disconnects before the end of the answer. */
  onDisconnect(callback: () => void): void;
  /** True once the caller has ended its side of the connection; it may have left, or wait for the answer. */
  isHalfClosed(): boolean;
  onHalfClose(callback: () => void): void;
  /** Sends the status and the headers of the answer. */
  sendHead(status: number, headers: readonly string[]): void;
  /** Sets the time after which a caller that takes nothing of its answer is ended, in milliseconds. */
  setReadLimit(limitMs: number): void;
  /** Sends a part of the body; after false, wait for `onDrain` before the next part. */
  write(chunk: Buffer): boolean;
  onDrain(callback: () => void): void;
  end(): void;
  /** Closes the connection, so that the caller does not take the answer for complete. */
  abort(): void;
  /** Sends a complete plain-text answer of the gateway itself. */
  answer(status: number, headers: readonly string[], text: string): void;
}

/** Options of an exchange. */
export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body?: Buffer;
  readonly heldBody?: HeldBody;
  /** Accounts for what the caller has not taken; without it, nothing is held beyond the buffers of the runtime. */
  readonly answers?: AnswerBudget;
  readonly onUnread: (unread: UnreadAnswer) => void;
  readonly receivedAtMs: number;
  readonly protocol: BackendProtocol;
  readonly connection: Pick<
    OpenRequest,
    'onClose' | 'onHalfClose' | 'isHalfClosed'
  >;
  /** True when the connection is to be closed after this answer. */
  readonly isClosing: () => boolean;
}

/** Creates an exchange over a request and its response. */
export function createExchange(options: ExchangeOptions): Exchange {
  const {request, response, protocol, connection} = options;
  let isOver = false;
  let lengthBytes: number | undefined;
  let writtenBytes = 0;
  let readLimitMs = computeReadLimitMs({objectiveMs: 0, pauseObjectiveMs: 0});
  let slow: SlowAnswer | undefined;
  const disconnectCallbacks: Array<() => void> = [];
  response.sendDate = false;
  connection.onClose(() => {
    if (slow !== undefined) options.answers?.remove(slow);
    options.heldBody?.release();
    const isDisconnect = !response.writableFinished && !isOver;
    isOver = true;
    if (isDisconnect) for (const callback of disconnectCallbacks) callback();
  });
  // A failed write also emits `close`, which is handled above.
  response.on('error', () => undefined);
  const requested = protocol.parseCallerRequest(request.rawHeaders);
  return {
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    host: request.headers.host ?? '',
    rawHeaders: request.rawHeaders,
    request: requested,
    ...(options.body === undefined ? {} : {body: options.body}),
    holdBody: () => options.heldBody?.hold() ?? (() => undefined),
    setReadLimit: limitMs => {
      readLimitMs = limitMs;
    },
    receivedAtMs: options.receivedAtMs,
    isOver: () => isOver,
    hasAnswerBegun: () => response.headersSent,
    onDisconnect: callback => disconnectCallbacks.push(callback),
    isHalfClosed: connection.isHalfClosed,
    onHalfClose: connection.onHalfClose,
    sendHead,
    write,
    onDrain: callback => response.once('drain', callback),
    end: () => {
      isOver = true;
      response.end();
    },
    abort: () => {
      isOver = true;
      // The end of the connection is the end of an answer that has neither a length nor chunks.
      if (lengthBytes !== undefined || response.chunkedEncoding)
        response.destroy();
      else request.socket.resetAndDestroy();
    },
    answer,
  };

  function sendHead(status: number, headers: readonly string[]): void {
    const length = findHeader(headers, 'Content-Length');
    lengthBytes = length === undefined ? undefined : Number(length);
    const closing = options.isClosing() ? ['Connection', 'close'] : [];
    response.writeHead(status, [...headers, ...closing]);
    response.flushHeaders();
  }

  function write(chunk: Buffer): boolean {
    writtenBytes += chunk.length;
    const isTaken = response.write(chunk);
    if (isTaken || options.answers === undefined) return isTaken;
    return options.answers.update((slow ??= createSlowAnswer(options.answers)));
  }

  function createSlowAnswer(answers: AnswerBudget): SlowAnswer {
    const created: SlowAnswer = {
      getHeldBytes: () => response.writableLength,
      getTakenBytes: () => writtenBytes - response.writableLength,
      tryGetRemainingBytes: () => {
        if (response.writableEnded) return 0;
        return lengthBytes === undefined
          ? undefined
          : Math.max(0, lengthBytes - writtenBytes);
      },
      getLimitMs: () => readLimitMs,
      end: (reason, heldBytes, unreadMs) => {
        const {requestId} = requested;
        options.onUnread({requestId, reason, heldBytes, unreadMs});
        // A reset, so that the answer cannot look complete; the task sees a caller that has left.
        request.socket.resetAndDestroy();
      },
    };
    response.on('drain', () => answers.remove(created));
    return created;
  }

  function answer(
    status: number,
    headers: readonly string[],
    text: string,
  ): void {
    if (isOver) return;
    const body = Buffer.from(`${text}\n`);
    const plain = ['Content-Type', 'text/plain'];
    const length = ['Content-Length', String(body.length)];
    sendHead(status, [...headers, ...plain, ...length]);
    isOver = true;
    response.end(body);
  }
}
