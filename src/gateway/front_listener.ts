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
  /** Makes every further answer close its connection. */
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
  const sockets = new Set<Socket>();
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
    sockets.add(socket);
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
      for (const socket of sockets) socket.destroy();
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
    const receivedAtMs = options.clock.getMonotonicMs();
    openCount++;
    response.on('close', () => {
      openCount--;
    });
    const {clock, protocol} = options;
    readRequestBody(request, {clock, limits}, result => {
      const exchange = createExchange({
        request,
        response,
        ...(result.body === undefined ? {} : {body: result.body}),
        receivedAtMs,
        protocol,
        isClosing: () => isDraining || result.refusal !== undefined,
      });
      if (result.refusal === undefined) return options.onExchange(exchange);
      const {status, message} = result.refusal;
      exchange.answer(status, [], message);
    });
  }
}
