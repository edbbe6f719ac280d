/**
 * Bytes of long answers that a gateway reads while it serves a quick caller.
 * The gateway, its callers and its servers share one event loop, so that the
 * count depends on the order of the reads, and not on the machine's load.
 */
import assert from 'node:assert/strict';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {buildHead, openCaller, publishState, sendBytes} from './slow_peers';
import {isNodeReady, sendAsCaller, startSystem, waitUntil} from './system';

const PART_BYTES = 65_536;
/** Length from which on an answer waits for its turn behind shorter ones. */
const LONG_BYTES = 4 * PART_BYTES;
const CHUNK = Buffer.alloc(PART_BYTES, 'x');
/** Long answers at a time. */
const FLOOD_COUNT = 64;
/** Quick requests, at least. */
const QUICK_COUNT = 200;
/** A quick request takes five turns of the event loop, in each of which two parts are read. Without turns, a hundred parts and more were read for most requests. */
const MAX_MEDIAN_PARTS = 20;
/** Includes the first 128 KiB of new answers, which are read at once, and requests that take more turns. */
const MAX_PARTS = 40;
/** Part of the requests that may exceed `MAX_PARTS`. */
const MAX_OVER_PART = 0.01;

/** Starts a server that answers with `bytes` bytes. */
async function startServer(bytes: number): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(200, {
        'Anvilstack-Response-Seal': 'seal',
        'Anvilstack-Request-Id': String(
          request.headers['anvilstack-request-id'],
        ),
        'Content-Length': bytes,
      });
      sendBytes(response, CHUNK, bytes);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

function getPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}

/** Counts what this process reads from a port on connections that it opens. */
function watchReads(port: number): {
  readonly getBytes: () => number;
  /** Number of connections on which more than `LONG_BYTES` has been read. */
  readonly countLong: () => number;
  readonly countOpen: () => number;
  readonly stop: () => void;
} {
  const sockets = new Set<Socket>();
  const isLong = ({bytesRead}: Socket) => bytesRead > LONG_BYTES;
  let closedBytes = 0;
  let closedLongCount = 0;
  const watchSocket = (message: unknown) => {
    const {socket} = message as {socket: Socket};
    socket.once('connect', () => {
      if (socket.remotePort === port) sockets.add(socket);
    });
    socket.once('close', () => {
      if (!sockets.delete(socket)) return;
      closedBytes += socket.bytesRead;
      if (isLong(socket)) closedLongCount++;
    });
  };
  subscribe('net.client.socket', watchSocket);
  return {
    getBytes: () =>
      [...sockets].reduce((sum, {bytesRead}) => sum + bytesRead, closedBytes),
    countLong: () => [...sockets].filter(isLong).length + closedLongCount,
    countOpen: () => sockets.size,
    stop: () => unsubscribe('net.client.socket', watchSocket),
  };
}

/** Keeps long answers under way, each to a caller that pauses for a turn of the event loop after each part, or reads nothing; returns a function that ends them. */
function startFlood(port: number, isReading: boolean): () => void {
  const sockets = new Set<Socket>();
  let isStopped = false;
  const start = () => {
    const {socket} = openCaller(
      port,
      buildHead('/order/bulk', 0, 60_000, 'close'),
      isReading,
    );
    sockets.add(socket);
    socket.on('data', () => {
      socket.pause();
      setImmediate(() => socket.resume());
    });
    socket.on('close', () => {
      sockets.delete(socket);
      if (!isStopped) start();
    });
  };
  for (let count = 0; count < FLOOD_COUNT; count++) start();
  return () => {
    isStopped = true;
    for (const socket of sockets) socket.destroy();
  };
}

/** Checks how much of the long answers is read between the sending of a quick request and its answer. */
async function checkReads(
  context: TestContext,
  options: {
    readonly answerBytes: number;
    readonly isReading: boolean;
    readonly memoryMb: number;
  },
): Promise<void> {
  const quickServer = await startServer(2);
  const longServer = await startServer(options.answerBytes);
  const longPort = getPort(longServer);
  const system = await startSystem({
    hasConfig: false,
    nodes: 0,
    memoryMb: options.memoryMb,
  });
  const routes = {timeoutMs: 30_000, sloMs: 20_000};
  publishState(system.store, getPort(quickServer), routes, longPort);
  const node = await system.addNode();
  await waitUntil('the node is ready', () => isNodeReady(node));
  const reads = watchReads(longPort);
  const hasEnded = () =>
    node.lines.some(
      ({message}) => message === 'caller does not take its answer',
    );
  const stopFlood = startFlood(node.callersPort, options.isReading);
  await waitUntil(
    'all long answers are under way',
    // Without turns, a few connections carry all answers, one after the other, or callers are ended before all have begun.
    () =>
      reads.countLong() >= FLOOD_COUNT ||
      reads.getBytes() >= FLOOD_COUNT * options.answerBytes ||
      hasEnded(),
    30_000,
  );
  const parts: number[] = [];
  let overCount = 0;
  while (
    overCount <= MAX_OVER_PART * QUICK_COUNT &&
    (parts.length < QUICK_COUNT || !(options.isReading || hasEnded()))
  ) {
    const readBytes = reads.getBytes();
    const {status} = await sendAsCaller(node.callersPort, {
      path: '/look/2',
      body: 'x'.repeat(2_000),
      deadlineMs: 20_000,
    });
    assert.equal(status, 200);
    parts.push((reads.getBytes() - readBytes) / PART_BYTES);
    if (parts[parts.length - 1] > MAX_PARTS) overCount++;
  }
  stopFlood();
  // The calls to the servers go on when their callers have left.
  for (const server of [quickServer, longServer]) {
    server.close();
    server.closeAllConnections();
  }
  await waitUntil('all calls have ended', () => reads.countOpen() === 0);
  reads.stop();
  await system.close();
  parts.sort((left, right) => left - right);
  const median = parts[Math.floor(parts.length / 2)];
  const late = parts[Math.floor(0.99 * parts.length)];
  context.diagnostic(
    `parts of 64 KiB that were read during a quick request: median ${median}, 99th percentile ${late}, most ${parts[parts.length - 1]} of ${parts.length} requests`,
  );
  // Guards against a process that reads all that has arrived of each long answer before it serves a quick caller.
  assert.ok(overCount <= MAX_OVER_PART * parts.length, `${late} parts`);
  assert.ok(median <= MAX_MEDIAN_PARTS, `median ${median} parts`);
  // Otherwise no long answers were under way.
  assert.ok(median > 0);
}

test('little of a flood of long answers is read while a quick caller is served', context =>
  checkReads(context, {
    answerBytes: 4_000_000,
    isReading: true,
    memoryMb: 202,
  }));
// A budget of 4 MB for answers, which half of the callers exhaust.
test('little is read while a quick caller is served beside callers that exhaust the budget for answers', context =>
  checkReads(context, {
    answerBytes: 8_000_000,
    isReading: false,
    memoryMb: 32,
  }));
