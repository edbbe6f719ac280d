/** HTTP connections to backend servers: each carries one request at a time and is reused when idle. */
import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {assertNever} from '../runtime';
import {Verdict} from '../verdict';
import {findHeader, hasFraming} from './raw_headers';
import {
  createServerLinks,
  type LinkState,
  ProcessSign,
  type ServerLinks,
} from './server_links';
import type {BackendEntry, CallEvidence, CallFailure} from './types';

/** How an answer arrives. */
export interface AnswerTransport {
  /** True for the first answer on its connection. */
  readonly isFirst: boolean;
  /** False when the answer has no length and ends with its connection. */
  readonly isFramed: boolean;
  readonly evidence?: CallEvidence;
}

/** Receives an answer. No callback follows `onEnd` or `onFailure`. */
export interface CallHandler {
  /** Called with the head of the answer; a returned failure ends the call. */
  onAnswer(
    status: number,
    rawHeaders: readonly string[],
    transport: AnswerTransport,
  ): CallFailure | void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: CallFailure): void;
  /** True when the bytes so far show that the answer is not whole; asked when an answer without a length ends. */
  isCutOff?(): boolean;
  /** True when an answer that ends early must not pass for whole, so that an uncertain end is a failure; asked when an answer without a length ends. */
  needsProof?(): boolean;
}

/** A request to a backend server. */
export interface BackendCall {
  readonly server: BackendEntry;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  /** Id of the caller's request; absent for the gateway's own calls. */
  readonly requestId?: string;
  /** Connections that have carried this request before and must not carry it again: a late second copy of its answer could not be told from the answer that is due. The one that is used is added. */
  readonly usedConnections?: Set<object>;
  readonly handler: CallHandler;
}

/** A request in progress. */
export interface OpenCall {
  /** Ends the call and closes its connection. The handler is not called any more. */
  cancel(): void;
  /** Stops or resumes reading the answer, for backpressure from a slow caller. */
  setPaused(isPaused: boolean): void;
  /** True once the request has been written to a connection. */
  isSent(): boolean;
  /** Returns the connection and the times of the call; undefined until it is sent. */
  getEvidence(): CallEvidence | undefined;
}

/** Connections to all backend servers. */
export interface Connections {
  call(request: BackendCall): OpenCall;
  /** True when an idle connection to the server is open. */
  hasIdle(serverId: string): boolean;
  /** True when any connection to the server is open. */
  hasOpen(serverId: string): boolean;
  /** Closes the idle connections to all servers but these; busy ones are closed after their call. */
  retainOnly(serverIds: ReadonlySet<string>): void;
  /** Number of connections opened since the start. */
  countOpened(): number;
  close(): void;
}

/** Options of the connections. */
export interface ConnectionsOptions {
  /** Time-out for opening a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds, unless its server states a keep-alive time-out. */
  readonly idleTimeoutMs?: number;
  /** Called for every request before it is sent. */
  readonly onCall?: (server: BackendEntry) => HeadListener;
  /** Called when an answer without a length has ended and its end has been judged. */
  readonly onUnframedEnd?: (end: UnframedEnd) => void;
  /** Resolves to true when the server proves that its process is still the one of its entry. */
  readonly checkProcess?: (server: BackendEntry) => Promise<boolean>;
}

/** What the judgement on the end of an answer without a length rests on. */
export const EndEvidence = {
  /** The connection was reset. */
  Reset: 'reset',
  /** The bytes stop inside an event. */
  InsideEvent: 'inside-event',
  /** Another connection to the server that was open before stayed open. */
  OtherStaysOpen: 'other-connection-stays-open',
  /** An idle connection to the server was closed by it at the same time. */
  OtherClosed: 'other-connection-closed',
  /** No other connection could tell; the server reported afterwards that it is the same process. */
  SameProcess: 'same-process-reports',
  /** No other connection could tell, and no report; the answer is not taken for whole. */
  NoWitness: 'no-witness',
  /** No other connection could tell; the server accepted one afterwards, which suffices where the content shows whether the answer is whole. */
  Accepts: 'accepts-connections',
  /** No other connection could tell; the server accepted none afterwards. */
  AcceptsNone: 'accepts-no-connection',
} as const;
export type EndEvidence = (typeof EndEvidence)[keyof typeof EndEvidence];

