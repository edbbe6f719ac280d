/** Servers that send an endless head or body, or endless interim responses: the bytes and the time of a call stay bounded. */
import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startRawServer} from '../gateway/support';
import {
  isNodeReady,
  loadSnapshot,
  ROUTE_TIMEOUT_MS,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

/** Interval at which a server sends more bytes, in milliseconds. */
const SEND_INTERVAL_MS = 1;
/** Most bytes that the node may accept from a server in one call before it closes the connection. */
const MAX_CALL_BYTES = 600_000;
const FILLER_HEADER_LINE = `X-Filler: ${'x'.repeat(1_000)}\r\n`;
const PROMPT = {tokens: '8000,3', parts: 'aa:800,bb:200'};

/** What a server sends first, and what it sends then at every interval. */
interface EndlessResponse {
  readonly first: string;
  readonly next: string;
}

const ENDLESS_RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  'lines of a head': {first: 'HTTP/1.1 200 OK\r\n', next: FILLER_HEADER_LINE},
  'a line without its end': {
    first: 'HTTP/1.1 200 OK\r\nX-Line: ',
    next: 'x'.repeat(1_000),
  },
  'interim answers': {
    first: '',
    next: `HTTP/1.1 102 Processing\r\nX-Filler: ${'x'.repeat(900)}\r\n\r\n`,
  },
  'an answer in chunks': {
    first: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    next: `3e8\r\n${'x'.repeat(1_000)}\r\n`,
  },
  'an answer without a length': {
    first: 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n',
    next: 'x'.repeat(1_000),
  },
};

interface EndlessServer {
  readonly port: number;
  /** Bytes sent on each connection that sent a request, closed and open ones. */
  readonly sentBytes: number[];
  countOpen(): number;
  close(): void;
}

/** Starts a server that sends endless bytes on each connection once it has received any. */
async function startEndlessServer(
  bytes: EndlessResponse,
): Promise<EndlessServer> {
  const openSockets = new Set<Socket>();
  const sentBytes: number[] = [];
  const server: Server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const index = sentBytes.push(0) - 1;
      openSockets.add(socket);
      const send = (text: string) => {
        if (socket.destroyed || socket.writableNeedDrain) return;
        socket.write(text);
        sentBytes[index] += text.length;
      };
      if (bytes.first !== '') send(bytes.first);
      const timer = setInterval(() => send(bytes.next), SEND_INTERVAL_MS);
      socket.on('close', () => {
        clearInterval(timer);
        openSockets.delete(socket);
      });
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    sentBytes,
    countOpen: () => openSockets.size,
    close: () => {
      server.close();
      for (const socket of openSockets) socket.destroy();
    },
  };
}

function publishEntry(
  system: TestSystem,
  port: number,
  service: string,
  stage?: string,
): void {
  const entry = {
    service,
    address: `127.0.0.1:${port}`,
    zone: 'a',
    version: 'v1',
    maxBatch: 8,
    state: 'ready',
    coldLeftMs: 0,
    seq: 1,
    born: 1_700_000_000_000,
    ...(stage === undefined ? {} : {stage, models: [{name: 'm'}]}),
  };
  system.store.put('keyed.servers', 'endless', JSON.stringify(entry));
}

async function waitForServers(system: TestSystem, count: number) {
  await waitUntil('the node knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === count && isNodeReady(system.nodes[0]);
  });
}

for (const [name, bytes] of Object.entries(ENDLESS_RESPONSES)) {
  test(`the call of a prefill engine that sends endless bytes (${name}) is aborted, and another engine prefills the prompt`, async () => {
    const system = await startSystem({});
    const endless = await startEndlessServer(bytes);
    for (const id of ['writer-1', 'writer-2']) {
      await system.addServer({id, service: 'llm', zone: 'a', stage: 'decode'});
    }
    publishEntry(system, endless.port, 'llm', 'prefill');
    await waitForServers(system, 3);
    const [app] = [
      await system.addServer({id: 'app-1', service: 'app', zone: 'a'}),
    ];
    await waitForServers(system, 4);
    const stream = system.send({path: '/ask/x', ...PROMPT});
    const plain = await system.send({path: '/order/x'});
    assert.equal(plain.status, 200);
    assert.equal(app.runs.length, 1);
    // There is no other prefill engine, so a decode engine prefills the prompt.
    assert.equal((await stream).status, 200);
    await waitUntil(
      'its connections are closed',
      () => endless.countOpen() === 0,
    );
    assert.ok(endless.sentBytes.length > 0);
    assert.ok(
      endless.sentBytes.every(sent => sent < MAX_CALL_BYTES),
      `${endless.sentBytes.join(', ')} bytes`,
    );
    endless.close();
    await system.close();
  });

  test(`a request that may have run ends within its time limit when its server sends endless bytes (${name})`, async () => {
    const system = await startSystem({});
    const endless = await startEndlessServer(bytes);
    publishEntry(system, endless.port, 'app');
    await waitForServers(system, 1);
    const answer = await system.send({path: '/order/x'});
    assert.ok([502, 504].includes(answer.status), `status ${answer.status}`);
    await waitUntil(
      'its connections are closed',
      () => endless.countOpen() === 0,
    );
    endless.close();
    await system.close();
  });
}

