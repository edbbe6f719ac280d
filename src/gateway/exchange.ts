/** One request of a caller and its answer. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BackendProtocol, CallerRequest} from './types';

/** A caller's request, read in full, and the means to answer it. */
export interface Exchange {
  readonly method: string;
  /** Path with query, as the caller sent it. */
  readonly target: string;
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly request: CallerRequest;
  /** Absent for requests without one. */
  readonly body?: Buffer;
  /** When its head was read, on the monotonic clock, in milliseconds. */
  readonly receivedAtMs: number;
  /** True once the caller's connection is closed or an answer is complete. */
  isOver(): boolean;
  hasAnswerBegun(): boolean;
  /** Calls back once when the caller leaves before the end of the answer. */
  onDisconnect(callback: () => void): void;
  /** Begins the answer of a backend server. */
  sendHead(status: number, headers: readonly string[]): void;
  /** Sends a part of the body; false asks to wait for `onDrain`. */
  write(chunk: Buffer): boolean;
  onDrain(callback: () => void): void;
  end(): void;
  /** Closes the connection, so that the answer cannot be taken for a whole one. */
  abort(): void;
  /** Sends a whole answer of the gateway's own. */
  answer(status: number, headers: readonly string[], text: string): void;
}

/** Options of an exchange. */
export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body?: Buffer;
  readonly receivedAtMs: number;
  readonly protocol: BackendProtocol;
  /** True when the connection is to be closed after this answer. */
  readonly isClosing: () => boolean;
}

/** Creates an exchange over a request and its response. */
export function createExchange(options: ExchangeOptions): Exchange {
  const {request, response, protocol} = options;
  let isOver = false;
  const disconnectCallbacks: Array<() => void> = [];
  response.sendDate = false;
  response.on('close', () => {
    const isDisconnect = !response.writableFinished && !isOver;
    isOver = true;
    if (isDisconnect) for (const callback of disconnectCallbacks) callback();
  });
  // A failed write ends in `close`, which is handled above.
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
    sendHead,
    write: chunk => response.write(chunk),
    onDrain: callback => response.once('drain', callback),
    end: () => {
      isOver = true;
      response.end();
    },
    abort: () => {
      isOver = true;
      response.destroy();
    },
    answer,
  };

  function sendHead(status: number, headers: readonly string[]): void {
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
