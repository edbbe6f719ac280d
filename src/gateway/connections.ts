/** HTTP connections to backend servers: each carries one request at a time and is reused when idle. */
import type {ReadTurns} from '../memory';
import {createSystemClock} from '../runtime';
import type {Clock} from '../runtime/types';
import type {Dispatcher} from 'undici';
import type {BackendCall, HeadListener, OpenCall} from './backend_call';
import {type Connection, createConnection} from './connection';
import {createOpenCall} from './open_call';
import type {ProcessChecks} from './process_check';
import {ProcessProof} from './process_proofs';
import {createProcessWitness, type ProcessWitness} from './process_witness';
import type {BackendEntry} from './types';
import type {UnframedEnd} from './unframed_end';

/** Connections to all backend servers. */
export interface Connections {
  call(request: BackendCall): OpenCall;
  /** True when an idle connection to the server is open. */
  hasIdle(serverId: string): boolean;
  /** Resolves to true when the process that was there at a time, on the monotonic clock, in milliseconds, shows that it lives. */
  checkProcess(server: BackendEntry, sinceMs: number): Promise<boolean>;
  /** Closes the connections to all servers but these, once no call to them is under way. */
  retainOnly(serverIds: ReadonlySet<string>): void;
  /** Number of connections opened since the start. */
  countOpened(): number;
  close(): void;
}

/** Options of the connections. */
export interface ConnectionsOptions {
  readonly clock?: Clock;
  /** Time-out for opening a connection, in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Idle time after which a connection is closed, in milliseconds, unless its server states a keep-alive time-out. */
  readonly idleTimeoutMs?: number;
  /** Called for every request before it is sent. */
  readonly onCall?: (server: BackendEntry) => HeadListener;
  /** Called when an answer without a length has ended and its end has been judged. */
  readonly onUnframedEnd?: (end: UnframedEnd) => void;
  /** Called when bytes of a server are no answer, with the id of the caller's request, if there is one. */
  readonly onInvalidAnswer?: (
    server: BackendEntry,
    message: string,
    requestId: string | undefined,
  ) => void;
  /** Checks that show whether a process lives; without them, only other requests can. */
  readonly checks?: ProcessChecks;
  /** Spreads the reading of long answers over the turns of the event loop. */
  readonly turns?: ReadTurns | undefined;
}

/** Time-out if the options give none: many round trips of a few milliseconds between failure domains, and no longer than the shortest latency objective. */
const DEFAULT_CONNECT_TIMEOUT_MS = 300;
/** Idle time-out if the options give none: shorter than the keep-alive time-outs that servers state. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/** The connections to one process of a server. */
interface ServerConnections {
  readonly server: BackendEntry;
  readonly idle: Connection[];
  /** Idle and busy ones. */
  readonly all: Set<Connection>;
  readonly witness: ProcessWitness;
}

