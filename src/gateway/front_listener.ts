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
import {
  type CallerConnection,
  createCallerConnection,
  type OpenRequest,
} from './caller_connection';
import {createExchange, type Exchange} from './exchange';
import type {HeldMemory} from './held_memory';
import {isCallerError} from '../runtime/listener_errors';
import {type BodyResult, readRequestBody, type Refusal} from './request_body';
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
  readonly memory: HeldMemory;
  readonly getRandom: () => number;
  readonly onExchange: (exchange: Exchange) => void;
}

/** How often Node.js checks for connections that exceed their time-outs, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Maximum number of connections that wait to be accepted, for bursts of callers that reconnect after other nodes have failed. */
const BACKLOG = 1_024;
/** Maximum number of request ids in a log line. */
const MAX_LOGGED_IDS = 8;

const NO_HOST: Refusal = {status: 400, message: 'no host'};
const UNKNOWN_EXPECTATION: Refusal = {
  status: 417,
  message: 'unknown expectation',
};
/** What Node.js reports for a method that it does not know; it closes the connection of a CONNECT request without an answer. */
const METHOD_ERROR_CODE = 'HPE_INVALID_METHOD';

/** Creates the listener; `open` binds it. */
export function createFrontListener(
  options: FrontListenerOptions,
): FrontListener {
  const {clock, protocol, logger, memory, getRandom} = options;
  let limits = options.limits;
  let isDraining = false;
  let openCount = 0;
  const connections = new Map<Socket, CallerConnection>();
  const server: Server = createServer(
    {
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
      requireHostHeader: false,
    },
    (request, response) => {
      const isHostMissing =
        request.httpVersion === '1.1' && request.headers.host === undefined;
      handleRequest(request, response, isHostMissing ? NO_HOST : undefined);
    },
  );
  // Node.js otherwise closes a connection, and drops the answers due on it, when the caller ends its side.
  Object.assign(server, {httpAllowHalfOpen: true});
  applyLimits();
  server.on('connection', (socket: Socket) => {
    const connection = createCallerConnection({
      socket,
      clock,
      isDraining: () => isDraining,
      onCountChange: change => {
        openCount += change;
      },
    });
    connections.set(socket, connection);
    socket.on('close', () => connections.delete(socket));
  });
  server.on('checkExpectation', (request, response) =>
    handleRequest(request, response, UNKNOWN_EXPECTATION),
  );
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (isCallerError(error.code)) closeConnection(socket, error.code);
    else socket.destroy(error);
  });
  server.on('connect', (_request, socket: Socket) =>
    closeConnection(socket, METHOD_ERROR_CODE),
  );
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
      for (const connection of connections.values()) connection.destroy();
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
    refusal?: Refusal,
  ): void {
    const connection = connections.get(request.socket);
    // Requests that could not be answered are not read.
    if (connection === undefined || connection.isClosing()) return;
    const received = connection.add(request, response);
    const receivedAtMs = clock.getMonotonicMs();
    const settle = ({body, held, refusal: bodyRefusal}: BodyResult): void => {
      const exchange = createExchange({
        request,
        response,
        ...(body === undefined ? {} : {body}),
        ...(held === undefined ? {} : {heldBody: held}),
        ...(memory.answers === undefined ? {} : {answers: memory.answers}),
        onUnread: memory.recordUnread,
        receivedAtMs,
        protocol,
        connection: received,
        isClosing: () =>
          connection.tryStartClosing(received, bodyRefusal !== undefined),
      });
      if (bodyRefusal === undefined) options.onExchange(exchange);
      else refuse(exchange, bodyRefusal, request.socket.bytesRead);
    };
    if (refusal === undefined) {
      received.tryRefuse = readRequestBody(
        request,
        {clock, limits, bodies: memory.bodies, getRandom},
        settle,
      );
      return;
    }
    request.resume();
    settle({refusal});
  }

  function refuse(
    exchange: Exchange,
    {status, message, retryAfterMs}: Refusal,
    bytes: number,
  ): void {
    logger.log('info', 'refused: request was not received', {
      requestId: exchange.request.requestId,
      status,
      detail: message,
      bytes,
    });
    const headers =
      retryAfterMs === undefined
        ? []
        : protocol.buildRetryHeaders(exchange.request.requestId, retryAfterMs);
    exchange.answer(status, headers, message);
  }

  function closeConnection(socket: Socket, code: string | undefined): void {
    const bytes = socket.bytesRead;
    const end = connections.get(socket)?.closeAfterError(code);
    if (end === undefined) return;
    logger.log('info', 'listener ended a connection', {
      code,
      status: end.status ?? null,
      bytes,
      openRequests: end.open.length,
      requestIds: end.open.slice(0, MAX_LOGGED_IDS).map(getRequestId),
    });
  }

  function getRequestId({request}: OpenRequest): string {
    return protocol.parseCallerRequest(request.rawHeaders).requestId;
  }
}
