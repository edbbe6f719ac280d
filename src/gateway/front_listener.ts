/** HTTP listener for callers, which enforces the configured limits. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Logger} from '../diagnostics/log';
import {listen} from '../runtime/listen';
import type {Clock} from '../runtime/types';
import {createExchange, type Exchange} from './exchange';
import {readRequestBody} from './request_body';
import {
  formatStatusOnly,
  getErrorStatus,
  isCallerError,
} from './listener_errors';
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
  readonly logger: Logger;
  readonly limits: CallerLimits;
  readonly onExchange: (exchange: Exchange) => void;
}

/** How often Node.js checks for connections that exceed their time-outs, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Maximum number of connections that wait to be accepted, for bursts of callers that reconnect after other nodes have failed. */
const BACKLOG = 1_024;
/** Maximum number of request ids in a log line. */
const MAX_LOGGED_IDS = 8;

/** Creates the listener; `open` binds it. */
export function createFrontListener(
  options: FrontListenerOptions,
): FrontListener {
  let limits = options.limits;
  let isDraining = false;
  let openCount = 0;
  /** Open connections and the requests on each that have no complete answer, in order. */
  const sockets = new Map<Socket, Set<ServerResponse>>();
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
    sockets.set(socket, new Set());
    socket.on('close', () => sockets.delete(socket));
  });
  server.on('clientError', handleError);
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
    openCount++;
    sockets.get(socket)?.add(response);
    response.on('close', () => {
      openCount--;
      sockets.get(socket)?.delete(response);
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
      options.logger.log('info', 'refused: request was not received', {
        requestId: exchange.request.requestId,
        status,
        detail: message,
        bytes: socket.bytesRead,
      });
      exchange.answer(status, [], message);
    });
  }

  /** Does what Node.js does without a handler, and logs it. */
  function handleError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!isCallerError(error.code)) {
      socket.destroy(error);
      return;
    }
    const open = [...(sockets.get(socket) ?? [])];
    const canAnswer = socket.writable && open[0]?.headersSent !== true;
    const status = canAnswer ? getErrorStatus(error.code) : undefined;
    options.logger.log('info', 'listener ended a connection', {
      code: error.code,
      status: status ?? null,
      bytes: socket.bytesRead,
      openRequests: open.length,
      requestIds: open.slice(0, MAX_LOGGED_IDS).map(getRequestId),
    });
    if (status !== undefined) socket.write(formatStatusOnly(status));
    socket.destroy(error);
  }

  function getRequestId({req}: ServerResponse): string {
    return options.protocol.parseCallerRequest(req.rawHeaders).requestId;
  }

  /** Returns whether the answer that is about to begin is the last one on its connection; a stopping node still answers requests that came before it. */
  function tryStartClosing(socket: Socket, isRefused: boolean): boolean {
    const isLast = isDraining && (sockets.get(socket)?.size ?? 1) <= 1;
    if (!isLast && !isRefused) return false;
    closingSockets.add(socket);
    return true;
  }

  /** Closes a connection whose last answer began before the drain, so that its head could not announce the end. */
  function closeIdle(socket: Socket): void {
    if (sockets.get(socket)?.size !== 0 || !socket.writable) return;
    closingSockets.add(socket);
    socket.end();
  }
}
