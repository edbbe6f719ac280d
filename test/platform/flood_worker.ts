/** Threads that play the server of long answers and the callers that read them slowly, so that neither holds up the quick callers of a test. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {parentPort, Worker, workerData} from 'node:worker_threads';
import {buildHead, openCaller, sendBytes} from './slow_peers';

/** What a thread plays. */
type FloodRole =
  | {readonly kind: 'server'; readonly answerBytes: number}
  | {
      readonly kind: 'callers';
      readonly port: number;
      /** False when they never read. */
      readonly isReading: boolean;
      /** Number of answers that are asked for altogether, and at once. */
      readonly total: number;
      readonly atOnce: number;
    };

/** What the callers have seen. */
export interface FloodResult {
  readonly receivedBytes: number;
  readonly endedCount: number;
}

/** Time for which a slow caller does not read after each part, in milliseconds. */
const READ_PAUSE_MS = 20;
/** Callers open their first connections in groups, as the load balancer spreads them. */
const GROUP_SIZE = 10;
const GROUP_INTERVAL_MS = 20;
const CHUNK = Buffer.alloc(65_536, 'x');

/** Starts a thread with the file of a test, which calls `runFloodRole` there; resolves with its first message: the port of a server, or the result of the callers. */
export function startFloodThread(
  testUrl: string,
  role: FloodRole,
): {
  readonly first: Promise<unknown>;
  readonly stop: () => void;
} {
  const worker = new Worker(new URL(testUrl), {workerData: role});
  const first = new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  return {first, stop: () => void worker.terminate()};
}

function runServer(answerBytes: number): void {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, {
      'Anvilstack-Response-Seal': 'seal',
      'Anvilstack-Request-Id': String(request.headers['anvilstack-request-id']),
      'Content-Length': answerBytes,
    });
    sendBytes(response, CHUNK, answerBytes);
  });
  server.listen(0, '127.0.0.1', () =>
    parentPort?.postMessage((server.address() as AddressInfo).port),
  );
}

function runCallers({
  port,
  isReading,
  total,
  atOnce,
}: Extract<FloodRole, {kind: 'callers'}>): void {
  let startedCount = 0;
  let endedCount = 0;
  let receivedBytes = 0;
  const start = () => {
    startedCount++;
    const {socket} = openCaller(
      port,
      buildHead('/order/bulk', 0, 60_000, 'close'),
      isReading,
    );
    socket.on('data', chunk => {
      receivedBytes += chunk.length;
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
    });
    socket.on('close', () => {
      endedCount++;
      if (startedCount < total) start();
      else if (endedCount === total) {
        const result: FloodResult = {receivedBytes, endedCount};
        parentPort?.postMessage(result);
      }
    });
  };
  const startGroup = () => {
    for (let count = 0; count < GROUP_SIZE; count++) start();
    if (startedCount < atOnce) setTimeout(startGroup, GROUP_INTERVAL_MS);
  };
  startGroup();
}

/** Plays the role that `startFloodThread` gave this thread. */
export function runFloodRole(): void {
  // Connections that are not read do not keep a thread alive.
  parentPort?.on('message', () => undefined);
  const role = workerData as FloodRole;
  if (role.kind === 'server') runServer(role.answerBytes);
  else runCallers(role);
}
