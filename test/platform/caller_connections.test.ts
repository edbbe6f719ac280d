/** Connections of callers that send more than a request, too little of one, or nothing more: a request that runs gets its own answer, and no status of the listener in its place. */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, before, describe, test} from 'node:test';
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

const LIMITS = {
  maxHeaderBytes: 2_048,
  maxBodyBytes: 5_000,
  headerTimeoutMs: 300,
  idleTimeoutMs: 600,
};
/** Time that the app takes, in milliseconds: longer than it takes to notice a head that does not end. */
const WORK_MS = 1_300;
/** Time before a stream begins, and between its events, in milliseconds. */
const STREAM_START_MS = 400;
const EVENT_INTERVAL_MS = 120;
const EVENTS = 10;
/** How long a server may go on after a caller has left, in milliseconds. */
const GONE_MS = 500;

let system: TestSystem;
let app: ServerStandin;
let engine: ServerStandin;

async function startSlowSystem(): Promise<{
  readonly system: TestSystem;
  readonly app: ServerStandin;
  readonly engine: ServerStandin;
}> {
  const started = await startSystem({hasConfig: false});
  const config = JSON.parse(buildConfig(1, {limits: LIMITS})) as {
    routes: Array<Record<string, unknown>>;
  };
  for (const route of config.routes) {
    Object.assign(route, {timeoutMs: 5_000, attempts: 1});
  }
  started.store.put('keyed.op', 'config', JSON.stringify(config));
  const slowApp = await started.addServer({
    id: 'app-1',
    service: 'app',
    zone: 'a',
    workMs: WORK_MS,
  });
  const slowEngine = await started.addServer({
    id: 'writer-1',
    service: 'llm',
    zone: 'a',
    stage: 'decode',
    workMs: STREAM_START_MS,
    events: EVENTS,
    eventIntervalMs: EVENT_INTERVAL_MS,
  });
  await waitUntil('the node knows all servers', async () => {
    const {entries} = await loadSnapshot(started.nodes[0]);
    return entries.length === 2 && isNodeReady(started.nodes[0]);
  });
  return {system: started, app: slowApp, engine: slowEngine};
}

before(async () => {
  ({system, app, engine} = await startSlowSystem());
});
after(() => system.close());

interface Caller {
  readonly socket: Socket;
  /** Everything that has come back. */
  read(): string;
  readonly closed: Promise<void>;
}

/** Opens a connection that stays open in one direction when the other one ends. */
function openCaller(text: string, port = system.nodes[0].callersPort): Caller {
  let received = '';
  const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  const closed = new Promise<void>(resolve => {
    socket.on('end', () => {
      socket.end();
      resolve();
    });
    socket.on('close', () => resolve());
  });
  socket.write(text);
  return {socket, read: () => received, closed};
}

/** Waits for the log line with which the gateway has decided about a request. */
function waitForLine(message: string, id: string): Promise<void> {
  return waitUntil(`the line '${message}' about ${id}`, () =>
    system.nodes[0].lines.some(
      line => line['message'] === message && JSON.stringify(line).includes(id),
    ),
  );
}

