/** Connections to backend servers: one request at a time on each, idle ones used again. */
import {Client, type Dispatcher} from 'undici';
import {Verdict} from '../verdict';
import type {BackendEntry, CallFailure} from './types';

/** Receives an answer. Nothing comes after `onEnd` or `onFailure`. */
export interface CallHandler {
  /** Takes the head of the answer; a failure returned here ends the call. */
  onAnswer(status: number, rawHeaders: readonly string[]): CallFailure | void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: CallFailure): void;
}

/** A request to a backend server. */
export interface BackendCall {
  readonly server: BackendEntry;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  readonly handler: CallHandler;
}

/** A request in progress. */
export interface OpenCall {
  /** Ends the call; the server sees its connection close. The handler hears nothing more. */
  cancel(): void;
  /** Stops or goes on reading the answer, for a slow caller. */
  setPaused(isPaused: boolean): void;
  /** True once the request has been written to a connection. */
  isSent(): boolean;
}

/** Connections to all backend servers. */
export interface Connections {
  call(request: BackendCall): OpenCall;
  /** Closes the idle connections of servers that are no longer listed. */
  keepOnly(serverIds: ReadonlySet<string>): void;
  countOpened(): number;
  close(): void;
}

/** Options of the connections. */
export interface ConnectionsOptions {
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds, unless its server says less. */
  readonly idleTimeoutMs?: number;
}

/** Several round trips between failure domains, and well within the shortest objective. */
const DEFAULT_CONNECT_TIMEOUT_MS = 300;
/** Shorter than the idle time-outs that servers state. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** How long before the stated idle time-out of a server a connection is given up, in milliseconds. */
const IDLE_MARGIN_MS = 700;
/** Upper bound on a server's stated idle time-out, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 30_000;

interface ServerConnections {
  readonly idle: Client[];
  readonly all: Set<Client>;
}

/** Creates an empty set of connections. */
export function createConnections(
  options: ConnectionsOptions = {},
): Connections {
  const servers = new Map<string, ServerConnections>();
  let openedCount = 0;
  return {call, keepOnly, countOpened: () => openedCount, close};

  function call(request: BackendCall): OpenCall {
    const connections = getConnections(request.server.id);
    const client = connections.idle.pop() ?? openClient(request.server);
    connections.all.add(client);
    const open = createOpenCall(request.handler, isReusable => {
      if (!isReusable || !servers.has(request.server.id)) {
        connections.all.delete(client);
        void client.destroy();
        return;
      }
      connections.idle.push(client);
    });
    client.dispatch(
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

  function getConnections(serverId: string): ServerConnections {
    const known = servers.get(serverId);
    if (known !== undefined) return known;
    const created = {idle: [], all: new Set<Client>()};
    servers.set(serverId, created);
    return created;
  }

  function openClient(server: BackendEntry): Client {
    const client = new Client(`http://${server.host}:${server.port}`, {
      connect: {
        timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      },
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      pipelining: 1,
    });
    client.on('connect', () => {
      openedCount++;
    });
    return client;
  }

  function keepOnly(serverIds: ReadonlySet<string>): void {
    for (const [id, connections] of servers) {
      if (serverIds.has(id)) continue;
      servers.delete(id);
      for (const client of connections.idle) void client.destroy();
    }
  }

  function close(): void {
    for (const connections of servers.values()) {
      for (const client of connections.all) void client.destroy();
    }
    servers.clear();
  }
}

interface DispatchedCall extends OpenCall {
  readonly dispatchHandler: Dispatcher.DispatchHandler;
}

/** Follows one request; `release` takes the connection back. */
function createOpenCall(
  handler: CallHandler,
  release: (isReusable: boolean) => void,
): DispatchedCall {
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isDone = false;
  return {
    cancel,
    setPaused: isPaused => {
      if (isPaused) controller?.pause();
      else controller?.resume();
    },
    isSent: () => isSent,
    dispatchHandler: {
      onRequestStart: started => {
        controller = started;
        isSent = true;
        if (isDone) started.abort(new Error('cancelled'));
      },
      onResponseStart,
      onResponseData: (_controller, chunk) => {
        if (!isDone) handler.onData(chunk);
      },
      onResponseEnd: () => {
        if (isDone) return;
        isDone = true;
        release(true);
        handler.onEnd();
      },
      onResponseError: (_controller, error) => {
        fail({
          verdict: isSent ? Verdict.MayHaveRun : Verdict.NotRun,
          reason: isSent ? 'reset' : 'connect',
          message: error.message,
        });
      },
    },
  };

  function onResponseStart(
    started: Dispatcher.DispatchController,
    status: number,
  ): void {
    // An interim answer comes before the real one.
    if (isDone || status < 200) return;
    const failure = handler.onAnswer(status, listRawHeaders(started));
    if (failure !== undefined) fail(failure);
  }

  function fail(failure: CallFailure): void {
    if (isDone) return;
    isDone = true;
    controller?.abort(new Error(failure.reason));
    release(false);
    handler.onFailure(failure);
  }

  function cancel(): void {
    if (isDone) return;
    isDone = true;
    controller?.abort(new Error('cancelled'));
    release(false);
  }
}

function listRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw) ? raw.map(item => item.toString('latin1')) : [];
}