/** The end of an answer without a length, and how it was judged. */
export interface UnframedEnd {
  readonly serverId: string;
  readonly requestId: string | undefined;
  readonly path: string;
  readonly status: number;
  readonly isComplete: boolean;
  readonly evidence: EndEvidence;
  readonly bodyBytes: number;
  /** Time since the head of the answer, in milliseconds. */
  readonly sinceHeadMs: number;
}

/** Receives the head of the answer to one request, before the handler of the call. */
export type HeadListener = (
  status: number,
  rawHeaders: readonly string[],
) => void;

/** Time-out if the options give none: many round trips of a few milliseconds between failure domains, and no longer than the shortest latency objective. */
const DEFAULT_CONNECT_TIMEOUT_MS = 300;
/** Idle time-out if the options give none: shorter than the keep-alive time-outs that servers state. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** How long before its server's stated keep-alive time-out a connection is closed, in milliseconds. */
const IDLE_MARGIN_MS = 700;
/** Upper bound on a server's stated keep-alive time-out, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 30_000;
const SERVER_ENDED = 'server ended during an answer without a length';

/** How long after an end that no connection could tell about the node prepares for the next one of the service, in milliseconds. */
const WITNESS_MEMORY_MS = 60_000;
/** Time of reading without a pause after which nothing that arrived before is left unread, in milliseconds. */
const CATCH_UP_MS = 1_000;

interface Connection extends LinkState {
  readonly client: Client;
  /** True while its socket is open. */
  isOpen: boolean;
  /** True once the connection was reset instead of being closed by the server. */
  wasReset: boolean;
  /** Number of the open socket, counted by this node. */
  number: number;
}

interface ServerConnections {
  readonly idle: Connection[];
  readonly all: Set<Connection>;
  readonly links: ServerLinks;
}

