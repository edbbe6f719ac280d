import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {ServerStandin} from './server_standin';
import {
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

const PROMPT_HEADERS = {tokens: '1000,10', parts: 'aa:800,bb:200'};
let system: TestSystem;
let apps: ServerStandin[];
let prefillEngine: ServerStandin;
let decodeEngines: ServerStandin[];

before(async () => {
  system = await startSystem({nodes: 1});
  const addServer = (id: string, stage?: 'prefill' | 'decode') =>
    system.addServer({id, service: stage ? 'llm' : 'app', zone: 'a', stage});
  apps = [await addServer('app-1'), await addServer('app-2')];
  prefillEngine = await addServer('reader-1', 'prefill');
  decodeEngines = [
    await addServer('writer-1', 'decode'),
    await addServer('writer-2', 'decode'),
  ];
  await waitUntil('the node is ready and knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 5 && isNodeReady(system.nodes[0]);
  });
});

after(() => system.close());

function setFaults(
  servers: ServerStandin[],
  fault: Parameters<ServerStandin['setFault']>[0],
) {
  for (const server of servers) server.setFault(fault);
}

function countRuns(servers: ServerStandin[], id: string): number {
  return servers.reduce(
    (sum, server) => sum + server.runs.filter(run => run.id === id).length,
    0,
  );
}

test('a plain request is forwarded unchanged, and its response comes back with the seal', async () => {
  const answer = await system.send({
    path: '/look/a%2Fb?x=1',
    id: 'plain',
    body: 'bytes',
  });
  assert.equal(answer.status, 200);
  assert.match(
    String(answer.headers['anvilstack-response-seal']),
    /^seal-of-app/,
  );
  const run = apps.flatMap(app => app.runs).find(item => item.id === 'plain');
  assert.equal(run?.path, '/look/a%2Fb?x=1');
  assert.equal(run?.body, 'bytes');
  const left = Number(run?.headers['anvilstack-deadline-ms']);
  assert.ok(left > 0 && left <= 5_000);
});

test('headers that only the system may set are dropped from the request of a caller', async () => {
  await system.send({
    path: '/order/x',
    id: 'forged',
    headers: {
      'Anvilstack-Hold': 'x',
      'Anvilstack-Kv-Backup': '1.2.3.4:5',
      'Anvilstack-Stage': 'prefill',
    },
  });
  const run = apps.flatMap(app => app.runs).find(item => item.id === 'forged');
  assert.ok(run !== undefined);
  assert.equal(run.headers['anvilstack-hold'], undefined);
  assert.equal(run.headers['anvilstack-kv-backup'], undefined);
  assert.equal(run.headers['anvilstack-stage'], undefined);
});

test('an unknown path is answered with 404', async () => {
  assert.equal((await system.send({path: '/nothing/'})).status, 404);
});

test('an idempotent request is retried on another server after an error', async () => {
  apps[0].setFault('error');
  for (let index = 0; index < 6; index++) {
    const answer = await system.send({path: '/look/x', method: 'GET'});
    assert.equal(answer.status, 200);
  }
  apps[0].setFault('none');
});

test('a non-idempotent request runs once when its connection is reset', async () => {
  setFaults(apps, 'reset');
  const answer = await system.send({path: '/order/x', id: 'once'});
  setFaults(apps, 'none');
  assert.equal(answer.status, 502);
  assert.equal(countRuns(apps, 'once'), 1);
});

test('a request refused with 503 by full servers has not run', async () => {
  setFaults(apps, 'full');
  const answer = await system.send({path: '/order/x', id: 'full'});
  setFaults(apps, 'none');
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(countRuns(apps, 'full'), 0);
});

test('a truncated response is not passed on as a complete one', async () => {
  setFaults(apps, 'reset-midway');
  const answer = await system.send({path: '/order/x'});
  setFaults(apps, 'none');
  assert.equal(answer.status, 502);
});

test('a response to another request and a response without a seal are not passed on', async () => {
  for (const fault of ['other-id', 'no-seal'] as const) {
    setFaults(apps, fault);
    const answer = await system.send({path: '/order/x'});
    assert.equal(answer.status, 502);
  }
  setFaults(apps, 'none');
});

test('a request without a response ends at the timeout of its route', async () => {
  setFaults(apps, 'mute');
  const answer = await system.send({path: '/order/x', id: 'mute'});
  setFaults(apps, 'none');
  assert.equal(answer.status, 504);
  assert.equal(countRuns(apps, 'mute'), 1);
});

