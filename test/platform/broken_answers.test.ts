/** Answers that a faulty server breaks off, joins to another one or writes again. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRawServer} from '../gateway/support';
import type {ServerFault, ServerStandin} from './server_standin';
import {
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

let system: TestSystem;
let app: ServerStandin;
let engines: ServerStandin[];

before(async () => {
  system = await startSystem({});
  app = await system.addServer({id: 'app-1', service: 'app', zone: 'a'});
  const addEngine = (id: string, stage: 'prefill' | 'decode') =>
    system.addServer({id, service: 'llm', zone: 'a', stage});
  await addEngine('reader-1', 'prefill');
  engines = [
    await addEngine('writer-1', 'decode'),
    await addEngine('writer-2', 'decode'),
  ];
  await waitUntil('the node knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 4 && isNodeReady(system.nodes[0]);
  });
});
after(() => system.close());

const WHOLE_STREAM = [1, 2, 3]
  .map(id => `id: ${id}\ndata: piece ${id}\n\n`)
  .join('');
/** Time for which a server that crashed gets no requests, in milliseconds. */
const EJECTION_MS = 2_500;
const STREAM_PATHS = ['/ask/x', '/resume/x'];

function setEngineFault(fault: ServerFault): void {
  for (const engine of engines) engine.setFault(fault);
}

let promptCount = 0;

/** Sends a prompt with a last part of its own: one that has crashed an engine is not sent to a second one. */
function sendPrompt(path: string) {
  const parts = `aa:600,own-${promptCount++}:300`;
  return system.send({path, tokens: '900,9', parts});
}

test('a refusal that a server writes again without an id does not tell the caller that its request has not run', async () => {
  app.setFault('none');
  assert.equal((await system.send({path: '/order/first'})).status, 200);
  app.setFault('refuse-again');
  const answer = await system.send({path: '/order/second', id: 'second'});
  app.setFault('none');
  assert.equal(app.runs.filter(run => run.id === 'second').length, 1);
  assert.equal(answer.status, 502);
  const next = await system.send({path: '/order/third', id: 'third'});
  assert.equal(next.status, 200);
  assert.match(next.body, /third$/);
});