/** Creates connections, which are opened on demand. */
export function createConnections(
  options: ConnectionsOptions = {},
): Connections {
  const connector = buildConnector({
    timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
  });
  const servers = new Map<string, ServerConnections>();
  /** Until when answers without a length are expected of a service before another connection can tell about their end, on the monotonic clock. */
  const expectedUntilMs = new Map<string, number>();
  let openedCount = 0;
  return {
    call,
    hasIdle: serverId =>
      servers.get(serverId)?.idle.some(item => item.isOpen) ?? false,
    hasOpen: serverId => servers.get(serverId)?.links.hasOpen() ?? false,
    retainOnly,
    countOpened: () => openedCount,
    close,
  };

  function call(request: BackendCall): OpenCall {
    const onHead = options.onCall?.(request.server);
    const {server} = request;
    const connections = getConnections(server);
    const {links} = connections;
    const connection =
      takeIdle(connections, request.usedConnections) ??
      openConnection(server, links);
    connection.isIdle = false;
    const expectedMs = expectedUntilMs.get(server.service) ?? 0;
    if (performance.now() < expectedMs) links.prepareWitness(true);
    request.usedConnections?.add(connection);
    connections.all.add(connection);
    const open = createOpenCall({
      request,
      connection,
      links,
      checkServer: callback => checkServer(server, callback),
      checkProcess: async () => (await options.checkProcess?.(server)) === true,
      onNoWitness: () =>
        expectedUntilMs.set(
          server.service,
          performance.now() + WITNESS_MEMORY_MS,
        ),
      ...(onHead === undefined ? {} : {onHead}),
      onUnframedEnd: end => options.onUnframedEnd?.(end),
      release: isReusable => {
        if (isReusable && servers.has(server.id)) {
          connection.isIdle = true;
          connections.idle.push(connection);
          return;
        }
        connections.all.delete(connection);
        void connection.client.destroy();
      },
    });
    connection.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        body: request.body,
        idempotent: false,
      },
      open.dispatchHandler,
    );
    return open;
  }

  /** Takes the most recently used open connection; without one, a closed one, which undici opens again. */
  function takeIdle(
    {idle}: ServerConnections,
    used?: ReadonlySet<object>,
  ): Connection | undefined {
    const openIndex = idle.findLastIndex(
      item => item.isOpen && !used?.has(item),
    );
    const index =
      openIndex >= 0 ? openIndex : idle.findLastIndex(item => !item.isOpen);
    return index < 0 ? undefined : idle.splice(index, 1)[0];
  }

  function getConnections(server: BackendEntry): ServerConnections {
    const known = servers.get(server.id);
    if (known !== undefined) return known;
    const links = createServerLinks({
      dial: callback => openSocket(server, callback),
      spareMs: options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
    });
    const created = {idle: [], all: new Set<Connection>(), links};
    servers.set(server.id, created);
    return created;
  }

  function openConnection(
    server: BackendEntry,
    links: ServerLinks,
  ): Connection {
    const client = new Client(`http://${server.host}:${server.port}`, {
      connect: (connectOptions, callback) => {
        connector(connectOptions, (error, socket) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          connection.number = ++openedCount;
          connection.isOpen = true;
          connection.answerCount = 0;
          connection.isUnframed = false;
          connection.isClosing = false;
          connection.isPaused = false;
          links.add(socket, connection);
          socket.on('close', () => {
            connection.isOpen = false;
          });
          watchResets(socket, connection);
          callback(null, socket);
        });
      },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      pipelining: 1,
    });
    const connection: Connection = {
      client,
      isOpen: false,
      wasReset: false,
      isIdle: false,
      isPaused: false,
      isUnframed: false,
      isClosing: false,
      number: 0,
      answerCount: 0,
    };
    return connection;
  }

  /** Opens a connection and closes it; tells whether the server accepted it. */
  function checkServer(
    server: BackendEntry,
    callback: (isAccepting: boolean) => void,
  ): void {
    openSocket(server, socket => {
      socket?.destroy();
      callback(socket !== undefined);
    });
  }

  function openSocket(
    server: BackendEntry,
    callback: (socket: Socket | undefined) => void,
  ): void {
    const address = {
      protocol: 'http:',
      hostname: server.host,
      port: String(server.port),
    };
    connector(address, (error, socket) => {
      if (error !== null) {
        callback(undefined);
        return;
      }
      openedCount++;
      socket.on('error', () => undefined);
      callback(socket);
    });
  }

  function retainOnly(serverIds: ReadonlySet<string>): void {
    for (const [id, connections] of servers) {
      if (serverIds.has(id)) continue;
      servers.delete(id);
      connections.links.close();
      for (const {client} of connections.idle) void client.destroy();
    }
  }

  function close(): void {
    for (const connections of servers.values()) {
      connections.links.close();
      for (const {client} of connections.all) void client.destroy();
    }
    servers.clear();
  }
}

/**
 * Detects that a connection was reset. undici treats a reset as the end of an
 * answer without a length, so the listeners run before those of undici. A reset
 * that arrives together with data is reported as `end`; only a later write
 * reveals it.
 */
function watchResets(socket: Socket, connection: Connection): void {
  let hasEnded = false;
  connection.wasReset = false;
  socket.on('error', () => {
    // After a regular end, a server may answer the write below with a reset.
    if (!hasEnded) connection.wasReset = true;
  });
  socket.prependListener('end', () => {
    hasEnded = true;
    if (!connection.isUnframed) return;
    // Harmless if the connection is intact: servers ignore an empty line before a request.
    socket.write('\r\n', error => {
      const code = (error as NodeJS.ErrnoException | null | undefined)?.code;
      if (code === 'EPIPE' || code === 'ECONNRESET') connection.wasReset = true;
    });
  });
}

