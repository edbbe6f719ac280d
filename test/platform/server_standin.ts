/** Stand-in for a backend server of the platform: a model engine or a plain service. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
  type FalseAnswer,
  formatFalseAnswer,
  isFalseAnswer,
} from './false_answers';
import type {LimitChange} from './limit_check';
import type {StoreStandin} from './store_standin';

/** A request that the server has received. */
export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** True when the server answered before it had read the body, which is then empty here. */
  readonly isEarly?: boolean;
  /** On the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

/** The arrival of a call. */
export interface Arrival {
  /** Id of the caller's request; undefined for the gateway's own calls. */
  readonly id: string | undefined;
  /** On the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

/** The arrival of a call with the ids of the parts of its prompt, which are empty for other calls. */
export interface PromptArrival extends Arrival {
  readonly parts: readonly string[];
}

/**
 * Fault that the server shows until it is changed. `full` refuses requests
 * without running them, `no-kv` does so with the next request that has a KV source,
 * `mute` never responds to requests but reports, `dark` responds to nothing, and `busy-after-run` sends 503 for a request that ran.
 * `refuse-again` writes a refusal without a request id before the answer to a
 * request that ran, on connections that have carried an answer. `refuse-late`
 * refuses each request that comes for the first time, and writes that refusal once
 * more when the connection gets its next request. `endless` sends a stream in which
 * no event ends. `unframed` answers without a length, `unframed-cut` ends such a
 * stream inside an event, and `unframed-crash` crashes between two events of such a
 * stream or within another answer. `unframed-restart` does so too, but the port
 * goes on accepting connections, as when a supervisor holds the listening socket.
 * `error-on-resume` resets streams midway and fails the requests that resume them.
 * `answer-twice` writes each answer twice in a row, `answer-late` writes it once more
 * when the connection gets its next request. `exit` ends the process right after a
 * complete answer, `unframed-exit` after one without a length. `false_answers.ts`
 * describes the others.
 */
export type ServerFault =
  | 'none'
  | 'error'
  | 'full'
  | 'reset'
  | 'reset-midway'
  | 'mute'
  | 'dark'
  | 'other-id'
  | 'no-seal'
  | 'no-kv'
  | 'busy-after-run'
  | 'refuse-again'
  | 'refuse-late'
  | 'endless'
  | 'unframed'
  | 'unframed-cut'
  | 'unframed-crash'
  | 'unframed-restart'
  | 'error-on-resume'
  | 'answer-twice'
  | 'answer-late'
  | 'exit'
  | 'unframed-exit'
  | FalseAnswer;

/** A running stand-in. */
export interface ServerStandin {
  readonly id: string;
  readonly port: number;
  /** Requests that the server ran, in order, except prefill calls, which are in `prefills`. */
  readonly runs: ReceivedRequest[];
  readonly prefills: ReceivedRequest[];
  /** Bodies of the accepted stage orders, in order. */
  readonly orders: Array<Record<string, unknown>>;
  /** All calls in order of arrival, refused ones included. */
  readonly arrivals: PromptArrival[];
  /** Returns the stage that the engine works in; undefined for a plain service. */
  getStage(): 'prefill' | 'decode' | undefined;
  setFault(fault: ServerFault): void;
  /** Sets whether all responses carry the header that announces that the server leaves. */
  setLeaving(isLeaving: boolean): void;
  /** Refuses calls with 503 and this value of `Retry-After`; undefined serves them again. */
  setPause(retryAfter: string | undefined): void;
  /** States this limit, in requests per second, in all answers; undefined states none. */
  setLimit(limitPerS: number | undefined): void;
  /** The limits that callers of the server could know, each from its first complete answer on. */
  readonly limitChanges: readonly LimitChange[];
  /** Stops responding on the connections that are open now, without closing them. */
  ignoreConnections(): void;
  /** Stops listening and resets all connections; the entry in the store stays. */
  crash(): Promise<void>;
  /** Listens again on the same port. */
  restart(): Promise<void>;
  /** Ends like a process that crashes: closes all connections, and listens again with a new start time after `downMs`. */
  crashFor(downMs: number): Promise<void>;
  /** Lets the server crash for `downMs` soon after it begins to write an answer to a prompt with one of these parts. */
  setDeadlyParts(partIds: readonly string[], downMs: number): void;
  /** When the server crashed because of a part, on the monotonic clock, in milliseconds. */
  readonly partCrashes: ReadonlyArray<{
    readonly partId: string;
    readonly atMs: number;
  }>;
  /** Number of requests whose connection closed before the response was complete. */
  countAborted(): number;
  countHealthChecks(): number;
  /** Writes the server's entry to the store, by default in its last state; `born` is the start of its process, in milliseconds since the Unix epoch. */
  publish(state?: 'ready' | 'draining', born?: number): void;
  /** Deletes the server's entry from the store. */
  withdraw(): void;
  close(): void;
}

/** Options of the stand-in. */
export interface ServerStandinOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly store: StoreStandin;
  readonly stage?: 'prefill' | 'decode';
  /** Number of events of a stream. */
  readonly events?: number;
  /** Time before the response to a request begins, in milliseconds. */
  readonly workMs?: number;
  /** Time between events, in milliseconds. */
  readonly eventIntervalMs?: number;
  readonly port?: number;
  /** Proxy through which callers reach the server; it refuses connections while the server is down. */
  readonly link?: ServerLink;
}