function formatRequest(
  path: string,
  id: string,
  options: {
    readonly headers?: readonly string[];
    readonly body?: string;
  } = {},
): string {
  const isStream = path.startsWith('/ask');
  const body = options.body ?? '';
  const headers = options.headers ?? [`Content-Length: ${body.length}`];
  const lines = [
    `POST ${path} HTTP/1.1`,
    'Host: desk.example',
    `Anvilstack-Request-Id: ${id}`,
    ...(isStream
      ? [
          'Anvilstack-Model: m',
          'Anvilstack-Token-Count: 900,9',
          'Anvilstack-Prompt-Prefix: aa:600,bb:300',
        ]
      : []),
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

function listStatuses(text: string): number[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match =>
    Number(match[1]),
  );
}

function countRuns(id: string): number {
  return [app, engine]
    .flatMap(server => server.runs)
    .filter(run => run.id === id).length;
}

/** Asserts that a caller got the whole answer of a request that ran once. */
function assertServed(text: string, path: string, id: string): void {
  assert.equal(countRuns(id), 1, id);
  const end = path.startsWith('/ask') ? `piece ${EVENTS}\n\n` : path;
  assert.ok(text.includes(end), text);
}

const REQUESTS = [
  {kind: 'an order', path: '/order/x', atMs: 60},
  {kind: 'a lookup', path: '/look/x', atMs: 60},
  {kind: 'a stream before its head', path: '/ask/x', atMs: 60},
  {kind: 'a stream after its head', path: '/ask/x', atMs: 700},
];
const SURPLUS = [
  {name: 'a part of a head', text: 'POST /order/x HTTP/1.1\r\nHost: desk'},
  {name: 'no head', text: 'these bytes are no head\r\n\r\n'},
  {
    name: 'a head that is too long',
    text: `POST /order/x HTTP/1.1\r\nX-Long: ${'x'.repeat(3_000)}\r\n\r\n`,
  },
  {name: 'CONNECT', text: 'CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n'},
];

describe('a request that runs gets its own answer', {concurrency: 8}, () => {
  for (const [index, {kind, path, atMs}] of REQUESTS.entries()) {
    for (const [surplusIndex, {name, text}] of SURPLUS.entries()) {
      test(`${kind} is not answered by the listener when ${name} follows`, async () => {
        const id = `surplus-${index}-${surplusIndex}`;
        const caller = openCaller(formatRequest(path, id));
        await sleep(atMs);
        caller.socket.write(text);
        await caller.closed;
        assert.deepEqual(listStatuses(caller.read()), [200]);
        assertServed(caller.read(), path, id);
      });
    }
  }

  test('bytes after a request that ends its connection take no answer from it', async () => {
    const headers = ['Content-Length: 0', 'Connection: close'];
    const caller = openCaller(
      `${formatRequest('/order/x', 'last', {headers})}more bytes\r\n\r\n`,
    );
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200]);
    assertServed(caller.read(), '/order/x', 'last');
  });

  test('a whole request that follows is answered too, before bytes that are no head end the connection', async () => {
    const caller = openCaller(formatRequest('/order/first', 'first'));
    await sleep(60);
    caller.socket.write(
      `${formatRequest('/order/second', 'second')}no head\r\n\r\n`,
    );
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200, 200]);
    assertServed(caller.read(), '/order/first', 'first');
    assertServed(caller.read(), '/order/second', 'second');
  });

  test('a request with a body is answered when bytes that are no head come together with it', async () => {
    const text = formatRequest('/order/x', 'with-body', {body: 'a prompt'});
    const caller = openCaller(`${text}no head\r\n\r\n`);
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200]);
    assertServed(caller.read(), '/order/x', 'with-body');
  });

  test('a head whose rest comes after the time limit is not read as a request', async () => {
    const [head, rest] = [
      formatRequest('/order/x', 'late-head').slice(0, 40),
      formatRequest('/order/x', 'late-head').slice(40),
    ];
    const caller = openCaller(formatRequest('/order/x', 'before-late') + head);
    await waitForLine('listener ended a connection', 'before-late');
    caller.socket.write(rest);
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200]);
    assert.equal(countRuns('late-head'), 0);
  });

  const UNREADABLE = [
    {
      name: 'a body that stalls',
      status: 408,
      options: {headers: ['Content-Length: 9'], body: 'abc'},
      later: 'defghi',
    },
    {
      name: 'a body that is too long',
      status: 413,
      options: {body: 'x'.repeat(LIMITS.maxBodyBytes + 1)},
    },
    {
      name: 'a body in chunks that is too long',
      status: 413,
      options: {
        headers: ['Transfer-Encoding: chunked'],
        body: `1fff\r\n${'x'.repeat(0x1fff)}\r\n`,
      },
    },
    {
      name: 'a body with a malformed chunk',
      status: 400,
      options: {
        headers: ['Transfer-Encoding: chunked'],
        body: '3\r\nabc\r\nzz\r\n',
      },
    },
    {
      name: 'an expectation that is not known',
      status: 417,
      options: {headers: ['Content-Length: 0', 'Expect: more']},
    },
  ];
  for (const [index, {name, status, options, later}] of UNREADABLE.entries()) {
    for (const isPipelined of [false, true]) {
      test(`${name} is refused${isPipelined ? ' after the answer of the request before it' : ''}, and the request does not run`, async () => {
        const id = `unreadable-${index}-${isPipelined}`;
        const text = formatRequest('/order/x', id, options);
        const firstId = `before-${index}`;
        const caller = openCaller(
          isPipelined ? formatRequest('/order/first', firstId) + text : text,
        );
        if (later !== undefined) {
          await waitForLine('refused: request was not received', id);
          caller.socket.write(later);
        }
        await caller.closed;
        const statuses = isPipelined ? [200, status] : [status];
        assert.deepEqual(listStatuses(caller.read()), statuses);
        assert.equal(countRuns(id), 0);
        if (isPipelined) assertServed(caller.read(), '/order/first', firstId);
      });
    }
  }

  test('a request that waits for 100 is read and answered', async () => {
    const headers = ['Content-Length: 3', 'Expect: 100-continue'];
    const caller = openCaller(
      formatRequest('/order/x', 'expecting', {headers}),
    );
    await waitUntil('100 has come', () => caller.read().includes(' 100 '));
    caller.socket.write('abc');
    await waitUntil('the answer has come', () =>
      caller.read().includes('/order/x'),
    );
    assert.deepEqual(listStatuses(caller.read()), [100, 200]);
    assert.equal(countRuns('expecting'), 1);
    caller.socket.destroy();
  });

  test('an incomplete head on a connection without open requests is answered with 408', async () => {
    const caller = openCaller(formatRequest('/nowhere/x', 'unknown'));
    await waitUntil('404 has come', () => caller.read().includes('no route'));
    caller.socket.write('POST /order/x HTTP/1.1\r\n');
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [404, 408]);
  });
});

