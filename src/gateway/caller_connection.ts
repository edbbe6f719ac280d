/** A caller's connection: the requests on it whose answers are due, and how it ends. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../runtime/types';
import {formatStatusOnly, getErrorStatus} from '../runtime/listener_errors';
import type {Refusal} from './request_body';

/** A request without a complete answer. */
export interface OpenRequest {
  readonly request: IncomingMessage;
  /** Refuses the request if it is still being received; returns whether it was. */
  tryRefuse?: (refusal: Refusal) => boolean;
  /** Calls back when the answer is complete or the connection is closed. */
  onClose(callback: () => void): void;
  isHalfClosed(): boolean;
  /** Calls back when the caller has ended its side of the connection, at once if it has. */
  onHalfClose(callback: () => void): void;
}

/** What becomes of a connection that the listener ends. */
export interface ConnectionEnd {
  /** Status of the listener itself; undefined when only the answers that are due are sent. */
  readonly status: number | undefined;
  /** Requests whose answers are due. */
  readonly open: readonly OpenRequest[];
}

/** A connection of a caller. */
export interface CallerConnection {
  /** Adds a request, whose answer is sent after those of the requests before it. */
  add(request: IncomingMessage, response: ServerResponse): OpenRequest;
  /** True when no more requests are read. */
  isClosing(): boolean;
  /** Returns whether the answer to a request, which is about to begin, is the last one on the connection. */
  tryStartClosing(open: OpenRequest, isRefused: boolean): boolean;
  /**
   * Ends the connection because of what the caller sent. Requests whose answers
   * are due get them; only a connection without any gets a status of the
   * listener, which could be taken for the answer of an open request. Returns
   * undefined when the connection is already ending.
   */
  closeAfterError(code: string | undefined): ConnectionEnd | undefined;
  destroy(): void;
}

/** Options of a connection. */
export interface CallerConnectionOptions {
  readonly socket: Socket;
  readonly clock: Clock;
  /** True when the last answer on each connection is to close it. */
  readonly isDraining: () => boolean;
  /** Called when a request was added (1), or its answer is complete or impossible (-1). */
  readonly onCountChange: (change: 1 | -1) => void;
}

/** How long the other side may take to close a connection that this side has ended, in milliseconds. */
const LINGER_MS = 1_000;

/** Creates the connection and watches its socket. */
export function createCallerConnection(
  options: CallerConnectionOptions,
): CallerConnection {
  const {socket, clock} = options;
  /** In the order of their answers, with the callbacks of their end. */
  const open = new Map<OpenRequest, () => void>();
  const halfCloseCallbacks = new Map<OpenRequest, () => void>();
  let isHalfClosed = false;
  let isClosing = false;
  let hasFailed = false;
  socket.on('end', handleHalfClose);
  // Node.js reports the close only to the first of several responses on a connection.
  socket.on('close', () => {
    for (const close of [...open.values()]) close();
  });
  return {
    add,
    isClosing: () => isClosing,
    tryStartClosing,
    closeAfterError,
    destroy: () => socket.destroy(),
  };

  function add(
    request: IncomingMessage,
    response: ServerResponse,
  ): OpenRequest {
    const closeCallbacks: Array<() => void> = [];
    const added: OpenRequest = {
      request,
      onClose: callback => closeCallbacks.push(callback),
      isHalfClosed: () => isHalfClosed,
      onHalfClose: callback => {
        if (isHalfClosed) queueMicrotask(callback);
        else halfCloseCallbacks.set(added, callback);
      },
    };
    open.set(added, close);
    options.onCountChange(1);
    response.on('close', close);
    return added;

    function close(): void {
      if (!open.delete(added)) return;
      halfCloseCallbacks.delete(added);
      options.onCountChange(-1);
      for (const callback of closeCallbacks) callback();
      if (open.size === 0 && (hasFailed || options.isDraining())) closeWith();
    }
  }

  function handleHalfClose(): void {
    isHalfClosed = true;
    for (const callback of [...halfCloseCallbacks.values()]) callback();
  }

  function tryStartClosing(request: OpenRequest, isRefused: boolean): boolean {
    const isLast = [...open.keys()].at(-1) === request;
    if (!isRefused && !(isLast && (hasFailed || options.isDraining()))) {
      return false;
    }
    isClosing = true;
    return true;
  }

  function closeAfterError(
    code: string | undefined,
  ): ConnectionEnd | undefined {
    if (hasFailed || !socket.writable) return undefined;
    hasFailed = true;
    const requests = [...open.keys()];
    const status = getErrorStatus(code);
    drainInput();
    const message = `request cannot be read (${code})`;
    if (requests.at(-1)?.tryRefuse?.({status, message}) === true) {
      return {status, open: requests};
    }
    if (requests.length > 0) {
      isClosing = true;
      return {status: undefined, open: requests};
    }
    closeWith(formatStatusOnly(status));
    return {status, open: requests};
  }

  /** Keeps reading, so that the end and the reset of the connection are noticed. */
  function drainInput(): void {
    socket.removeAllListeners('data');
    socket.on('data', () => undefined);
    socket.on('error', () => undefined);
    socket.resume();
  }

  /** Ends this side; closing both at once might reset the connection before the caller has read its answers. */
  function closeWith(text = ''): void {
    isClosing = true;
    if (!socket.writable) return;
    socket.end(text);
    const timer = clock.schedule(LINGER_MS, () => socket.destroy());
    socket.on('close', () => timer.cancel());
  }
}