/** A proxy before a server. */
export interface ServerLink {
  readonly port: number;
  /** Forwards later connections to this loopback port. */
  openTo(targetPort: number): Promise<void>;
  /** Resets the connection whose side at the server has this remote port. */
  resetConnection(targetRemotePort: number): void;
  stopListening(): void;
}

/** Headers by which a caller asks for a time of work, in milliseconds, and for spaces in the body of a plain answer. */
export const WORK_HEADER = 'standin-work-ms';
export const PADDING_HEADER = 'standin-padding-bytes';
/** Start time of a server's first process, in milliseconds since the Unix epoch. */
const FIRST_BORN_MS = 1_700_000_000_000;
/** Time from the beginning of an answer to the crash that a deadly part causes, in milliseconds. */
const CRASH_DELAY_MS = 40;
const ENDLESS_CHUNK = Buffer.alloc(65_536, 'x');
/** Time from an early answer to the reset of its connection, in milliseconds. */
const EARLY_RESET_MS = 5;
/** Paths of the gateway's own calls. */
const OWN_CALL = /^\/(report|healthz|order|kv-handle\/.*)$/;
/** Time for which a server is down after a crash of `unframed-crash`, in milliseconds. */
const CRASH_DOWN_MS = 1_000;

/** Starts a server on a free loopback port and publishes its entry. */
export async function startServerStandin(
  options: ServerStandinOptions,
): Promise<ServerStandin> {
  const {id, store} = options;
  const runs: ReceivedRequest[] = [];
  const prefills: ReceivedRequest[] = [];
  const orders: Array<Record<string, unknown>> = [];
  let stage = options.stage;
  let fault: ServerFault = 'none';
  let abortedCount = 0;
  let healthCheckCount = 0;
  let isLeaving = false;
  let pauseRetryAfter: string | undefined;
  let limit: number | undefined;
  let deadly = {partIds: new Set<string>(), downMs: 0};
  let born = FIRST_BORN_MS;
  let isDown = false;
  let lastState: 'ready' | 'draining' = 'ready';
  const partCrashes: Array<{partId: string; atMs: number}> = [];
  const limitChanges: LimitChange[] = [];
  const arrivals: PromptArrival[] = [];
  /** Refusals that are written again on these connections. */
  const lateRefusals = new WeakMap<Socket, string>();
  const refusedIds = new Set<string>();
  const answeredSockets = new WeakSet<Socket>();
  /** Answers that are written again on these connections. */
  const lateAnswers = new WeakMap<Socket, string>();
  const openSockets = new Set<Socket>();
  const ignoredSockets = new WeakSet<Socket>();
  const server = createServer((request, response) => {
    if (ignoredSockets.has(request.socket)) return;
    const id = request.headers['anvilstack-request-id'];
    arrivals.push({
      id: id?.toString(),
      atMs: performance.now(),
      parts: listPartIds(request),
    });
    if (fault === 'dark') return;
    if (fault === 'early' && !OWN_CALL.test(request.url ?? '')) {
      return answerEarly(request);
    }
    if (isLeaving) response.setHeader('Server-Leaving', '1');
    if (limit !== undefined) sendLimit(response, limit);
    // A request whose connection breaks before its end is not run.
    void readAll(request).then(
      body => handle(request, response, body),
      () => undefined,
    );
  });
  server.on('connection', (socket: Socket) => {
    openSockets.add(socket);
    socket.on('close', () => openSockets.delete(socket));
  });
  await listen(options.port ?? 0);
  const {port} = server.address() as AddressInfo;
  await options.link?.openTo(port);
  publish();
  return {
    id,
    port,
    runs,
    prefills,
    orders,
    arrivals,
    getStage: () => stage,
    setLeaving: next => {
      isLeaving = next;
    },
    setPause: next => {
      pauseRetryAfter = next;
    },
    limitChanges,
    setLimit: next => {
      limit = next;
      if (next === undefined) recordLimit(undefined);
    },
    setFault: next => {
      fault = next;
    },
    ignoreConnections: () => {
      for (const socket of openSockets) ignoredSockets.add(socket);
    },
    partCrashes,
    setDeadlyParts: (partIds, downMs) => {
      deadly = {partIds: new Set(partIds), downMs};
    },
    crashFor,
    crash: () => {
      options.link?.stopListening();
      return closeAll(socket => socket.resetAndDestroy());
    },
    restart: async () => {
      await listen(port);
      await options.link?.openTo(port);
    },
    countAborted: () => abortedCount,
    countHealthChecks: () => healthCheckCount,
    publish,
    withdraw: () => store.put('keyed.servers', id),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };

  function listen(onPort: number): Promise<void> {
    return new Promise(resolve => server.listen(onPort, '127.0.0.1', resolve));
  }

  function sendLimit(response: ServerResponse, limitPerS: number): void {
    response.setHeader('Server-Limit', String(limitPerS));
    response.on('finish', () => {
      if (limit === limitPerS) recordLimit(limitPerS);
    });
  }

  function recordLimit(limitPerS: number | undefined): void {
    if (limitChanges.at(-1)?.limitPerS === limitPerS) return;
    limitChanges.push({atMs: performance.now(), limitPerS});
  }

  async function closeAll(
    closeSocket: (socket: Socket) => void,
  ): Promise<void> {
    const closed = new Promise(resolve => server.close(resolve));
    for (const socket of openSockets) closeSocket(socket);
    await closed;
  }

  async function crashFor(downMs: number): Promise<void> {
    if (isDown) return;
    isDown = true;
    // Without a time away, the port accepts connections all the while, as under a supervisor that holds it.
    if (downMs > 0) options.link?.stopListening();
    await closeAll(socket => socket.destroy());
    await new Promise(resolve => setTimeout(resolve, downMs));
    born++;
    await listen(port);
    await options.link?.openTo(port);
    publish();
    isDown = false;
  }

  /** Ends like a process that crashes, with a new start time, while the port goes on accepting connections. */
  function crashProcess(): void {
    for (const socket of openSockets) socket.destroy();
    born++;
    publish();
  }

  /** Crashes soon after the answer has begun if the prompt holds a deadly part, and returns whether it does. */
  function crashOnDeadlyPart(received: ReceivedRequest): boolean {
    const partId = listPartIds(received).find(id => deadly.partIds.has(id));
    if (partId === undefined) return false;
    setTimeout(() => {
      if (isDown) return;
      partCrashes.push({partId, atMs: performance.now()});
      void crashFor(deadly.downMs);
    }, CRASH_DELAY_MS);
    return true;
  }

  function publish(state = lastState, bornMs = born): void {
    lastState = state;
    const entry = {
      service: options.service,
      address: `127.0.0.1:${options.link?.port ?? port}`,
      zone: options.zone,
      version: 'v1',
      maxBatch: 8,
      state,
      coldLeftMs: 0,
      seq: 1,
      born: bornMs,
      ...(stage === undefined ? {} : {stage, models: [{name: 'm'}]}),
    };
    store.put('keyed.servers', id, JSON.stringify(entry));
  }

  function handle(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const requestId = request.headers['anvilstack-request-id'];
    if (requestId !== undefined) {
      response.setHeader('Anvilstack-Request-Id', requestId);
    }
    const targetId = request.headers['anvilstack-target-instance'];
    if (targetId !== undefined && targetId !== id) {
      response.writeHead(421, {'Anvilstack-Instance-Id': id});
      response.end();
      return;
    }
    if (pauseRetryAfter !== undefined) {
      response.writeHead(503, {
        'Anvilstack-Not-Executed': '1',
        'Retry-After': pauseRetryAfter,
      });
      response.end();
      return;
    }
    if (request.url === '/report') return sendReport(response);
    if (request.url === '/healthz') return answerHealthCheck(response);
    if (request.url === '/order') return handleOrder(response, body);
    if (request.url?.startsWith('/kv-handle/')) {
      response.end();
      return;
    }
    run(request, response, body);
  }

  function run(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const received = createReceived(request, body);
    if (fault === 'full' || (fault === 'no-kv' && hasKvSource(received))) {
      if (fault === 'no-kv') fault = 'none';
      response.writeHead(503, {'Anvilstack-Not-Executed': '1'});
      response.end();
      return;
    }
    if (fault === 'refuse-late' && refuseLate(response, received.id)) return;
    if (fault === 'answer-late') sendLateAnswer(response.socket);
    if (received.headers['anvilstack-stage'] === 'prefill') {
      prefills.push(received);
      if (fault === 'mute') return;
      setTimeout(
        () => sendTransferHandle(response, received),
        options.workMs ?? 1,
      );
      return;
    }
    runs.push(received);
    response.on('close', () => {
      if (!response.writableFinished) abortedCount++;
    });
    if (fault === 'mute') return;
    const workMs = Number(received.headers[WORK_HEADER] ?? options.workMs ?? 1);
    setTimeout(() => sendAnswer(response, received), workMs);
  }

  /** Answers a request whose body is not read, and resets the connection within the body of the answer. */
  function answerEarly(request: IncomingMessage): void {
    const received = createReceived(request, '');
    const isPrefill = received.headers['anvilstack-stage'] === 'prefill';
    (isPrefill ? prefills : runs).push({...received, isEarly: true});
    const {socket} = request;
    const {remotePort = 0} = socket;
    socket.write(createFalseText('early', received));
    setTimeout(() => {
      if (!socket.destroyed) options.link?.resetConnection(remotePort);
      socket.resetAndDestroy();
    }, EARLY_RESET_MS);
  }

  /** Creates an answer with the headers of a sound one and a body that is none. */
  function createFalseText(kind: FalseAnswer, received: ReceivedRequest) {
    const headers = {
      'Anvilstack-Request-Id': received.id,
      'Anvilstack-Response-Seal': `seal-of-${id}`,
      ...(stage === undefined ? {} : {'Content-Type': 'text/event-stream'}),
    };
    const body =
      stage === undefined ? `${id} did ` : `${formatEvents(1, 1)}id: 2\ndata: `;
    return formatFalseAnswer(kind, headers, body);
  }

  function sendLateAnswer(socket: Socket | null): void {
    const copy = socket === null ? undefined : lateAnswers.get(socket);
    if (socket === null || copy === undefined) return;
    lateAnswers.delete(socket);
    socket.write(copy);
  }

  /** Prepares what happens after a complete answer. */
  function prepareEnd(response: ServerResponse, copy: string): void {
    const {socket} = response;
    if (fault === 'answer-late' && socket !== null) {
      lateAnswers.set(socket, copy);
    }
    const faultAtStart = fault;
    response.on('finish', () => {
      if (faultAtStart === 'answer-twice') socket?.write(copy);
      if (faultAtStart === 'exit' || faultAtStart === 'unframed-exit') {
        setImmediate(() => void crashFor(CRASH_DOWN_MS));
      }
    });
  }

  /** True when a connection has carried an answer to a request or a health check before; remembers it. */
  function hasAnswered(socket: Socket | null): boolean {
    if (socket === null) return false;
    const isKnown = answeredSockets.has(socket);
    answeredSockets.add(socket);
    return isKnown;
  }

  /** Refuses a request that comes for the first time; returns false for others, after a copy of the refusal that the connection carried last. */
  function refuseLate(response: ServerResponse, requestId: string): boolean {
    const {socket} = response;
    if (socket === null) return false;
    const copy = lateRefusals.get(socket);
    lateRefusals.delete(socket);
    if (copy !== undefined) socket.write(copy);
    if (refusedIds.has(requestId)) return false;
    refusedIds.add(requestId);
    const text = `HTTP/1.1 503 Service Unavailable\r\nAnvilstack-Not-Executed: 1\r\nAnvilstack-Request-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`;
    lateRefusals.set(socket, text);
    response.writeHead(503, {'Anvilstack-Not-Executed': '1'});
    response.end();
    return true;
  }

  function sendAnswer(
    response: ServerResponse,
    received: ReceivedRequest,
  ): void {
    if (fault === 'reset') {
      response.socket?.resetAndDestroy();
      return;
    }
    if (isFalseAnswer(fault)) {
      response.socket?.write(createFalseText(fault, received));
      return;
    }
    const headers: Record<string, string> = {
      'Anvilstack-Request-Id': fault === 'other-id' ? 'other' : received.id,
      'Anvilstack-Response-Seal': `seal-of-${id}`,
    };
    if (fault === 'no-seal') delete headers['Anvilstack-Response-Seal'];
    if (fault === 'error') {
      response.writeHead(500, headers);
      response.end('failed');
      return;
    }
    if (fault === 'error-on-resume' && isResumed(received)) {
      response.writeHead(500, headers);
      response.end('failed to resume');
      return;
    }
    const isUsed = hasAnswered(response.socket);
    if (fault === 'refuse-again' && isUsed) {
      response.socket?.write(
        'HTTP/1.1 503 Service Unavailable\r\nAnvilstack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      );
    }
    if (fault.startsWith('unframed')) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    if (fault === 'busy-after-run') {
      response.writeHead(503, {...headers, 'Retry-After': '1'});
      response.end();
      return;
    }
    if (stage !== undefined) return sendEvents(response, received, headers);
    const padding = ' '.repeat(Number(received.headers[PADDING_HEADER] ?? 0));
    const body = `${id} did ${padding}${received.method} ${received.path}`;
    const length = String(Buffer.byteLength(body));
    response.writeHead(
      200,
      fault.startsWith('unframed')
        ? headers
        : {...headers, 'Content-Length': length},
    );
    if (fault === 'unframed-crash') {
      response.write(body.slice(0, 5));
      setTimeout(() => void crashFor(CRASH_DOWN_MS), CRASH_DELAY_MS);
      return;
    }
    if (fault === 'unframed-restart') {
      response.write(body.slice(0, 5));
      setTimeout(crashProcess, CRASH_DELAY_MS);
      return;
    }
    if (fault !== 'reset-midway') {
      prepareEnd(response, formatAnswer(headers, body));
      response.end(body);
      return;
    }
    response.write(body.slice(0, 5));
    setTimeout(() => response.socket?.resetAndDestroy(), 5);
  }

  /** Sends bytes as fast as the caller reads them, until it closes the connection. */
  function sendEndless(response: ServerResponse): void {
    if (response.destroyed) return;
    const goOn = () => setImmediate(sendEndless, response);
    if (response.write(ENDLESS_CHUNK)) goOn();
    else response.once('drain', goOn);
  }

  /** Sends events numbered from 1, or from the one after `Last-Event-Id` when the stream is resumed. */
  function sendEvents(
    response: ServerResponse,
    received: ReceivedRequest,
    headers: Record<string, string>,
  ): void {
    const count = options.events ?? 3;
    let next = Number(received.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
    if (fault === 'endless') {
      sendEndless(response);
      return;
    }
    const isDeadly = crashOnDeadlyPart(received);
    prepareEnd(response, formatAnswer(headers, formatEvents(next, count)));
    sendNext();

    function sendNext(): void {
      if (response.destroyed) return;
      if (next > count) {
        response.end();
        return;
      }
      response.write(formatEvents(next, next));
      next++;
      if (isDeadly) return;
      if (isResumed(received) || next !== 3) {
        setTimeout(sendNext, options.eventIntervalMs ?? 1);
        return;
      }
      if (fault === 'unframed-crash') {
        setTimeout(() => void crashFor(CRASH_DOWN_MS), CRASH_DELAY_MS);
        return;
      }
      if (fault === 'unframed-restart') {
        setTimeout(crashProcess, CRASH_DELAY_MS);
        return;
      }
      if (fault === 'unframed-cut') {
        response.end(`id: ${next}\ndata: pie`);
        return;
      }
      if (fault === 'reset-midway' || fault === 'error-on-resume') {
        response.write(`id: ${next}\ndata: pie`);
        setTimeout(() => response.socket?.resetAndDestroy(), 5);
        return;
      }
      setTimeout(sendNext, options.eventIntervalMs ?? 1);
    }
  }

  function sendTransferHandle(
    response: ServerResponse,
    received: ReceivedRequest,
  ): void {
    if (fault === 'reset') {
      response.socket?.resetAndDestroy();
      return;
    }
    if (isFalseAnswer(fault)) {
      response.socket?.write(createFalseText(fault, received));
      return;
    }
    response.end(
      JSON.stringify({
        transferHandle: `h-${received.id}`,
        tokens: 1,
        version: 1,
      }),
    );
  }

  function sendReport(response: ServerResponse): void {
    const report = {stage, busy: false, seq: orders.length, running: 0, born};
    response.end(JSON.stringify(report));
  }

  /** The health of a server is good whatever it does with requests. */
  function answerHealthCheck(response: ServerResponse): void {
    healthCheckCount++;
    hasAnswered(response.socket);
    response.setHeader('Anvilstack-Instance-Id', id);
    response.end();
  }

  function handleOrder(response: ServerResponse, body: string): void {
    const order = JSON.parse(body) as Record<string, unknown>;
    if (order['precondition'] !== orders.length) {
      response.writeHead(409);
      response.end();
      return;
    }
    orders.push(order);
    stage = order['stage'] as 'prefill' | 'decode';
    publish();
    response.writeHead(202);
    response.end();
  }
}

function createReceived(
  request: IncomingMessage,
  body: string,
): ReceivedRequest {
  return {
    id: String(request.headers['anvilstack-request-id']),
    method: request.method ?? '',
    path: request.url ?? '',
    headers: request.headers,
    body,
    atMs: performance.now(),
  };
}

/** Formats a whole answer with a length. */
function formatAnswer(
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  const lines = Object.entries({
    ...headers,
    'Content-Length': Buffer.byteLength(body),
  }).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

function formatEvents(first: number, last: number): string {
  let text = '';
  for (let next = first; next <= last; next++) {
    text += `id: ${next}\ndata: piece ${next}\n\n`;
  }
  return text;
}

function isResumed({headers}: ReceivedRequest): boolean {
  return headers['last-event-id'] !== undefined;
}

/** Lists the ids of the parts of a request's prompt. */
function listPartIds({headers}: Pick<IncomingMessage, 'headers'>): string[] {
  const text = String(headers['anvilstack-prompt-prefix'] ?? '');
  return text === '' ? [] : text.split(',').map(part => part.split(':')[0]);
}

function hasKvSource(received: ReceivedRequest): boolean {
  return received.headers['anvilstack-kv-source'] !== undefined;
}

async function readAll(request: IncomingMessage): Promise<string> {
  let body = '';
  for await (const chunk of request) body += String(chunk);
  return body;
}
