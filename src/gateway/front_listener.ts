/** HTTP listener for callers, which enforces the configured limits. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {listen} from '../runtime/listen';
import type {Clock} from '../runtime/types';
import {createExchange, type Exchange} from './exchange';
import {readRequestBody} from './request_body';
import type {Address} from './settings';
import type {BackendProtocol, CallerLimits} from './types';

/** Listener for callers. */
export interface FrontListener {
  open(): Promise<void>;
  /** Sets the limits of later connections and of the bodies of later requests. */
  setLimits(limits: CallerLimits): void;
  /** Makes every answer that ends from now on close its connection. */
  startDraining(): void;
  /** Stops accepting connections and closes the idle ones. */
  stopListening(): void;
  /** Number of requests without a complete answer. */
  countOpen(): number;
  close(): void;
}

/** Options of the listener. */
export interface FrontListenerOptions {
  readonly address: Address;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly limits: CallerLimits;
  readonly onExchange: (exchange: Exchange) => void;
}

/** How often Node.js checks for connections that exceed their time-outs, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Maximum number of connections that wait to be accepted, for bursts of callers that reconnect after other nodes have failed. */
const BACKLOG = 1_024;

/** Creates the listener; `open` binds it. */
export function createFrontListener(
  options: FrontListenerOptions,
): FrontListener {
  let limits = options.limits;
  let isDraining = false;
  let openCount = 0;
  /** Open connections and the requests on each that have no complete answer. */
  const sockets = new Map<Socket, number>();
  /** Connections whose last answer has begun or ended; later requests on them are not read, since they could not be answered. */
  const closingSockets = new WeakSet<Socket>();
  const server: Server = createServer(
    {
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    handleRequest,
  );
  applyLimits();
  server.on('connection', (socket: Socket) => {
    sockets.set(socket, 0);
    socket.on('close', () => sockets.delete(socket));
  });
  return {
    open,
    setLimits: next => {
      limits = next;
      applyLimits();
    },
    startDraining: () => {
      isDraining = true;
    },
    stopListening: () => {
      server.close();
      server.closeIdleConnections();
    },
    countOpen: () => openCount,
    close: () => {
      server.close();
      for (const socket of sockets.keys()) socket.destroy();
    },
  };

  function open(): Promise<void> {
    return listen(server, {...options.address, backlog: BACKLOG});
  }

  function applyLimits(): void {
    // Node.js reads these fields when it accepts a connection.
    Object.assign(server, {maxHeaderSize: limits.maxHeaderBytes});
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {socket} = request;
    if (closingSockets.has(socket)) return;
    const {clock, protocol} = options;
    const receivedAtMs = clock.getMonotonicMs();
    recordOpen(socket, 1);
    response.on('close', () => {
      recordOpen(socket, -1);
      if (isDraining) closeIdle(socket);
    });
    readRequestBody(request, {clock, limits}, result => {
      const exchange = createExchange({
        request,
        response,
        ...(result.body === undefined ? {} : {body: result.body}),
        receivedAtMs,
        protocol,
        isClosing: () => tryStartClosing(socket, result.refusal !== undefined),
      });
      if (result.refusal === undefined) return options.onExchange(exchange);
      const {status, message} = result.refusal;
      exchange.answer(status, [], message);
    });
  }

  function recordOpen(socket: Socket, change: 1 | -1): void {
    openCount += change;
    const count = sockets.get(socket);
    if (count !== undefined) sockets.set(socket, count + change);
  }

  /** Returns whether the answer that is about to begin is the last one on its connection; a stopping node still answers requests that came before it. */
  function tryStartClosing(socket: Socket, isRefused: boolean): boolean {
    const isLast = isDraining && (sockets.get(socket) ?? 1) <= 1;
    if (!isLast && !isRefused) return false;
    closingSockets.add(socket);
    return true;
  }

  /** Closes a connection whose last answer began before the drain, so that its head could not announce the end. */
  function closeIdle(socket: Socket): void {
    if (sockets.get(socket) !== 0 || !socket.writable) return;
    closingSockets.add(socket);
    socket.end();
  }
}