interface DispatchedCall extends OpenCall {
  readonly dispatchHandler: Dispatcher.DispatchHandler;
}

interface OpenCallOptions {
  readonly request: BackendCall;
  readonly connection: Connection;
  readonly onHead?: HeadListener;
  readonly links: ServerLinks;
  /** Called when no other connection could tell about the end of an answer. */
  readonly onNoWitness: () => void;
  /** Tells whether the server still accepts connections. */
  readonly checkServer: (callback: (isAccepting: boolean) => void) => void;
  /** Resolves to true when the server proves that its process has not ended. */
  readonly checkProcess: () => Promise<boolean>;
  readonly onUnframedEnd: (end: UnframedEnd) => void;
  /** Returns the connection to the idle ones, or closes it when it cannot be reused. */
  readonly release: (isReusable: boolean) => void;
}

/** Creates a call and the handler that undici reports its progress to. */
function createOpenCall(options: OpenCallOptions): DispatchedCall {
  const {request, release, connection, links} = options;
  const {handler} = request;
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isDone = false;
  let sentAtMs = 0;
  let evidence: CallEvidence | undefined;
  let answerStatus = 0;
  let headAtMs = 0;
  let bodyBytes = 0;
  let lastBytesMs = 0;
  let pausedAtMs = 0;
  let resumedAtMs = Number.NEGATIVE_INFINITY;
  return {
    cancel,
    setPaused,
    isSent: () => isSent,
    getEvidence: () => evidence,
    dispatchHandler: {
      onRequestStart: started => {
        controller = started;
        isSent = true;
        sentAtMs = performance.now();
        evidence = {
          connection: connection.number,
          answersBefore: connection.answerCount,
        };
        if (isDone) started.abort(new Error('cancelled'));
      },
      onResponseStart,
      onResponseData: (_controller, chunk) => {
        bodyBytes += chunk.length;
        lastBytesMs = performance.now();
        if (!isDone) handler.onData(chunk);
      },
      onResponseEnd: () => {
        // The write in `watchResets` completes only after this event.
        if (connection.isUnframed) setImmediate(settleUnframed);
        else settle();
      },
      onResponseError: (_controller, error) => {
        if (isSent && connection.isUnframed)
          return failUnframed(EndEvidence.Reset, error.message);
        if (isSent) return fail(createReset(error.message));
        fail({
          verdict: Verdict.NotRun,
          reason: 'connect',
          message: error.message,
        });
      },
    },
  };

  function setPaused(isPaused: boolean): void {
    if (isDone || connection.isPaused === isPaused) return;
    connection.isPaused = isPaused;
    const nowMs = performance.now();
    if (!isPaused) resumedAtMs = nowMs;
    else if (nowMs - resumedAtMs > CATCH_UP_MS) pausedAtMs = nowMs;
    if (isPaused) controller?.pause();
    else controller?.resume();
  }

  /** The end of a process closes its connections like the end of an answer does, so the answer is complete only if another connection shows that the process lives. */
  function settleUnframed(): void {
    if (isDone) return;
    if (connection.wasReset) {
      failUnframed(EndEvidence.Reset, 'connection was reset during the answer');
      return;
    }
    if (handler.isCutOff?.() === true) {
      failUnframed(EndEvidence.InsideEvent, 'stream ended inside an event');
      return;
    }
    const nowMs = performance.now();
    // What was not read while the caller was slow may have ended at any time since.
    const isCaughtUp = nowMs - resumedAtMs > CATCH_UP_MS;
    const end = {sinceMs: isCaughtUp ? nowMs : pausedAtMs, lastBytesMs};
    links.observe(connection, end, sign => {
      if (!isDone) settleBySign(sign);
    });
  }

  function settleBySign(sign: ProcessSign): void {
    switch (sign) {
      case ProcessSign.Lives:
        completeUnframed(EndEvidence.OtherStaysOpen);
        return;
      case ProcessSign.Ended:
        failUnframed(EndEvidence.OtherClosed, SERVER_ENDED);
        return;
      case ProcessSign.Unknown:
        options.onNoWitness();
        if (handler.needsProof?.() === true) void settleByReport();
        else settleByCheck();
        return;
      default:
        assertNever(sign);
    }
  }

  async function settleByReport(): Promise<void> {
    const isSame = await options.checkProcess();
    if (isDone) return;
    if (isSame) completeUnframed(EndEvidence.SameProcess);
    else {
      failUnframed(
        EndEvidence.NoWitness,
        'nothing shows that an answer without a length is whole',
      );
    }
  }

  function settleByCheck(): void {
    options.checkServer(isAccepting => {
      if (isDone) return;
      if (isAccepting) completeUnframed(EndEvidence.Accepts);
      else failUnframed(EndEvidence.AcceptsNone, SERVER_ENDED);
    });
  }

  function completeUnframed(evidence: EndEvidence): void {
    reportUnframed(true, evidence);
    settle();
  }

  function failUnframed(evidence: EndEvidence, message: string): void {
    if (isDone) return;
    reportUnframed(false, evidence);
    fail(createReset(message));
  }

  function reportUnframed(isComplete: boolean, evidence: EndEvidence): void {
    options.onUnframedEnd({
      serverId: request.server.id,
      requestId: request.requestId,
      path: request.path,
      status: answerStatus,
      isComplete,
      evidence,
      bodyBytes,
      sinceHeadMs: Math.round(performance.now() - headAtMs),
    });
  }

  function settle(): void {
    connection.isPaused = false;
    if (connection.wasReset)
      return fail(createReset('connection was reset during the answer'));
    if (isDone) return;
    isDone = true;
    release(true);
    handler.onEnd();
  }

  function onResponseStart(
    started: Dispatcher.DispatchController,
    status: number,
  ): void {
    // Informational (1xx) answers precede the final one.
    if (isDone || status < 200) return;
    const rawHeaders = listRawHeaders(started);
    const isFramed = hasFraming(rawHeaders) || !hasBody(request.method, status);
    connection.isUnframed = !isFramed;
    connection.isClosing = /\bclose\b/i.test(
      findHeader(rawHeaders, 'Connection') ?? '',
    );
    if (!isFramed) links.prepareWitness();
    answerStatus = status;
    headAtMs = performance.now();
    lastBytesMs = headAtMs;
    options.onHead?.(status, rawHeaders);
    const answersBefore = connection.answerCount++;
    const answerAfterMs = Math.round(10 * (performance.now() - sentAtMs)) / 10;
    evidence = {connection: connection.number, answersBefore, answerAfterMs};
    const failure = handler.onAnswer(status, rawHeaders, {
      isFirst: answersBefore === 0,
      isFramed,
      evidence,
    });
    if (failure !== undefined) fail(failure);
  }

  function fail(failure: CallFailure): void {
    if (isDone) return;
    isDone = true;
    controller?.abort(new Error(failure.reason));
    release(false);
    handler.onFailure(
      evidence === undefined ? failure : {...failure, evidence},
    );
  }

  function cancel(): void {
    if (isDone) return;
    isDone = true;
    controller?.abort(new Error('cancelled'));
    release(false);
  }
}

/** True when an answer to this method with this status has a body. */
function hasBody(method: string, status: number): boolean {
  return method !== 'HEAD' && status !== 204 && status !== 304;
}

function createReset(message: string): CallFailure {
  return {verdict: Verdict.MayHaveRun, reason: 'reset', message};
}

function listRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw) ? raw.map(item => item.toString('latin1')) : [];
}
