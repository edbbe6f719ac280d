/** Faults of larger fleets: servers that restart or stop responding, large configurations, and jumps of the wall clock. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '../../src/runtime/system_clock';
import type {ServerStandin} from './server_standin';
import {
  buildConfig,
  type CallerAnswer,
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

/** Time within which deployments require a configuration to be in force, in milliseconds. */
const APPLY_BOUND_MS = 2_000;
/** Number of concurrent callers; with one, requests would keep to the server with the idle connection. */
const CALLER_COUNT = 4;
/** Delay between the requests of a caller, in milliseconds. */
const REQUEST_INTERVAL_MS = 25;

/** Adds two servers of the plain service and sends a request; returns the server that ran it first, then the other. */
async function addApps(
  system: TestSystem,
  workMs = 1,
): Promise<ServerStandin[]> {
  const apps: ServerStandin[] = [];
  for (const id of ['app-1', 'app-2']) {
    apps.push(await system.addServer({id, service: 'app', zone: 'a', workMs}));
  }
  await waitUntil('the node is ready', () => isNodeReady(system.nodes[0]));
  await waitUntil('both servers are known', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === apps.length;
  });
  assert.equal((await system.send({path: '/look/x'})).status, 200);
  return apps.sort((left, right) => right.runs.length - left.runs.length);
}

/** Sends idempotent requests one after the other for `durationMs`. */
async function sendFor(
  system: TestSystem,
  durationMs: number,
): Promise<CallerAnswer[]> {
  const answers: CallerAnswer[] = [];
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt) {
    answers.push(await system.send({path: '/look/x'}));
    await sleep(REQUEST_INTERVAL_MS);
  }
  return answers;
}

function listStatuses(answers: readonly CallerAnswer[]): number[] {
  return [...new Set(answers.map(answer => answer.status))];
}

test('idempotent requests succeed while a server that stays listed crashes and restarts repeatedly', async () => {
  const system = await startSystem({});
  const [flapping, healthy] = await addApps(system);
  const restarts = (async () => {
    for (let round = 0; round < 4; round++) {
      await flapping.crash();
      await sleep(300);
      await flapping.restart();
      await sleep(300);
    }
  })();
  const answers = await sendFor(system, 2_400);
  await restarts;
  assert.deepEqual(listStatuses(answers), [200]);
  const runsBefore = flapping.runs.length;
  await healthy.crash();
  await waitUntil('the server is used again', async () => {
    await system.send({path: '/look/x'});
    return flapping.runs.length > runsBefore;
  });
  await system.close();
});

test('a listed server that accepts connections and never responds is not chosen after its first requests', async () => {
  const system = await startSystem({});
  const [silent, healthy] = await addApps(system);
  silent.setFault('mute');
  const silentRunsBefore = silent.runs.length;
  const healthyRunsBefore = healthy.runs.length;
  const callers = Array.from({length: CALLER_COUNT}, () =>
    sendFor(system, 3_000),
  );
  const answers = (await Promise.all(callers)).flat();
  assert.deepEqual(listStatuses(answers), [200]);
  // Each caller tries the server at first, then after 1 s and after longer pauses: at most four times in 3 s.
  const maxAttempts = 4 * CALLER_COUNT;
  const attempts = silent.runs.length - silentRunsBefore;
  assert.ok(attempts <= maxAttempts, `${attempts} of ${answers.length}`);
  assert.ok(
    healthy.runs.length - healthyRunsBefore >= answers.length - maxAttempts,
  );
  // The silent server's health is good, which does not show whether requests are answered; no server is chosen by it.
  assert.ok(silent.countHealthChecks() <= attempts + silentRunsBefore);
  const paths = [...silent.runs, ...healthy.runs].map(run => run.path);
  assert.ok(!paths.includes('/healthz'));
  await system.close();
});

test('requests on idle connections on which a server no longer responds are answered by another server', async () => {
  const system = await startSystem({});
  const apps = await addApps(system);
  apps[0].ignoreConnections();
  const answers = await sendFor(system, 2_000);
  assert.deepEqual(listStatuses(answers), [200]);
  assert.ok(answers.every(answer => answer.elapsedMs < 1_500));
  await system.close();
});

test('a configuration that grows by 1,400 routes is in force in time, and requests are served meanwhile', async () => {
  const system = await startSystem({nodes: 3});
  await addApps(system);
  const small = JSON.parse(buildConfig(2)) as {routes: object[]};
  const routes = Array.from({length: 1_400}, (_, index) => ({
    ...small.routes[0],
    name: `more-${index}`,
    pathPrefix: `/more-${index}/`,
  }));
  const serving = sendFor(system, 1_500);
  system.store.put(
    'keyed.op',
    'config',
    buildConfig(2, {routes: [...small.routes, ...routes]}),
  );
  await waitUntil(
    'all nodes serve the last of the new routes',
    async () => {
      const answers = await Promise.all(
        system.nodes.map((_node, index) =>
          system.send({path: '/more-1399/x'}, index),
        ),
      );
      return answers.every(answer => answer.status === 200);
    },
    APPLY_BOUND_MS,
  );
  assert.deepEqual(listStatuses(await serving), [200]);
  await system.close();
});

test('jumps of the wall clock do not affect requests, servers and configurations', async () => {
  const base = createSystemClock();
  let offsetMs = 0;
  const clock = {...base, getWallMs: () => base.getWallMs() + offsetMs};
  const system = await startSystem({nodes: 2, clock});
  const [used, other] = await addApps(system, 150);
  for (const jumpMs of [3_600_000, -7_200_000]) {
    const serving = sendFor(system, 700);
    // A request is in flight when the clock jumps.
    await sleep(80);
    offsetMs += jumpMs;
    assert.deepEqual(listStatuses(await serving), [200]);
    assert.equal(await isNodeReady(system.nodes[0]), true);
  }
  used.publish('draining');
  await waitUntil(
    'the leaving server gets no more requests',
    async () => {
      const before = used.runs.length;
      await Promise.all(
        system.nodes.map((_node, index) =>
          system.send({path: '/look/x'}, index),
        ),
      );
      return used.runs.length === before && other.runs.length > 0;
    },
    APPLY_BOUND_MS,
  );
  system.store.put('keyed.op', 'config', buildConfig(2, {routes: []}));
  await waitUntil(
    'the configuration without routes is in force',
    async () => (await system.send({path: '/look/x'})).status === 404,
    APPLY_BOUND_MS,
  );
  await system.close();
});
