/** Limits on callers' requests, requests with ambiguous framing, and the retry budget of a node. */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerStandin} from './server_standin';
import {
  buildConfig,
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

/** Limits of the first configuration that the node gets. */
const LIMITS = {
  maxHeaderBytes: 2_048,
  maxBodyBytes: 5_000,
  headerTimeoutMs: 500,
  idleTimeoutMs: 1_000,
};
/** How long after a time limit the connection may be closed, in milliseconds: the listener checks its connections twice a second. */
const CHECK_SLACK_MS = 900;

let system: TestSystem;
let servers: ServerStandin[];

before(async () => {
  system = await startSystem({hasConfig: false});
  system.store.put('keyed.op', 'config', buildConfig(1, {limits: LIMITS}));
  servers = [];
  for (const id of ['app-1', 'app-2', 'app-3']) {
    servers.push(await system.addServer({id, service: 'app', zone: 'a'}));
  }
  await waitUntil('the node is ready and knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 3 && isNodeReady(system.nodes[0]);
  });
});

after(() => system.close());

interface RawAnswer {
  readonly text: string;
  readonly closedAfterMs: number;
}

/** Writes texts to the node, with pauses between them, and resolves when the connection is closed. */
function sendRaw(
  parts: ReadonlyArray<{readonly text: string; readonly pauseMs?: number}>,
): Promise<RawAnswer> {
  const startedAt = performance.now();
  return new Promise(resolve => {
    let text = '';
    const socket = connect(system.nodes[0].callersPort, '127.0.0.1');
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () =>
      resolve({text, closedAfterMs: performance.now() - startedAt}),
    );
    void writeParts(socket, parts);
  });
}

async function writeParts(
  socket: Socket,
  parts: ReadonlyArray<{readonly text: string; readonly pauseMs?: number}>,
): Promise<void> {
  for (const {text, pauseMs} of parts) {
    if (!socket.writable) return;
    socket.write(text);
    await sleep(pauseMs ?? 0);
  }
}

function buildHead(id: string, extraHeaders: readonly string[]): string {
  const lines = [
    'POST /look/x HTTP/1.1',
    'Host: desk.example',
    `Anvilstack-Request-Id: ${id}`,
    'Anvilstack-Deadline-Ms: 4000',
    ...extraHeaders,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function countRuns(id: string): number {
  const runs = servers.flatMap(server => server.runs);
  return runs.filter(run => run.id === id).length;
}

test('a request with a head over the limit is refused with 431 and runs nowhere', async () => {
  const head = buildHead('long-head', [
    'Content-Length: 0',
    `X-Long: ${'x'.repeat(LIMITS.maxHeaderBytes)}`,
  ]);
  const answer = await sendRaw([{text: head}]);
  assert.match(answer.text, /^HTTP\/1\.1 431 /);
  assert.equal(countRuns('long-head'), 0);
});

test('an incomplete head is answered with 408 after the header timeout', async () => {
  const answer = await sendRaw([
    {text: 'POST /look/x HTTP/1.1\r\nHost: desk.example\r\n', pauseMs: 100},
    {text: 'X-Slow: 1\r\n', pauseMs: 100},
    {text: 'X-Slower: 1\r\n'},
  ]);
  assert.match(answer.text, /^HTTP\/1\.1 408 /);
  assert.ok(answer.closedAfterMs >= LIMITS.headerTimeoutMs - 50);
  assert.ok(answer.closedAfterMs < LIMITS.headerTimeoutMs + CHECK_SLACK_MS);
});

test('a stalled body is answered with 408 after the idle timeout, and the request runs nowhere', async () => {
  const head = buildHead('slow-body', ['Content-Length: 10']);
  const answer = await sendRaw([
    {text: head, pauseMs: 300},
    {text: 'abc', pauseMs: 300},
    {text: 'def'},
  ]);
  assert.match(answer.text, /^HTTP\/1\.1 408 /);
  assert.ok(answer.closedAfterMs >= 600 + LIMITS.idleTimeoutMs - 50);
  assert.ok(
    answer.closedAfterMs < 600 + LIMITS.idleTimeoutMs + CHECK_SLACK_MS,
    `${answer.closedAfterMs} ms`,
  );
  assert.equal(countRuns('slow-body'), 0);
});

test('an idle connection is reused within the idle timeout and closed after it', async () => {
  const [first, second] = ['idle-1', 'idle-2'].map(id =>
    buildHead(id, ['Content-Length: 0']),
  );
  const pauseMs = LIMITS.idleTimeoutMs * 0.8;
  const answer = await sendRaw([{text: first, pauseMs}, {text: second}]);
  assert.equal(answer.text.match(/HTTP\/1\.1 200 /g)?.length, 2);
  assert.equal(countRuns('idle-2'), 1);
  const idleMs = answer.closedAfterMs - pauseMs;
  assert.ok(idleMs >= LIMITS.idleTimeoutMs - 50, `${idleMs} ms`);
  assert.ok(idleMs < LIMITS.idleTimeoutMs + 2 * CHECK_SLACK_MS, `${idleMs} ms`);
});

test('requests with ambiguous framing are refused with 400, and neither they nor requests hidden in them run', async () => {
  const cases = [
    [
      'both-lengths',
      'Content-Length: 4\r\nTransfer-Encoding: chunked',
      '0\r\n\r\n',
    ],
    ['two-lengths', 'Content-Length: 4\r\nContent-Length: 5', 'abcd'],
    ['odd-coding', 'Transfer-Encoding: chunked, identity', '0\r\n\r\n'],
    ['odd-length', 'Content-Length: +4', 'abcd'],
    ['space-name', 'Content-Length : 4', 'abcd'],
    ['odd-chunk', 'Transfer-Encoding: chunked', 'zz\r\nabcd\r\n0\r\n\r\n'],
  ];
  for (const [id, header, body] of cases) {
    const hidden = buildHead(`hidden-${id}`, ['Content-Length: 0']);
    const answer = await sendRaw([
      {text: buildHead(id, [header]) + body + hidden},
    ]);
    assert.match(answer.text, /^HTTP\/1\.1 400 /, id);
    assert.equal(countRuns(id), 0, id);
    assert.equal(countRuns(`hidden-${id}`), 0, id);
  }
});

test('limits of a newer configuration apply to later connections', async () => {
  const limits = {...LIMITS, maxBodyBytes: 10};
  system.store.put('keyed.op', 'config', buildConfig(2, {limits}));
  await waitUntil(
    'a body over the new limit is refused',
    async () => {
      const answer = await system.send({path: '/look/x', body: 'x'.repeat(20)});
      return answer.status === 413;
    },
    2_000,
  );
  const answer = await system.send({path: '/look/x', body: 'x'.repeat(10)});
  assert.equal(answer.status, 200);
});

test('a node sends no more retries than its share of the retry budget of the fleet', async () => {
  const requests = 300;
  for (const server of servers) server.setFault('error');
  const runsBefore = servers.reduce((sum, {runs}) => sum + runs.length, 0);
  for (let index = 0; index < requests; index += 20) {
    await Promise.all(
      Array.from({length: 20}, () =>
        system.send({path: '/look/x', body: 'x', deadlineMs: 2_000}),
      ),
    );
  }
  for (const server of servers) server.setFault('none');
  const runs = servers.reduce((sum, item) => sum + item.runs.length, 0);
  const retries = runs - runsBefore - requests;
  // The settings allow the fleet 0.2 retries per request and 100 more; a node assumes that the fleet has at least four nodes.
  assert.ok(retries <= 0.2 * requests + 100 / 4, `${retries} retries`);
  assert.ok(retries > 0);
});
