/** A caller's HTTP request and its response. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OpenRequest} from './caller_connection';
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
  let hasLength = false;
  const disconnectCallbacks: Array<() => void> = [];
  response.sendDate = false;
  connection.onClose(() => {
    const isDisconnect = !response.writableFinished && !isOver;
    isOver = true;
    if (isDisconnect) for (const callback of disconnectCallbacks) callback();
  });
  // A failed write also emits `close`, which is handled above.
  response.on('error', () => undefined);
  return {
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    host: request.headers.host ?? '',
    rawHeaders: request.rawHeaders,
    request: protocol.parseCallerRequest(request.rawHeaders),
    ...(options.body === undefined ? {} : {body: options.body}),
    receivedAtMs: options.receivedAtMs,
    isOver: () => isOver,
    hasAnswerBegun: () => response.headersSent,
    onDisconnect: callback => disconnectCallbacks.push(callback),
    isHalfClosed: connection.isHalfClosed,
    onHalfClose: connection.onHalfClose,
    sendHead,
    write: chunk => response.write(chunk),
    onDrain: callback => response.once('drain', callback),
    end: () => {
      isOver = true;
      response.end();
    },
    abort: () => {
      isOver = true;
      // The end of the connection is the end of an answer that has neither a length nor chunks.
      if (hasLength || response.chunkedEncoding) response.destroy();
      else request.socket.resetAndDestroy();
    },
    answer,
  };

  function sendHead(status: number, headers: readonly string[]): void {
    hasLength = findHeader(headers, 'Content-Length') !== undefined;
    const closing = options.isClosing() ? ['Connection', 'close'] : [];
    response.writeHead(status, [...headers, ...closing]);
    response.flushHeaders();
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