test('a refusal without an id is believed as the first answer on a connection, which is not used again', async () => {
  const lone = await startSystem({});
  const ports: Array<number | undefined> = [];
  const server = await startRawServer(socket => {
    ports.push(socket.remotePort);
    socket.write(
      'HTTP/1.1 503 Service Unavailable\r\nAnvilstack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    );
  });
  const entry = {
    service: 'app',
    address: `127.0.0.1:${server.entry.port}`,
    zone: 'a',
    version: 'v1',
    state: 'ready',
    maxBatch: 8,
    coldLeftMs: 0,
    seq: 1,
  };
  lone.store.put('keyed.servers', 'raw', JSON.stringify(entry));
  await waitUntil('the node is ready', () => isNodeReady(lone.nodes[0]));
  const answer = await lone.send({path: '/order/x'});
  server.close();
  await lone.close();
  assert.equal(answer.status, 503);
  assert.equal(new Set(ports).size, ports.length);
});

// The copy has the id of the request, which is sent to the same server again because no other one takes it.
for (const path of ['/order/again', '/look/again', '/ask/again']) {
  test(`a late second copy of a refusal is not believed when its request is sent to the same server again: ${path}`, async () => {
    const isStream = path.startsWith('/ask');
    const prompt = {tokens: '900,9', parts: 'aa:600,bb:300'};
    const more = isStream ? prompt : {};
    await Promise.all(
      ['w1', 'w2'].map(id => system.send({path, id: `${id}-${path}`, ...more})),
    );
    const servers = isStream ? engines : [app];
    for (const server of servers) server.setFault('refuse-late');
    const id = `late-copy-${path}`;
    const answer = await system.send({path, id, ...more});
    for (const server of servers) server.setFault('none');
    const runs = servers.flatMap(server =>
      server.runs.filter(run => run.id === id),
    );
    assert.equal(answer.status === 200, runs.length === 1, `${runs.length}`);
    assert.ok(runs.length <= 1);
  });
}

test('a refusal that names its request tells the caller that it has not run', async () => {
  await system.send({path: '/order/first'});
  app.setFault('full');
  const answer = await system.send({path: '/order/second', id: 'refused'});
  app.setFault('none');
  assert.equal(answer.status, 503);
  assert.ok(app.runs.every(run => run.id !== 'refused'));
});

test('the error of the server that is to resume a stream is not joined to it, and the stream does not end as complete', async () => {
  setEngineFault('error-on-resume');
  const answer = await sendPrompt('/resume/x');
  setEngineFault('none');
  assert.equal(answer.isComplete, false);
  assert.ok(WHOLE_STREAM.startsWith(answer.body), answer.body);
});

for (const path of STREAM_PATHS) {
  test(`a stream without a length that ends after an event is complete: ${path}`, async () => {
    setEngineFault('unframed');
    const answer = await sendPrompt(path);
    setEngineFault('none');
    assert.equal(answer.isComplete, true);
    assert.equal(answer.body, WHOLE_STREAM);
  });
}

test('a stream without a length that ends inside an event does not end as complete', async () => {
  setEngineFault('unframed-cut');
  const answer = await sendPrompt('/ask/x');
  setEngineFault('none');
  assert.equal(answer.isComplete, false);
  assert.ok(!answer.body.includes('piece 3'), answer.body);
});

test('a resumable stream without a length that ends inside an event goes on at another server', async () => {
  setEngineFault('unframed-cut');
  const answer = await sendPrompt('/resume/x');
  setEngineFault('none');
  assert.equal(answer.isComplete, true);
  assert.equal(answer.body, WHOLE_STREAM);
});

test('the log tells how the end of each answer without a length was judged, and on what evidence', async () => {
  const judge = async (fault: ServerFault, id: string, path: string) => {
    for (const server of [app, ...engines]) server.setFault(fault);
    const prompt = {tokens: '900,9', parts: 'aa:600,bb:300'};
    await system.send({path, id, ...(path === '/ask/x' ? prompt : {})});
    for (const server of [app, ...engines]) server.setFault('none');
    const lines = system.nodes[0].lines.filter(
      line =>
        line['message'] === 'answer without a length ended' &&
        line['requestId'] === id,
    );
    assert.equal(lines.length, 1, id);
    const [{outcome, evidence, status, serverId}] = lines;
    assert.equal(status, 200);
    assert.match(String(serverId), /^(app|writer)-/);
    return `${String(outcome)}: ${String(evidence)}`;
  };
  assert.match(await judge('unframed', 'log-1', '/ask/x'), /^complete: ./);
  assert.match(await judge('unframed', 'log-2', '/order/x'), /^complete: ./);
  assert.equal(
    await judge('unframed-cut', 'log-3', '/ask/x'),
    'broken: inside-event',
  );
});

/** Lets the servers answer again and waits until those that crashed are back. */
async function stopCrashes(servers: readonly ServerStandin[]): Promise<void> {
  for (const server of servers) server.setFault('none');
  await sleep(EJECTION_MS);
  await waitUntil('the servers are back', async () => {
    const answer = await system.send({path: '/order/back'});
    const stream = await sendPrompt('/ask/back');
    return answer.status === 200 && stream.isComplete && stream.status === 200;
  });
}

// Nothing but the end of the connection ends these answers, and a crash ends it too.
test('a stream without a length whose server crashes between two events does not end as complete', async () => {
  setEngineFault('unframed-crash');
  const answer = await sendPrompt('/ask/x');
  await stopCrashes(engines);
  assert.equal(answer.isComplete, false);
  assert.ok(WHOLE_STREAM.startsWith(answer.body), answer.body);
});

test('a resumable stream without a length whose server crashes between two events goes on at another server', async () => {
  setEngineFault('unframed-crash');
  const answer = await sendPrompt('/resume/x');
  await stopCrashes(engines);
  assert.equal(answer.isComplete, true);
  assert.equal(answer.body, WHOLE_STREAM);
});

// An accepted connection shows that something listens, not that the process lives.
test('a stream without a length whose process ends between two events does not end as complete when its port accepts connections at once', async () => {
  setEngineFault('unframed-restart');
  const answer = await sendPrompt('/ask/x');
  await stopCrashes(engines);
  assert.equal(answer.isComplete, false);
  assert.ok(WHOLE_STREAM.startsWith(answer.body), answer.body);
});

test('a resumable stream without a length whose process ends between two events goes on at another server when its port accepts connections at once', async () => {
  setEngineFault('unframed-restart');
  const answer = await sendPrompt('/resume/x');
  await stopCrashes(engines);
  assert.equal(answer.isComplete, true);
  assert.equal(answer.body, WHOLE_STREAM);
});

for (const path of ['/order/restart', '/look/restart']) {
  test(`an answer without a length whose process ends does not end as complete when its port accepts connections at once: ${path}`, async () => {
    app.setFault('unframed-restart');
    const answer = await system.send({path});
    await stopCrashes([app]);
    assert.equal(answer.status, 502);
  });
}

for (const path of ['/order/crash', '/look/crash']) {
  test(`an answer without a length whose server crashes does not end as complete: ${path}`, async () => {
    app.setFault('unframed-crash');
    const answer = await system.send({path});
    await stopCrashes([app]);
    assert.equal(answer.status, 502);
  });
}

test('a refusal that a decode engine writes again without an id does not tell the caller that its stream has not run', async () => {
  const lone = await startSystem({});
  const addEngine = (id: string, stage: 'prefill' | 'decode') =>
    lone.addServer({id, service: 'llm', zone: 'a', stage});
  await addEngine('reader', 'prefill');
  const engine = await addEngine('writer', 'decode');
  await waitUntil('the node knows both engines', async () => {
    const {entries} = await loadSnapshot(lone.nodes[0]);
    return entries.length === 2 && isNodeReady(lone.nodes[0]);
  });
  const prompt = {path: '/ask/x', tokens: '900,9', parts: 'aa:600,bb:300'};
  const first = await lone.send(prompt);
  engine.setFault('refuse-again');
  const answer = await lone.send({...prompt, id: 'second'});
  const {runs} = engine;
  await lone.close();
  assert.equal(first.body, WHOLE_STREAM);
  assert.equal(runs.filter(run => run.id === 'second').length, 1);
  assert.equal(answer.status, 502);
});