/** Creates connections, which are opened on demand. */
export function createConnections(
  options: ConnectionsOptions = {},
): Connections {
  const {checks, clock = createSystemClock()} = options;
  const servers = new Map<string, ServerConnections>();
  /** Servers that are no longer in the list, until the last call to them has ended. */
  const retired = new Set<ServerConnections>();
  let openedCount = 0;
  return {
    call,
    hasIdle: serverId =>
      servers.get(serverId)?.idle.some(item => item.isOpen) ?? false,
    checkProcess: (server, sinceMs) =>
      new Promise(resolve => {
        getConnections(server).witness.checkProcess(sinceMs, proof =>
          resolve(proof !== ProcessProof.None),
        );
      }),
    retainOnly,
    countOpened: () => openedCount,
    close,
  };

  function call(request: BackendCall): OpenCall {
    const connections = getConnections(request.server);
    const {witness} = connections;
    const isForCaller =
      request.requestId !== undefined &&
      request.handler.needsProof?.() !== false;
    const mustKeep = isForCaller && witness.isNeeded();
    const send = () => {
      const idle = takeIdle(connections, request.usedConnections, mustKeep);
      return sendOn(request, connections, idle);
    };
    return mustKeep ? witness.prepare(send) : send();
  }

  /** Sends a request on a connection, or on a new one. */
  function sendOn(
    request: BackendCall,
    connections: ServerConnections,
    idle: Connection | undefined,
  ): OpenCall {
    const {server} = request;
    const {witness} = connections;
    const onHead = options.onCall?.(server);
    const connection = idle ?? openConnection(server, witness);
    connection.isIdle = false;
    request.usedConnections?.add(connection);
    connections.all.add(connection);
    const releaseBody = request.holdBody?.();
    const open = createOpenCall({
      clock,
      request,
      connection,
      ...(onHead === undefined ? {} : {onHead}),
      onAnswer: (status, rawHeaders, sentAtMs) =>
        witness.recordAnswer(connection, {
          status,
          rawHeaders,
          sentAtMs,
          requestId: request.requestId,
        }),
      checkProcess: witness.checkProcess,
      onUnframedEnd: end => options.onUnframedEnd?.(end),
      onInvalidAnswer: message =>
        options.onInvalidAnswer?.(server, message, request.requestId),
      release: isReusable => {
        release(connections, connection, isReusable);
        releaseBody?.();
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

  function release(
    connections: ServerConnections,
    connection: Connection,
    isReusable: boolean,
  ): void {
    if (isReusable) {
      connection.isIdle = true;
      connections.idle.push(connection);
    } else {
      connections.all.delete(connection);
      void connection.client.destroy();
    }
    closeRetired(connections);
    connections.witness.update();
  }

  /** Takes the most recently used open connection; without one, a closed one, which undici opens again. With `mustKeep`, the most recent one that a process has accepted stays. */
  function takeIdle(
    {idle}: ServerConnections,
    used: ReadonlySet<object> | undefined,
    mustKeep: boolean,
  ): Connection | undefined {
    const kept = mustKeep ? idle.findLast(isAccepted) : undefined;
    const openIndex = idle.findLastIndex(
      item => item.isOpen && item !== kept && !used?.has(item),
    );
    const index =
      openIndex >= 0 ? openIndex : idle.findLastIndex(item => !item.isOpen);
    return index < 0 ? undefined : idle.splice(index, 1)[0];
  }

  function getConnections(server: BackendEntry): ServerConnections {
    const known = servers.get(server.id);
    if (known !== undefined) {
      if (isSameProcess(known.server, server)) return known;
      closeWhenIdle(known);
    }
    const idle: Connection[] = [];
    const all = new Set<Connection>();
    const witness = createProcessWitness({
      server,
      clock,
      ...(checks === undefined ? {} : {checks}),
      listConnections: () => [...all],
      sendCall: (request, connection) => {
        const index = connection === undefined ? -1 : idle.indexOf(connection);
        if (index >= 0) idle.splice(index, 1);
        return sendOn(
          request,
          created,
          connection ?? takeIdle(created, undefined, false),
        );
      },
    });
    const created = {server, idle, all, witness};
    servers.set(server.id, created);
    return created;
  }

  function openConnection(
    server: BackendEntry,
    witness: ProcessWitness,
  ): Connection {
    return createConnection({
      server,
      connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      idleTimeoutMs: options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      countOpened: () => ++openedCount,
      onClose: witness.update,
      turns: options.turns,
    });
  }

  function retainOnly(serverIds: ReadonlySet<string>): void {
    for (const [id, connections] of servers) {
      if (!serverIds.has(id)) closeWhenIdle(connections);
    }
  }

  function closeWhenIdle(connections: ServerConnections): void {
    servers.delete(connections.server.id);
    retired.add(connections);
    closeRetired(connections);
  }

  /** Idle connections to a server that has left stay while answers from it are under way, whose ends they may show to be sound. */
  function closeRetired(connections: ServerConnections): void {
    const {idle, all} = connections;
    if (!retired.has(connections) || all.size > idle.length) return;
    retired.delete(connections);
    for (const {client} of idle.splice(0)) void client.destroy();
  }

  function close(): void {
    for (const {all, witness} of [...servers.values(), ...retired]) {
      witness.close();
      for (const {client} of all) void client.destroy();
    }
    servers.clear();
    retired.clear();
  }
}

function isSameProcess(left: BackendEntry, right: BackendEntry): boolean {
  return (
    left.startedAtMs === right.startedAtMs &&
    left.host === right.host &&
    left.port === right.port
  );
}

function isAccepted({isOpen, acceptedAtMs}: Connection): boolean {
  return isOpen && acceptedAtMs !== undefined;
}
