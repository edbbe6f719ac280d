import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {after, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listFreePorts} from '../support/program';
import type {ServerStandin} from './server_standin';
import {
  buildConfig,
  type CallerAnswer,
  type CallerOptions,
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

const KEY = 'key-of-ada-0123456789';
const OTHER_KEY = 'key-of-bob-0123456789';
const MODEL = {tokens: '1000,3', parts: 'aa:800,bb:200'};
/** Time within which nodes that the store turns away refuse removed keys, in milliseconds. */
const REVOKE_BOUND_MS = 1_500;

/** Builds a configuration in which ada has these keys, and only the route `order` is public. */
function buildAccounts(version: number, adaKeys: readonly string[]): string {
  const {routes} = JSON.parse(buildConfig(version)) as {
    routes: Array<{name: string}>;
  };
  return buildConfig(version, {
    routes: routes.map(item => ({...item, public: item.name === 'order'})),
    tenants: [
      {name: 'ada', apiKeys: adaKeys, priority: 0},
      {name: 'b\u00f6b', apiKeys: [OTHER_KEY]},
      {name: 'x\ny', apiKeys: ['key-of-nobody'], priority: 'high'},
      7,
    ],
  });
}

async function startAccounts(
  options: Parameters<typeof startSystem>[0] & {
    readonly workMs?: number;
  } = {},
): Promise<{system: TestSystem; app: ServerStandin; engines: ServerStandin[]}> {
  const system = await startSystem({...options, hasConfig: false});
  system.store.put('keyed.op', 'config', buildAccounts(1, [KEY]));
  const {workMs} = options;
  const add = (id: string, stage?: 'prefill' | 'decode') =>
    system.addServer({
      id,
      service: stage === undefined ? 'app' : 'llm',
      zone: 'a',
      ...(stage === undefined ? {} : {stage}),
      ...(workMs === undefined ? {} : {workMs}),
    });
  const app = await add('app-1');
  const engines = [
    await add('reader-1', 'prefill'),
    await add('w-1', 'decode'),
  ];
  await waitForServers(system, 3);
  after(system.close);
  return {system, app, engines};
}

async function waitForServers(system: TestSystem, count: number) {
  await waitUntil('all nodes are ready', async () => {
    const snapshots = await Promise.all(system.nodes.map(loadSnapshot));
    const ready = await Promise.all(system.nodes.map(isNodeReady));
    return (
      ready.every(Boolean) &&
      snapshots.every(item => item.entries.length === count)
    );
  });
}

function addKey(key: string, options: CallerOptions): CallerOptions {
  const headers = {...options.headers, Authorization: `Bearer ${key}`};
  return {...options, headers};
}

test('servers get the name of the account and never a key, whatever the caller sends', async () => {
  const {system, app, engines} = await startAccounts();
  const forged = {'Anvilstack-Tenant': 'mallory'};
  const send = (options: CallerOptions) => system.send(options);
  const order = {path: '/order/x', headers: forged};
  const statuses = [
    await send(addKey(KEY, {path: '/look/x', headers: forged})),
    await send(addKey(OTHER_KEY, order)),
    await send(addKey('unknown', order)),
    await send(order),
    await send(addKey(KEY, {path: '/ask/x', headers: forged, ...MODEL})),
    await send(addKey('unknown', {path: '/look/x'})),
    await send({path: '/ask/x', ...MODEL}),
    await send(addKey('key-of-nobody', {path: '/look/x'})),
  ].map(answer => answer.status);
  assert.deepEqual(statuses, [200, 200, 200, 200, 200, 401, 401, 401]);
  const names = app.runs.map(run => run.headers['anvilstack-tenant']);
  const sentBob = Buffer.from('b\u00f6b').toString('latin1');
  assert.deepEqual(names, ['ada', sentBob, undefined, undefined]);
  const calls = [...engines[0].prefills, ...engines[1].runs];
  assert.equal(calls.length, 2);
  for (const {headers} of calls) {
    assert.equal(headers['anvilstack-tenant'], 'ada');
    assert.equal(headers['anvilstack-request-urgency'], '0');
  }
  const all = [...app.runs, ...calls].map(call => call.headers.authorization);
  assert.deepEqual(new Set(all), new Set([undefined]));
});

test('no log line, snapshot, metric or answer contains a key', async () => {
  const {system} = await startAccounts();
  const answers = [
    await system.send(addKey(KEY, {path: '/look/x'})),
    await system.send(addKey('key-unknown-4711', {path: '/look/x'})),
    await system.send(addKey('key-unknown-4711', {path: '/none'})),
  ];
  const {controlPort, lines} = system.nodes[0];
  const control = `http://127.0.0.1:${controlPort}`;
  const metrics = await (await fetch(`${control}/metrics`)).text();
  const snapshot = await (await fetch(`${control}/snapshot`)).text();
  assert.match(metrics, /authentications_total\{outcome="key-unknown"\} 1/);
  assert.match(snapshot, /"accounts"/);
  const refusal = lines.find(
    line => line['message'] === 'refused: key-unknown',
  );
  assert.equal(refusal?.['configVersion'], 1);
  assert.equal(typeof refusal?.['requestId'], 'string');
  const texts = [metrics, snapshot, JSON.stringify([lines, answers])].join();
  for (const key of [KEY, OTHER_KEY, 'key-of-nobody', 'key-unknown-4711']) {
    assert.ok(!texts.includes(key), key);
  }
});

test('without accounts the headers of callers are unchanged', async () => {
  const system = await startSystem({});
  after(system.close);
  const app = await system.addServer({id: 'app-1', service: 'app', zone: 'a'});
  await waitForServers(system, 1);
  const headers = {'Anvilstack-Tenant': 'x', Authorization: 'Bearer y'};
  await system.send({path: '/look/x', headers});
  assert.equal(app.runs[0].headers['anvilstack-tenant'], 'x');
  assert.equal(app.runs[0].headers.authorization, 'Bearer y');
});

test('a removed key is refused in time by a node that the store turns away, also on an open connection, and a new one works', async () => {
  const {system} = await startAccounts({nodes: 3});
  const [closedPort] = await listFreePorts(1);
  await system.addNode(closedPort);
  await waitForServers(system, 3);
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  after(() => agent.destroy());
  const getStatus = async (key: string) =>
    (await system.send(addKey(key, {path: '/look/x', agent}), 3)).status;
  assert.equal(await getStatus(KEY), 200);
  for (const [version, key, next] of [
    [2, KEY, 'key-2-of-ada'],
    [3, 'key-2-of-ada', 'key-3-of-ada'],
  ] as const) {
    system.store.put('keyed.op', 'config', buildAccounts(version, [next]));
    await waitUntil(
      'the removed key is refused',
      async () => (await getStatus(key)) === 401,
      REVOKE_BOUND_MS,
    );
    assert.equal(await getStatus(next), 200);
  }
});

test('a request whose key is removed while its prompt is read runs nowhere', async () => {
  const {system, engines} = await startAccounts({workMs: 250});
  const answer = system.send(addKey(KEY, {path: '/ask/x', ...MODEL}));
  await waitUntil('the prompt is read', () => engines[0].prefills.length === 1);
  system.store.put('keyed.op', 'config', buildAccounts(2, []));
  const {status, body} = await answer;
  assert.equal(status, 401);
  assert.equal(body, 'key-revoked (not-run)\n');
  assert.equal(engines[1].runs.length, 0);
});

test('a request whose key is removed before its retry is not sent again', async () => {
  const {system, app} = await startAccounts();
  const second = await system.addServer({
    id: 'app-2',
    service: 'app',
    zone: 'a',
  });
  await waitForServers(system, 4);
  for (const server of [app, second]) server.setFault('mute');
  const answer = system.send(addKey(KEY, {path: '/look/x'}));
  const countRuns = () => app.runs.length + second.runs.length;
  await waitUntil('a server has the request', () => countRuns() === 1);
  system.store.put('keyed.op', 'config', buildAccounts(2, []));
  const {status, body} = await answer;
  assert.equal(status, 502);
  assert.equal(body, 'key-revoked (may-have-run)\n');
  assert.equal(countRuns(), 1);
});

test('a node cut off answers 503 instead of 401 and 404, and refuses keys once a removed one could be in use', async () => {
  const {system} = await startAccounts({
    bounds: 'strictRevoke = true\nrevokeMs = 3500',
  });
  const getStatuses = async () => {
    const answers = [
      await system.send(addKey('unknown', {path: '/look/x'})),
      await system.send({path: '/look/x'}),
      await system.send({path: '/none'}),
      await system.send(addKey(KEY, {path: '/look/x'})),
      await system.send({path: '/order/x'}),
    ];
    for (const {status, headers} of answers) {
      assert.equal(status === 503, headers['retry-after'] !== undefined);
    }
    return answers.map(answer => answer.status).join();
  };
  assert.equal(await getStatuses(), '401,401,404,200,200');
  system.store.setFault('refusing');
  await waitUntil(
    'unknown keys are no longer refused for good',
    async () => (await getStatuses()) === '503,503,503,200,200',
    3_400,
  );
  await waitUntil(
    'known keys are refused',
    async () => (await getStatuses()) === '503,503,503,503,200',
    3_000,
  );
  system.store.setFault('none');
  await waitUntil(
    'the state is current again',
    async () => (await getStatuses()) === '401,401,404,200,200',
  );
});

// Guards against a flow that refuses a prompt without remembering its caller, or forgets to ask.
test('a caller that retries a refused prompt before it was told to is refused again', async () => {
  const {system} = await startAccounts();
  let startedAtMs = 0;
  const send = () => {
    const deadlineMs = 950 - Math.round(performance.now() - startedAtMs);
    const big = {tokens: '99000,3', parts: 'aa:80000,bb:19000', deadlineMs};
    return system.send(addKey(KEY, {path: '/ask/x', ...big}));
  };
  const getToldMs = ({headers}: CallerAnswer) =>
    Number(headers['retry-after']) * 1_000;
  for (;;) {
    startedAtMs = performance.now();
    const refused = await send();
    const refusedAtMs = performance.now();
    const early = await send();
    // On a busy machine the second attempt may not have been early.
    if (performance.now() - refusedAtMs >= getToldMs(refused)) continue;
    await sleep(getToldMs(early));
    const answers = [refused, early, await send()];
    assert.deepEqual(
      answers.map(({status, body}) => [status, body.trim()]),
      [
        [503, 'engines are busy (not-run)'],
        [503, 'retried-early (not-run)'],
        [503, 'engines are busy (not-run)'],
      ],
    );
    return;
  }
});
