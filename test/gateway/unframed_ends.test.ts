/** Answers without a length: whether their end is taken for the end of the answer or of the server's process. */
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {OpenCall} from '../../src/gateway/backend_call';
import {
  type Connections,
  createConnections,
  type ConnectionsOptions,
} from '../../src/gateway/connections';
import type {BackendEntry} from '../../src/gateway/types';
import type {UnframedEnd} from '../../src/gateway/unframed_end';
import {CHECKS, createEntry} from './support';

/** What the server does with a request; the path names it. */
type Behaviour = (socket: Socket) => void;

/** A server whose process may end while its port goes on accepting connections. */
interface SupervisedServer {
  readonly entry: BackendEntry;
  /** Ends the process: closes its connections in the way the system does; the supervisor's socket stays. */
  endProcess(): void;
  stopListening(): void;
  countConnections(): number;
}

interface Outcome {
  readonly isComplete: boolean;
  readonly body: string;
  readonly end: UnframedEnd | undefined;
}

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const EVENT = 'id: 1\ndata: one\n\n';
/** Time for which an answer goes on after its first bytes, in milliseconds. */
const ANSWER_MS = 60;
const closers: Array<() => void> = [];
after(() => {
  for (const close of closers) close();
});

async function startSupervised(
  behaviours: Readonly<Record<string, Behaviour>>,
): Promise<SupervisedServer> {
  const sockets = new Set<Socket>();
  let count = 0;
  const server = createServer(socket => {
    count++;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const name = /^\w+ \/(\w+)/.exec(chunk.toString('latin1'))?.[1];
      if (name !== undefined) behaviours[name](socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const endProcess = () => {
    for (const socket of sockets) socket.destroy();
  };
  closers.push(() => {
    server.close();
    endProcess();
  });
  return {
    entry: createEntry({port}),
    endProcess,
    stopListening: () => void server.close(),
    countConnections: () => count,
  };
}

/** Answers of a server that lives. */
const BEHAVIOURS: Readonly<Record<string, Behaviour>> = {
  framed: socket =>
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'),
  whole: socket => {
    socket.write(`${HEAD}${EVENT}`);
    setTimeout(() => socket.end(EVENT), ANSWER_MS);
  },
  short: socket => socket.end(`${HEAD}${EVENT}`),
  empty: socket => socket.write('HTTP/1.1 204 No Content\r\n\r\n'),
  check: socket => socket.write('HTTP/1.1 204 No Content\r\n\r\n'),
};

function openConnections(options: ConnectionsOptions = {checks: CHECKS}) {
  const ends: UnframedEnd[] = [];
  const connections = createConnections({
    ...options,
    onUnframedEnd: end => ends.push(end),
  });
  closers.push(connections.close);
  return {connections, ends};
}

/** Sends a request whose answer must not pass for whole when it ends early. */
function startRequest(
  {connections, ends}: ReturnType<typeof openConnections>,
  server: BackendEntry,
  name: string,
): {readonly call: OpenCall; readonly outcome: Promise<Outcome>} {
  let body = '';
  let settle: (isComplete: boolean) => void = () => undefined;
  const outcome = new Promise<Outcome>(resolve => {
    settle = isComplete =>
      resolve({
        isComplete,
        body,
        end: ends.find(end => end.requestId === requestId),
      });
  });
  const requestId = `${name}-${Math.random()}`;
  const call = connections.call({
    server,
    method: 'GET',
    path: `/${name}`,
    headers: [],
    requestId,
    handler: {
      onAnswer: () => undefined,
      onData: chunk => {
        body += chunk.toString();
      },
      onEnd: () => settle(true),
      onFailure: () => settle(false),
      needsProof: () => true,
    },
  });
  return {call, outcome};
}

function send(
  opened: ReturnType<typeof openConnections>,
  server: BackendEntry,
  name: string,
): Promise<Outcome> {
  return startRequest(opened, server, name).outcome;
}

/** Starts a server whose process ends `afterMs` after it has begun an answer, while its port goes on accepting connections. */
async function startMortal(afterMs: number): Promise<SupervisedServer> {
  const server: SupervisedServer = await startSupervised({
    ...BEHAVIOURS,
    mortal: socket => {
      socket.write(`${HEAD}${EVENT}`);
      setTimeout(() => server.endProcess(), afterMs);
    },
  });
  return server;
}

function countOpened({connections}: {connections: Connections}): number {
  return connections.countOpened();
}

for (const afterMs of [0, 3, 20, 60]) {
  for (const others of [0, 1, 3]) {
    test(`an answer whose process ends ${afterMs} ms after its head is not whole although the port accepts connections at once: ${others} other connections`, async () => {
      const server = await startMortal(afterMs);
      const opened = openConnections();
      await Promise.all(
        Array.from({length: others + 1}, () =>
          send(opened, server.entry, 'framed'),
        ),
      );
      const outcome = await send(opened, server.entry, 'mortal');
      assert.equal(outcome.isComplete, false, JSON.stringify(outcome.end));
    });
  }
}

test('a connection that waits in the queue of the listening socket does not show that the process lives', async () => {
  let isEnded = false;
  const queued: Socket[] = [];
  const server = await startSupervised({
    // The process accepts only the connection of the request; the next process accepts the others.
    check: socket => {
      if (isEnded) BEHAVIOURS['check'](socket);
      else queued.push(socket);
    },
    queued: socket => {
      socket.write(`${HEAD}${EVENT}`);
      setTimeout(() => {
        isEnded = true;
        socket.destroy();
        for (const other of queued) BEHAVIOURS['check'](other);
      }, 20);
    },
  });
  const outcome = await send(openConnections(), server.entry, 'queued');
  assert.equal(queued.length, 1);
  assert.equal(outcome.isComplete, false, JSON.stringify(outcome.end));
});

test('an answer whose process ends while other answers are under way is not whole', async () => {
  const server = await startMortal(30);
  const opened = openConnections();
  const outcomes = await Promise.all(
    ['whole', 'whole', 'mortal', 'whole'].map(name =>
      send(opened, server.entry, name),
    ),
  );
  assert.deepEqual(
    outcomes.map(({isComplete}) => isComplete),
    [false, false, false, false],
  );
});

test('an answer whose process ends while its caller is slow is not whole, although connections were accepted since', async () => {
  const server = await startMortal(30);
  const opened = openConnections();
  const {call, outcome} = startRequest(opened, server.entry, 'mortal');
  await sleep(15);
  call.setPaused(true);
  await sleep(100);
  for (let count = 0; count < 3; count++) {
    await send(opened, server.entry, 'framed');
  }
  await sleep(1_200);
  call.setPaused(false);
  assert.equal((await outcome).isComplete, false);
});

test('answers of a server that lives are whole, also the first, and those that end at the same time', async () => {
  const server = await startSupervised(BEHAVIOURS);
  const opened = openConnections();
  const first = await send(opened, server.entry, 'whole');
  assert.equal(first.isComplete, true, JSON.stringify(first.end));
  assert.equal(first.body, EVENT + EVENT);
  const outcomes = await Promise.all(
    Array.from({length: 10}, () => send(opened, server.entry, 'whole')),
  );
  assert.ok(outcomes.every(({isComplete}) => isComplete));
});

test('an answer is whole although an idle connection reaches its time-out at the same time, while another stays open', async () => {
  const idle: Socket[] = [];
  const server = await startSupervised({
    ...BEHAVIOURS,
    framed: socket => {
      idle.push(socket);
      BEHAVIOURS['framed'](socket);
    },
    whole: socket => {
      socket.write(`${HEAD}${EVENT}`);
      setTimeout(() => idle[0].end(), ANSWER_MS - 20);
      setTimeout(() => socket.end(EVENT), ANSWER_MS);
    },
  });
  const opened = openConnections();
  await Promise.all(
    Array.from({length: 3}, () => send(opened, server.entry, 'framed')),
  );
  const {isComplete, end} = await send(opened, server.entry, 'whole');
  assert.equal(isComplete, true, JSON.stringify(end));
});

test('a connection that the server resets does not show that the process has ended', async () => {
  const idle: Socket[] = [];
  const server = await startSupervised({
    ...BEHAVIOURS,
    framed: socket => {
      idle.push(socket);
      BEHAVIOURS['framed'](socket);
    },
    whole: socket => {
      socket.write(`${HEAD}${EVENT}`);
      setTimeout(() => idle[0].resetAndDestroy(), 5);
      setTimeout(() => socket.end(EVENT), 20);
    },
  });
  const opened = openConnections();
  await Promise.all(
    Array.from({length: 3}, () => send(opened, server.entry, 'framed')),
  );
  const {isComplete, end} = await send(opened, server.entry, 'whole');
  assert.equal(isComplete, true, JSON.stringify(end));
});

test('many answers without a length cost one other connection, not one each', async () => {
  const server = await startSupervised(BEHAVIOURS);
  const opened = openConnections();
  for (let count = 0; count < 10; count++) {
    const {isComplete, end} = await send(opened, server.entry, 'whole');
    assert.equal(isComplete, true, JSON.stringify(end));
  }
  assert.equal(countOpened(opened), 11);
});

test('an answer that ends at once is whole, the first one too', async () => {
  const server = await startSupervised(BEHAVIOURS);
  const opened = openConnections();
  for (let count = 0; count < 4; count++) {
    const {isComplete, end} = await send(opened, server.entry, 'short');
    assert.equal(isComplete, true, JSON.stringify(end));
  }
});

test('the last answer of a server that has stopped listening is whole while its process goes on for a while', async () => {
  const server: SupervisedServer = await startSupervised({
    check: BEHAVIOURS['check'],
    last: socket => {
      socket.write(`${HEAD}${EVENT}`);
      setTimeout(() => server.stopListening(), ANSWER_MS / 2);
      setTimeout(() => socket.end(EVENT), ANSWER_MS);
      setTimeout(() => server.endProcess(), ANSWER_MS + 100);
    },
  });
  const outcome = await send(openConnections(), server.entry, 'last');
  assert.equal(outcome.isComplete, true, JSON.stringify(outcome.end));
});

test('an answer that has no body is whole at once, and its connection is used again', async () => {
  const server = await startSupervised(BEHAVIOURS);
  const opened = openConnections({});
  for (let count = 0; count < 3; count++) {
    const {isComplete, end} = await send(opened, server.entry, 'empty');
    assert.equal(isComplete, true);
    assert.equal(end, undefined);
  }
  assert.equal(countOpened(opened), 1);
});

test('a server that answers after a stream broke off is not taken for crashed, one that has ended is', async () => {
  const server = await startMortal(0);
  const opened = openConnections();
  const {connections} = opened;
  await send(opened, server.entry, 'whole');
  const check = () => connections.checkProcess(server.entry, performance.now());
  assert.equal(await check(), true);
  server.endProcess();
  assert.equal(await check(), false);
});