const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nAnvilstack-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n';
const ENDLESS_STREAMS: Readonly<Record<string, EndlessResponse>> = {
  'an event without its end': {
    first: `${STREAM_HEAD}\r\n`,
    next: 'x'.repeat(4_000),
  },
  'an event without its end, in chunks': {
    first: `${STREAM_HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    next: `fa0\r\n${'x'.repeat(4_000)}\r\n`,
  },
  'blank lines after an event': {
    first: `${STREAM_HEAD}\r\nid: 1\ndata: piece 1\n\n`,
    next: '\n'.repeat(4_000),
  },
  'comments after an event': {
    first: `${STREAM_HEAD}\r\nid: 1\ndata: piece 1\n\n`,
    next: ':\n\n'.repeat(1_000),
  },
  'a body of another type': {
    first:
      'HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nAnvilstack-Response-Seal: seal\r\n\r\n',
    next: 'x'.repeat(4_000),
  },
};

// A resumable stream withholds incomplete events, so that its memory would grow without end.
for (const path of ['/ask/x', '/resume/x']) {
  for (const [name, bytes] of Object.entries(ENDLESS_STREAMS)) {
    test(`a decode engine that sends ${name} has its call to ${path} aborted, and the caller gets no complete answer`, async () => {
      const system = await startSystem({});
      const endless = await startEndlessServer(bytes);
      publishEntry(system, endless.port, 'llm', 'decode');
      await waitForServers(system, 1);
      const answer = await system
        .send({path, ...PROMPT})
        .catch(() => undefined);
      assert.ok(answer?.status !== 200 || !answer.isComplete);
      await waitUntil(
        'its connections are closed',
        () => endless.countOpen() === 0,
      );
      assert.ok(endless.sentBytes.length > 0);
      if (name !== 'a body of another type') {
        assert.ok(
          endless.sentBytes.every(sent => sent < MAX_CALL_BYTES),
          `${endless.sentBytes.join(', ')} bytes`,
        );
      }
      endless.close();
      await system.close();
    });
  }
}

test('an order whose caller has left does not keep its connection to a silent server for ever', async () => {
  const system = await startSystem({});
  const endless = await startEndlessServer({first: '', next: ''});
  publishEntry(system, endless.port, 'app');
  await waitForServers(system, 1);
  await system.send({path: '/order/x', abortAfterMs: 200});
  await waitUntil(
    'only the order is under way, not the check before it',
    () => endless.countOpen() === 1,
  );
  await sleep(100);
  assert.equal(endless.countOpen(), 1);
  await waitUntil(
    'its connection is closed',
    () => endless.countOpen() === 0,
    ROUTE_TIMEOUT_MS + 1_000,
  );
  endless.close();
  await system.close();
});

test('an engine that does not answer when a KV cache is released has the call aborted', async () => {
  const system = await startSystem({});
  const released: Socket[] = [];
  const reader = await startRawServer((socket, request) => {
    if (request.startsWith('DELETE')) {
      released.push(socket);
      return;
    }
    const body = '{"transferHandle":"h","tokens":1,"version":1}';
    socket.write(
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
  });
  publishEntry(system, reader.entry.port, 'llm', 'prefill');
  const writer = await system.addServer({
    id: 'writer-1',
    service: 'llm',
    zone: 'a',
    stage: 'decode',
  });
  await waitForServers(system, 2);
  writer.setFault('full');
  const answer = await system.send({path: '/ask/x', ...PROMPT});
  assert.equal(answer.status, 503);
  await waitUntil('the release has arrived', () => released.length > 0);
  await waitUntil(
    'the call is aborted',
    () => released.every(socket => socket.destroyed || socket.readableEnded),
    2_000,
  );
  reader.close();
  await system.close();
});