test('a model request is prefilled by a prefill engine and streamed by a decode engine', async () => {
  const answer = await system.send({
    path: '/ask/x',
    id: 'stream',
    ...PROMPT_HEADERS,
  });
  assert.equal(answer.status, 200);
  assert.equal(answer.body.match(/data: piece/g)?.length, 3);
  assert.equal(
    prefillEngine.prefills.filter(item => item.id === 'stream').length,
    1,
  );
  const run = decodeEngines
    .flatMap(item => item.runs)
    .find(item => item.id === 'stream');
  assert.equal(
    run?.headers['anvilstack-kv-source'],
    `127.0.0.1:${prefillEngine.port}/h-stream`,
  );
});

test('a prompt is prefilled again when its KV cache cannot be fetched', async () => {
  setFaults(decodeEngines, 'no-kv');
  const answer = await system.send({
    path: '/ask/x',
    id: 'no-kv',
    ...PROMPT_HEADERS,
  });
  setFaults(decodeEngines, 'none');
  assert.equal(answer.status, 200);
  assert.equal(countRuns(decodeEngines, 'no-kv'), 1);
});

test('a resumable stream continues on another server without lost or repeated events', async () => {
  setFaults(decodeEngines, 'reset-midway');
  const answer = await system.send({
    path: '/resume/x',
    id: 'resumed',
    ...PROMPT_HEADERS,
  });
  setFaults(decodeEngines, 'none');
  assert.equal(answer.isComplete, true);
  assert.deepEqual(answer.body.match(/^id: \d+/gm), [
    'id: 1',
    'id: 2',
    'id: 3',
  ]);
});

test('a stream that is not resumable is cut when its server fails', async () => {
  setFaults(decodeEngines, 'reset-midway');
  const answer = await system.send({
    path: '/ask/x',
    id: 'cut',
    ...PROMPT_HEADERS,
  });
  setFaults(decodeEngines, 'none');
  assert.equal(answer.isComplete, false, JSON.stringify(answer));
  assert.equal(countRuns(decodeEngines, 'cut'), 1);
});

test('a stream whose caller disconnects is cancelled at its server', async () => {
  setFaults(decodeEngines, 'mute');
  const abortedBefore =
    decodeEngines[0].countAborted() + decodeEngines[1].countAborted();
  const answer = await system.send({
    path: '/ask/x',
    abortAfterMs: 150,
    ...PROMPT_HEADERS,
  });
  assert.equal(answer.status, 0);
  await waitUntil(
    'the server sees its connection close',
    () =>
      decodeEngines[0].countAborted() + decodeEngines[1].countAborted() >
      abortedBefore,
  );
  setFaults(decodeEngines, 'none');
});

test('a body over the limit is refused with 413', async () => {
  const answer = await system.send({
    path: '/order/x',
    body: 'x'.repeat(100_001),
  });
  assert.equal(answer.status, 413);
});

test('each ended request has a log line with its id and outcome', async () => {
  await system.send({path: '/order/x', id: 'logged'});
  const line = system.nodes[0].lines.find(
    item =>
      item['requestId'] === 'logged' && item['message'] === 'request ended',
  );
  assert.equal(line?.['outcome'], 'answered');
});

test('a decode engine that does not respond is not chosen again by any node', async () => {
  const second = await system.addNode();
  await waitUntil('the second node is ready', () => isNodeReady(second));
  await waitUntil('it knows the servers', async () => {
    const answer = await system.send({path: '/ask/x', ...PROMPT_HEADERS}, 1);
    return answer.status === 200;
  });
  decodeEngines[0].setFault('dark');
  const countRequests = () =>
    decodeEngines[0].arrivals.filter(({id}) => id !== undefined).length;
  const ids = Array.from({length: 6}, (_, index) => `dark-${index}`);
  const sent = ids.map(id =>
    system.send({path: '/ask/x', id, ...PROMPT_HEADERS}),
  );
  await waitUntil('the second node believes the report of the first', () =>
    second.lines.some(line => line['isBelieved'] === true),
  );
  const before = countRequests();
  const answers = await Promise.all(
    ids.map(() => system.send({path: '/ask/x', ...PROMPT_HEADERS}, 1)),
  );
  assert.ok(answers.every(answer => answer.status === 200));
  assert.equal(countRequests(), before);
  decodeEngines[0].setFault('none');
  await Promise.all(sent);
});