describe('a caller that ends its side', {concurrency: 8}, () => {
  test('gets the answer of its order', async () => {
    const caller = openCaller(formatRequest('/order/x', 'half-closed'));
    caller.socket.end();
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200]);
    assertServed(caller.read(), '/order/x', 'half-closed');
    const lines = system.nodes[0].lines.filter(
      ({requestId}) => requestId === 'half-closed',
    );
    assert.deepEqual(
      lines.map(({message}) => message),
      [
        'sent to server',
        'caller ended its side of the connection',
        'request ended',
      ],
    );
  });

  test('in the middle of the next head gets the answer of its order', async () => {
    const caller = openCaller(
      `${formatRequest('/order/x', 'half-head')}POST /order/x HT`,
    );
    caller.socket.end();
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200]);
    assertServed(caller.read(), '/order/x', 'half-head');
  });

  test('in the middle of a body gets the answer of the order before it, and the broken request does not run', async () => {
    const headers = ['Content-Length: 9'];
    const broken = formatRequest('/order/x', 'half-body', {headers, body: 'a'});
    const caller = openCaller(formatRequest('/order/a', 'whole') + broken);
    caller.socket.end();
    await caller.closed;
    assert.deepEqual(listStatuses(caller.read()), [200, 400]);
    assertServed(caller.read(), '/order/a', 'whole');
    assert.equal(countRuns('half-body'), 0);
  });
});

// It may have left for good, which looks the same.
for (const [path, atMs] of [
  ['/look/x', 60],
  ['/ask/x', 60],
  ['/ask/x', 700],
] as const) {
  test(`no longer has a server at work on ${path} after ${atMs} ms`, async () => {
    const server = path === '/look/x' ? app : engine;
    const caller = openCaller(formatRequest(path, `leaving-${path}-${atMs}`));
    await sleep(atMs);
    const abortedBefore = server.countAborted();
    caller.socket.end();
    await sleep(GONE_MS);
    assert.ok(server.countAborted() > abortedBefore);
    await caller.closed;
  });
}

test('an order whose caller leaves for good runs to its end once', async () => {
  const caller = openCaller(formatRequest('/order/x', 'left-for-good'));
  await waitUntil('it runs', () => countRuns('left-for-good') === 1);
  caller.socket.destroy();
  await waitUntil('it has ended', () =>
    system.nodes[0].lines.some(
      line =>
        line['message'] === 'request ended' &&
        line['requestId'] === 'left-for-good',
    ),
  );
  assert.equal(countRuns('left-for-good'), 1);
});

test('an order whose caller has ended its side is not sent to a server again', async () => {
  app.setFault('full');
  const caller = openCaller(formatRequest('/order/x', 'half-refused'));
  caller.socket.end();
  await caller.closed;
  app.setFault('none');
  assert.deepEqual(listStatuses(caller.read()), [503]);
  const arrivals = app.arrivals.filter(({id}) => id === 'half-refused');
  assert.equal(arrivals.length, 1);
});

test('a caller that leaves is noticed by each of several requests on its connection', async () => {
  const runsBefore = app.runs.length;
  const abortedBefore = app.countAborted();
  const caller = openCaller(
    formatRequest('/look/a', 'left-1') + formatRequest('/look/b', 'left-2'),
  );
  await waitUntil('both run', () => app.runs.length === runsBefore + 2);
  caller.socket.resetAndDestroy();
  await sleep(GONE_MS);
  assert.equal(app.countAborted(), abortedBefore + 2);
  const metrics = await fetch(
    `http://127.0.0.1:${system.nodes[0].controlPort}/metrics`,
  ).then(response => response.text());
  assert.match(metrics, /^anvilstack_gateway_open_requests 0$/m);
});

for (const [name, leave] of [
  ['ends its side', (socket: Socket) => socket.end()],
  ['resets it', (socket: Socket) => socket.resetAndDestroy()],
] as const) {
  test(`a caller whose connection is only open for the answers that are due is noticed when it ${name}`, async () => {
    const id = `surplus-then-${name.replaceAll(' ', '-')}`;
    const caller = openCaller(formatRequest('/look/x', id));
    await waitUntil('it runs', () => countRuns(id) === 1);
    caller.socket.write('no head\r\n\r\n');
    await sleep(100);
    const abortedBefore = app.countAborted();
    leave(caller.socket);
    await sleep(GONE_MS);
    assert.equal(app.countAborted(), abortedBefore + 1);
  });
}

test('a caller that ended its side gets the answer of its order from a node that is being stopped, and the node ends', async () => {
  const stopping = await startSlowSystem();
  const [node] = stopping.system.nodes;
  const stopped = node.gateway.stop();
  await sleep(2_500);
  const startedAt = performance.now();
  const caller = openCaller(
    formatRequest('/order/x', 'stopping'),
    node.callersPort,
  );
  caller.socket.end();
  await caller.closed;
  assert.deepEqual(listStatuses(caller.read()), [200]);
  await stopped;
  assert.ok(performance.now() - startedAt < 3_000);
  await stopping.system.close();
});
