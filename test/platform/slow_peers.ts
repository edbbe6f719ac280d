/** Callers and servers that read or write slowly, around a gateway that runs as a process of its own. */
import {type ChildProcess, execFileSync, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {listFreePorts} from '../support/program';
import {startStoreStandin} from './store_standin';
import {buildConfig, buildSettings, waitUntil} from './system';

/** A gateway process with one backend server per kind of answer. */
export interface SlowSystem {
  readonly callersPort: number;
  readonly getLog: () => string;
  /** Returns the resident memory of the process, in MB. */
  readonly readMemoryMb: () => number;
  readonly readMetrics: () => Promise<string>;
  readonly isRunning: () => boolean;
  /** Number of requests that the server is answering. */
  readonly countAnswering: () => number;
  readonly close: () => void;
}

/** Headers of the server's answers that are needed in all of them. */
const SEAL = {'Anvilstack-Response-Seal': 'seal'};
const CHUNK = Buffer.alloc(65_536, 'x');
const EVENT = Buffer.from(`id: 1\ndata: ${'x'.repeat(16_000)}\n\n`);

/** Builds the program and starts it; requests to `/N` of the service get N bytes, `/events/N` that many as events, and requests to `/unread` are not read. */
export async function startSlowSystem(options: {
  readonly memoryMb?: number;
  readonly routes?: Readonly<Record<string, unknown>>;
  /** Flags of Node.js for the process. */
  readonly nodeFlags?: readonly string[];
  /** Port of a further server, which answers the requests to `/order/`. */
  readonly orderPort?: number;
}): Promise<SlowSystem> {
  const directory = mkdtempSync(join(tmpdir(), 'anvilstack-'));
  const program = join(directory, 'gateway.cjs');
  execFileSync(process.execPath, ['scripts/build_gateway.mjs', program]);
  const store = await startStoreStandin();
  const ports = await listFreePorts(4);
  const [server, getAnswering] = await startServer();
  const {port} = server.address() as AddressInfo;
  publishState(store, port, options.routes ?? {}, options.orderPort);
  const limits =
    options.memoryMb === undefined
      ? '[limits]'
      : `[limits]\nmemoryMb = ${options.memoryMb}`;
  const path = join(directory, 'boot.toml');
  writeFileSync(
    path,
    buildSettings('front-1', ports, store.port, [])
      .replace('[limits]', limits)
      .replace('maxFds = 1000', 'maxFds = 10000'),
  );
  const child: ChildProcess = spawn(
    process.execPath,
    [...(options.nodeFlags ?? []), program],
    {
      env: {PATH: process.env['PATH'], ANVILSTACK_NODE_FILE: path},
    },
  );
  let log = '';
  child.stdout?.on('data', chunk => (log += String(chunk)));
  child.stderr?.on('data', chunk => (log += String(chunk)));
  await waitUntil('the gateway is ready', async () => {
    const url = `http://127.0.0.1:${ports[1]}/readyz`;
    const response = await fetch(url).catch(() => undefined);
    return response?.status === 200;
  });
  return {
    callersPort: ports[0],
    getLog: () => log,
    readMemoryMb: () => {
      const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1_024;
    },
    readMetrics: () =>
      fetch(`http://127.0.0.1:${ports[2]}/metrics`).then(answer =>
        answer.text(),
      ),
    isRunning: () => child.exitCode === null && child.signalCode === null,
    countAnswering: getAnswering,
    close: () => {
      child.kill('SIGKILL');
      server.close();
      server.closeAllConnections();
      store.close();
    },
  };
}

/** Publishes the server at `port` for all services or, with `orderPort`, for all but that of the requests to `/order/`. */
export function publishState(
  store: {put: (topic: string, key: string, value: string) => void},
  port: number,
  routeChanges: Readonly<Record<string, unknown>>,
  orderPort?: number,
): void {
  const config = JSON.parse(buildConfig(1)) as {
    routes: Array<{name: string}>;
    services: object[];
    limits: object;
  };
  config.routes = config.routes.map(route => ({
    ...route,
    service:
      orderPort !== undefined && route.name === 'order' ? 'orders' : 'app',
    ...routeChanges,
  }));
  if (orderPort !== undefined) {
    config.services.push({...config.services[0], name: 'orders'});
  }
  config.services = config.services.map(item => ({...item, maxConns: 5_000}));
  config.limits = {...config.limits, maxBodyBytes: 4_194_304};
  store.put('keyed.op', 'config', JSON.stringify(config));
  const entry = {
    service: 'app',
    address: `127.0.0.1:${port}`,
    zone: 'a',
    version: 'v1',
    maxBatch: 5_000,
    state: 'ready',
    coldLeftMs: 0,
    seq: 1,
    born: 1_700_000_000_000,
  };
  store.put('keyed.servers', 'app-1', JSON.stringify(entry));
  if (orderPort === undefined) return;
  const address = `127.0.0.1:${orderPort}`;
  const orders = {...entry, service: 'orders', address};
  store.put('keyed.servers', 'orders-1', JSON.stringify(orders));
}

async function startServer() {
  let answering = 0;
  const server = createServer((request, response) => {
    const [, , kind, size] = (request.url ?? '').split('/');
    if (kind === 'unread') return;
    answering++;
    response.on('close', () => answering--);
    request.resume();
    request.on('end', () => {
      const id = request.headers['anvilstack-request-id'];
      const headers = {...SEAL, 'Anvilstack-Request-Id': String(id)};
      const isEvents = kind === 'events';
      const bytes = Number(isEvents ? size : kind) || 2;
      response.writeHead(200, {
        ...headers,
        ...(isEvents
          ? {'Content-Type': 'text/event-stream'}
          : {'Content-Length': bytes}),
      });
      sendBytes(response, isEvents ? EVENT : CHUNK, bytes);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return [server, () => answering] as const;
}

/** Sends `bytes` bytes in parts as fast as they are taken. */
export function sendBytes(
  response: ServerResponse,
  part: Buffer,
  bytes: number,
): void {
  let left = bytes;
  const send = () => {
    while (left > 0 && !response.destroyed) {
      const next = part === EVENT ? part : part.subarray(0, left);
      left -= next.length;
      if (!response.write(next) && left > 0) {
        response.once('drain', send);
        return;
      }
    }
    response.end();
  };
  send();
}

let requestCount = 0;

/** Builds the head of a request; `bodyBytes` is the stated length, or 'chunked'. */
export function buildHead(
  path: string,
  bodyBytes: number | 'chunked' = 0,
  deadlineMs = 60_000,
  connection: 'keep-alive' | 'close' = 'keep-alive',
): string {
  requestCount++;
  return [
    `POST ${path} HTTP/1.1`,
    'Host: desk.example',
    `Anvilstack-Request-Id: slow-${requestCount}`,
    `Anvilstack-Deadline-Ms: ${deadlineMs}`,
    `Connection: ${connection}`,
    bodyBytes === 'chunked'
      ? 'Transfer-Encoding: chunked'
      : `Content-Length: ${bodyBytes}`,
    '\r\n',
  ].join('\r\n');
}

/** A caller that reads only when told to. */
export interface SlowCaller {
  readonly socket: Socket;
  /** Status of the response; 0 until it has been read. */
  readonly getStatus: () => number;
  readonly getText: () => string;
}

/** Opens a connection and sends bytes; the response is not read with `isReading` false. */
export function openCaller(
  port: number,
  text: string,
  isReading: boolean,
): SlowCaller {
  const socket = connect(port, '127.0.0.1', () => socket.write(text));
  let received = '';
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    if (received.length < 1_000) received += chunk.toString('latin1');
  });
  if (!isReading) socket.pause();
  return {
    socket,
    getStatus: () => Number(/^HTTP\/1\.1 (\d+)/.exec(received)?.[1] ?? 0),
    getText: () => received,
  };
}
