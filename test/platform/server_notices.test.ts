/** Notices in the responses of backend servers: that the server leaves, and `Retry-After` as a request for a pause. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerStandin} from './server_standin';
import {
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

const PROMPT = {tokens: '1000,3', parts: 'aa:800,bb:200'};
/** Number of requests that is enough to show that a server is no longer chosen. */
const REQUEST_COUNT = 20;
/** Maximum number of calls that may reach a server during its pause; the platform's rules call it BUDGET. */
const MAX_CALLS_IN_PAUSE = 2;
/** Time after the response within which the pause must take effect, in milliseconds. */
const PAUSE_EFFECT_DELAY_MS = 500;

async function startWithServers(
  nodes: number,
  serverKinds: ReadonlyArray<[string, 'app' | 'prefill' | 'decode']>,
): Promise<{system: TestSystem; servers: ServerStandin[]}> {
  const system = await startSystem({nodes});
  const servers: ServerStandin[] = [];
  for (const [id, kind] of serverKinds) {
    const stage = kind === 'app' ? undefined : kind;
    const service = kind === 'app' ? 'app' : 'llm';
    servers.push(await system.addServer({id, service, zone: 'a', stage}));
  }
  for (const node of system.nodes) {
    await waitUntil('the node knows all servers and nodes', async () => {
      const snapshot = await loadSnapshot(node);
      return (
        snapshot.entries.length === servers.length &&
        snapshot.nodes?.length === nodes &&
        isNodeReady(node)
      );
    });
  }
  return {system, servers};
}

async function sendRequests(
  system: TestSystem,
  path: string,
  options: object = {},
): Promise<number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < REQUEST_COUNT; index++) {
    const nodeIndex = index % system.nodes.length;
    const answer = await system.send({path, ...options}, nodeIndex);
    statuses.push(answer.status);
  }
  return statuses;
}

function countCalls(server: ServerStandin): number {
  return server.arrivals.length;
}

test('a server that announces in a response that it leaves gets no further requests from any node', async () => {
  const {system, servers} = await startWithServers(2, [
    ['app-1', 'app'],
    ['app-2', 'app'],
  ]);
  const [leaving, other] = servers;
  leaving.setLeaving(true);
  other.setFault('full');
  await system.send({path: '/look/x'});
  other.setFault('none');
  assert.ok(countCalls(leaving) > 0);
  await waitUntil('the other node knows that the server leaves', () =>
    system.nodes[1].lines.some(
      ({message}) =>
        message === 'another node reports that a backend server is leaving',
    ),
  );
  const before = countCalls(leaving);
  const statuses = await sendRequests(system, '/order/x');
  assert.deepEqual([...new Set(statuses)], [200]);
  assert.equal(countCalls(leaving), before);
  // The entry is written again, as after a store outage in which it lapsed; the server still leaves.
  leaving.withdraw();
  await sleep(700);
  leaving.publish();
  await sleep(700);
  await sendRequests(system, '/order/x');
  assert.equal(countCalls(leaving), before);
  // A new start time under the same id means a restarted server, which is used.
  leaving.setLeaving(false);
  leaving.publish('ready', 1_700_000_009_000);
  await other.crash();
  await waitUntil('the new server is used', async () => {
    await system.send({path: '/look/x'});
    return countCalls(leaving) > before;
  });
  await system.close();
});

test('a prefill engine that announces that it leaves gets no further prompts', async () => {
  const {system, servers} = await startWithServers(1, [
    ['reader-1', 'prefill'],
    ['reader-2', 'prefill'],
    ['writer-1', 'decode'],
    ['writer-2', 'decode'],
  ]);
  const prefillEngines = servers.slice(0, 2);
  for (const engine of prefillEngines) engine.setLeaving(true);
  await system.send({path: '/ask/x', ...PROMPT});
  const leaving = prefillEngines.find(engine => countCalls(engine) > 0);
  assert.ok(leaving !== undefined);
  for (const engine of prefillEngines) {
    if (engine !== leaving) engine.setLeaving(false);
  }
  const before = countCalls(leaving);
  const statuses = await sendRequests(system, '/ask/x', PROMPT);
  assert.deepEqual([...new Set(statuses)], [200]);
  assert.equal(countCalls(leaving), before);
  await system.close();
});

test('a server that asks for a pause gets no requests during the pause, and requests after it', async () => {
  const {system, servers} = await startWithServers(1, [
    ['app-1', 'app'],
    ['app-2', 'app'],
  ]);
  const [pausing, other] = servers;
  pausing.setPause('1.5');
  other.setFault('full');
  await system.send({path: '/look/x'});
  other.setFault('none');
  const askedAtMs = pausing.arrivals.at(-1)?.atMs ?? 0;
  const endsAtMs = askedAtMs + 1_500;
  pausing.setPause(undefined);
  while (performance.now() < endsAtMs - 50) {
    const answer = await system.send({path: '/order/x'});
    assert.equal(answer.status, 200);
    await sleep(10);
  }
  const inPause = pausing.arrivals.filter(
    ({atMs}) => atMs > askedAtMs + PAUSE_EFFECT_DELAY_MS && atMs < endsAtMs,
  );
  assert.ok(inPause.length <= MAX_CALLS_IN_PAUSE, `${inPause.length} calls`);
  await sleep(100);
  await other.crash();
  const answer = await system.send({path: '/look/x'});
  assert.equal(answer.status, 200);
  await system.close();
});

test('requests are refused at once with the shortest remaining pause as Retry-After when all servers ask for a pause', async () => {
  const {system, servers} = await startWithServers(1, [
    ['app-1', 'app'],
    ['app-2', 'app'],
    ['reader-1', 'prefill'],
    ['writer-1', 'decode'],
    ['writer-2', 'decode'],
  ]);
  servers[0].setPause('3');
  servers[1].setPause('1.2');
  for (const engine of servers.slice(2)) engine.setPause('2');
  await system.send({path: '/look/x'});
  await system.send({path: '/look/x'});
  const refused = await system.send({path: '/order/x'});
  assert.equal(refused.status, 503);
  const retryAfterS = Number(refused.headers['retry-after']);
  assert.ok(retryAfterS > 0.5 && retryAfterS <= 1.2, `${retryAfterS} s`);
  for (let tries = 0; tries < 3; tries++) {
    await system.send({path: '/ask/x', ...PROMPT});
  }
  const calls = servers.slice(2).map(countCalls);
  const stream = await system.send({path: '/ask/x', ...PROMPT});
  assert.equal(stream.status, 503);
  assert.ok(Number(stream.headers['retry-after']) > 1);
  assert.deepEqual(servers.slice(2).map(countCalls), calls);
  await system.close();
});

test('a 503 with Retry-After but without Anvilstack-Not-Executed is not passed on as a refusal', async () => {
  const {system, servers} = await startWithServers(1, [['app-1', 'app']]);
  servers[0].setFault('busy-after-run');
  const answer = await system.send({path: '/order/x', id: 'ran'});
  assert.equal(answer.status, 502);
  assert.equal(servers[0].runs.length, 1);
  await system.close();
});

test('a value of Retry-After that is not a valid number of seconds causes no pause', async () => {
  const {system, servers} = await startWithServers(1, [['app-1', 'app']]);
  for (const value of ['Wed, 21 Oct 2026 07:28:00 GMT', '-3', 'Infinity']) {
    servers[0].setPause(value);
    await system.send({path: '/look/x'});
    servers[0].setPause(undefined);
    const answer = await system.send({path: '/look/x'});
    assert.equal(answer.status, 200, value);
  }
  await system.close();
});
