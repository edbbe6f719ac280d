/** A planned stop of a node: every request that it accepts gets an answer, in each phase of the stop. */
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  buildConfig,
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

const PROMPT = {tokens: '900,40', parts: 'aa:600,bb:300'};
/** Time after the start of a stop at which the node still listens, but refuses requests that may outlast it, in milliseconds. */
const REFUSING_MS = 2_950;
/** Longest time that a stop may take: the shutdown time of the settings less its margin, in milliseconds. */
const STOPPED_MS = 8_000;
const TIMEOUT_MS = 6_000;

/** Starts a node with an app and an engine whose streams last `streamMs`; all routes have a long time-out. */
async function startStoppable(
  streamMs: number,
  workMs = 1,
): Promise<TestSystem> {
  const system = await startSystem({});
  const config = JSON.parse(buildConfig(2)) as {
    routes: Array<Record<string, unknown>>;
  };
  for (const route of config.routes) route['timeoutMs'] = TIMEOUT_MS;
  system.store.put('keyed.op', 'config', JSON.stringify(config));
  const events = 10;
  await system.addServer({
    id: 'writer-1',
    service: 'llm',
    zone: 'a',
    stage: 'decode',
    events,
    eventIntervalMs: streamMs / events,
  });
  await system.addServer({id: 'app-1', service: 'app', zone: 'a', workMs});
  await waitUntil('the node knows all servers', async () => {
    const {entries, config: known} = await loadSnapshot(system.nodes[0]);
    return (
      entries.length === 2 &&
      known?.version === 2 &&
      isNodeReady(system.nodes[0])
    );
  });
  return system;
}

/** Sends a request on a connection of its own and collects the bytes that come back until it is closed. */
function openRaw(port: number): Promise<{socket: Socket; read(): string}> {
  return new Promise((resolve, reject) => {
    let text = '';
    const socket = connect(port, '127.0.0.1', () =>
      resolve({socket, read: () => text}),
    );
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.on('error', reject);
  });
}

function formatOrder(id: string): string {
  return `POST /order/${id} HTTP/1.1\r\nHost: desk.example\r\nAnvilstack-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;
}

test('the connection of a stream that began before the stop is closed after it, and takes no further request', async () => {
  const system = await startStoppable(1_000);
  const [node] = system.nodes;
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  const stream = system.send({path: '/ask/x', agent, ...PROMPT});
  await sleep(300);
  const stopped = node.gateway.stop();
  assert.equal((await stream).isComplete, true);
  await sleep(50);
  // The agent would use the connection again if it were still open.
  assert.deepEqual(Object.keys(agent.freeSockets), []);
  await stopped;
  agent.destroy();
  await system.close();
});

test('a request that might be cut off at the end of a stop is refused at once, and may be sent to another node', async () => {
  const system = await startStoppable(1_000, 1_000);
  const [node] = system.nodes;
  const stopped = node.gateway.stop();
  await sleep(REFUSING_MS);
  const late = await openRaw(node.callersPort);
  const sentAt = performance.now();
  late.socket.write(formatOrder('late'));
  await waitUntil('the answer has arrived', () => late.read() !== '');
  assert.match(late.read(), /^HTTP\/1\.1 503 /);
  assert.match(late.read(), /\r\nRetry-After: 0\.000\r\n/);
  assert.match(late.read(), /\r\nConnection: close\r\n/);
  assert.ok(performance.now() - sentAt < 500);
  await stopped;
  await system.close();
});

test('requests that are still open at the end of a stop get an answer that says whether they may have run', async () => {
  const system = await startStoppable(1, 20_000);
  const [node] = system.nodes;
  const startedAt = performance.now();
  const stopped = node.gateway.stop();
  await sleep(2_500);
  const order = system.send({path: '/order/x', deadlineMs: 20_000});
  const look = system.send({path: '/look/x', deadlineMs: 20_000});
  assert.equal((await order).status, 504);
  assert.ok((await look).status >= 500);
  await stopped;
  assert.ok(performance.now() - startedAt < STOPPED_MS);
  await system.close();
});

test('the answers of pipelined requests are all sent before a stopping node closes their connection', async () => {
  const system = await startStoppable(1, 300);
  const [node] = system.nodes;
  const {socket, read} = await openRaw(node.callersPort);
  socket.write(formatOrder('first') + formatOrder('second'));
  await sleep(100);
  const stopped = node.gateway.stop();
  await stopped;
  assert.equal(read().match(/HTTP\/1\.1 200 OK/g)?.length, 2);
  await system.close();
});
