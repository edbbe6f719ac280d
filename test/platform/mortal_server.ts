/** A backend server on raw sockets whose process may end while its port goes on accepting connections. */
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import type {StoreStandin} from './store_standin';

/** A request as it arrived. */
export interface RawRequest {
  readonly socket: Socket;
  readonly method: string;
  readonly path: string;
  /** Id of the caller's request; undefined for the gateway's own calls. */
  readonly id: string | undefined;
  readonly text: string;
}

/** Options of the server. */
export interface MortalServerOptions {
  readonly store: StoreStandin;
  readonly id: string;
  readonly service: string;
  /** Present for model engines. */
  readonly stage?: 'prefill' | 'decode';
  /** True when entries and reports state when the process started. */
  readonly statesStart: boolean;
  /** Answers the requests of callers. */
  readonly answer: (request: RawRequest, server: MortalServer) => void;
  /** Answers health checks and reports; the default does as the platform says. */
  readonly answerCheck?: (request: RawRequest, server: MortalServer) => void;
}

/** A running server. */
export interface MortalServer {
  readonly port: number;
  /** Number of connections accepted so far. */
  countConnections(): number;
  /** Number of health checks and reports so far. */
  countChecks(): number;
  /** Ends the process. The ends of connections other than `own` arrive after `lateMs`, that of `own` after `ownLateMs`; what comes on them meanwhile is lost. */
  killProcess(own: Socket, lateMs: number, ownLateMs?: number): void;
  /** Sends the head of a successful answer with these further header lines. */
  sendHead(request: RawRequest, ...lines: string[]): void;
  /** Answers a health check or a report as a server that lives. */
  sendCheckAnswer(request: RawRequest): void;
  /** Writes the entry to the store. */
  publish(state?: 'ready' | 'draining'): void;
  withdraw(): void;
  close(): void;
}

/** Start of the first process, in milliseconds since the Unix epoch. */
const FIRST_START_MS = 1_700_000_000_000;

/** Starts a server on a free loopback port and publishes its entry. */
export async function startMortalServer(
  options: MortalServerOptions,
): Promise<MortalServer> {
  const {store, id, service, stage} = options;
  const open = new Map<Socket, number>();
  let generation = 0;
  let connectionCount = 0;
  let checkCount = 0;
  const listener: Server = createServer(socket => {
    connectionCount++;
    open.set(socket, generation);
    socket.on('close', () => open.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', chunk => {
      if (open.get(socket) !== generation) return;
      text += chunk.toString('latin1');
      const request = tryParseRequest(socket, text);
      if (request === undefined) return;
      text = '';
      handle(request);
    });
  });
  await new Promise<void>(done => listener.listen(0, '127.0.0.1', done));
  const {port} = listener.address() as AddressInfo;
  const server: MortalServer = {
    port,
    countConnections: () => connectionCount,
    countChecks: () => checkCount,
    killProcess,
    sendHead,
    sendCheckAnswer,
    publish,
    withdraw: () => store.put('keyed.servers', id),
    close: () => {
      listener.close();
      for (const socket of open.keys()) socket.destroy();
    },
  };
  publish();
  return server;

  function handle(request: RawRequest): void {
    if (request.path === '/report' || request.path === '/healthz') {
      checkCount++;
      (options.answerCheck ?? sendCheckAnswer)(request, server);
      return;
    }
    options.answer(request, server);
  }

  function killProcess(own: Socket, lateMs: number, ownLateMs = 0): void {
    const ended = [...open.keys()].filter(
      socket => open.get(socket) === generation,
    );
    generation++;
    for (const socket of ended) {
      const delayMs = socket === own ? ownLateMs : lateMs;
      if (delayMs === 0) socket.destroy();
      else setTimeout(() => socket.destroy(), delayMs);
    }
  }

  function sendHead(request: RawRequest, ...lines: string[]): void {
    const head = [
      'HTTP/1.1 200 OK',
      `Anvilstack-Request-Id: ${request.id ?? ''}`,
      `Anvilstack-Response-Seal: seal-of-${id}`,
      ...lines,
    ];
    request.socket.write(`${head.join('\r\n')}\r\n\r\n`);
  }

  /** Like the servers of the platform, does not echo the id of the request. */
  function sendCheckAnswer({socket, path}: RawRequest): void {
    if (path === '/healthz') {
      socket.write(
        `HTTP/1.1 200 OK\r\nAnvilstack-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (stage === undefined) {
      socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    const report = {stage, models: [], busy: false, seq: 0, ...getStart()};
    const body = JSON.stringify(report);
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  }

  function getStart(): {born?: number} {
    return options.statesStart ? {born: FIRST_START_MS + generation} : {};
  }

  function publish(state: 'ready' | 'draining' = 'ready'): void {
    const entry = {
      service,
      address: `127.0.0.1:${port}`,
      zone: 'a',
      version: 'v1',
      maxBatch: 8,
      state,
      coldLeftMs: 0,
      seq: 1,
      ...getStart(),
      ...(stage === undefined ? {} : {stage, models: [{name: 'm'}]}),
    };
    store.put('keyed.servers', id, JSON.stringify(entry));
  }
}

/** Returns the request once its head and body have arrived. */
function tryParseRequest(socket: Socket, text: string): RawRequest | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const length = Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0);
  if (text.length < headEnd + 4 + length) return undefined;
  const [, method, path] = /^(\w+) (\S+)/.exec(text) ?? ['', '', ''];
  const id = /\r\nanvilstack-request-id: (\S+)/i.exec(text)?.[1];
  return {socket, method, path, id, text};
}
