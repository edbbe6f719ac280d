/** Answers that are none: statuses and versions that do not exist, and answers that begin before their request has been sent whole. Neither may reach a caller as a complete answer, and none may leave a call without an end. */
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {createConnections} from '../../src/gateway/connections';
import {createStatusLineCheck} from '../../src/gateway/status_line_check';
import {createEntry, sendCall, startRawServer} from './support';

const HEADERS = 'Anvilstack-Response-Seal: seal\r\nContent-Length: 4\r\n\r\n';
const INVALID_LINES = [
  ...[
    '000',
    '001',
    '099',
    '100',
    '101',
    '600',
    '999',
    '20',
    '2000',
    '1e2',
    '+20',
  ],
  ...['-200', 'abc', ''],
].map(status => `HTTP/1.1 ${status} OK`);
const INVALID_VERSIONS = ['HTTP/0.9', 'HTTP/2.0', 'HTTP/1.2', 'ICY'].map(
  version => `${version} 200 OK`,
);
/** Time between two parts of an answer, in milliseconds. */
const SPLIT_MS = 2;

for (const line of [...INVALID_LINES, ...INVALID_VERSIONS]) {
  for (const before of ['', 'HTTP/1.1 103 Early Hints\r\nX-Note: 1\r\n\r\n']) {
    const name = `${line}${before === '' ? '' : ' after an interim answer'}`;
    test(`an answer that begins with '${name}' is a failure, and its connection is not used again`, async () => {
      const ports = new Set<number | undefined>();
      const server = await startRawServer((socket, _request, count) => {
        ports.add(socket.remotePort);
        const text = `${before}${line}\r\n${HEADERS}part`;
        if (count % 2 === 1) {
          socket.write(text);
          return;
        }
        socket.write(text.slice(0, before.length + 6));
        setTimeout(() => socket.write(text.slice(before.length + 6)), SPLIT_MS);
      });
      let invalidCount = 0;
      const connections = createConnections({
        onInvalidAnswer: () => invalidCount++,
      });
      for (const count of [1, 2]) {
        const outcome = await sendCall(connections, server.entry);
        assert.equal(outcome.failure?.verdict, 'may-have-run');
        assert.equal(outcome.body, '', `call ${count}`);
      }
      connections.close();
      server.close();
      assert.equal(ports.size, 2);
      // Operators find such servers by this count.
      assert.equal(invalidCount, 2);
    });
  }
}

for (const [name, head] of [
  ['204 with a length', 'HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n'],
  [
    '204 in chunks',
    'HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n',
  ],
  [
    '304 in chunks',
    'HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n',
  ],
]) {
  test(`an answer ${name}, which has no body, is a failure when it states one`, async () => {
    const server = await startRawServer(socket => socket.write(`${head}part`));
    const connections = createConnections();
    const outcome = await sendCall(connections, server.entry);
    assert.equal(outcome.failure?.reason, 'mismatch');
    connections.close();
    server.close();
  });
}

for (const head of [
  'HTTP/1.1 204 No Content\r\n',
  'HTTP/1.1 304 Not Modified\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n',
]) {
  // Guards against passing on the answer of a server that means its body to be read.
  test(`an answer without a body is a failure when bytes come with its head: ${JSON.stringify(head)}`, async () => {
    for (const [rest, isValid] of [
      ['part', false],
      ['\r\npart', false],
      ['\r\n', true],
      ['', true],
    ] as const) {
      const text = `${head}Anvilstack-Response-Seal: seal\r\n\r\n${rest}`;
      const server = await startRawServer(socket => socket.write(text));
      const connections = createConnections();
      const outcome = await sendCall(connections, server.entry);
      connections.close();
      server.close();
      assert.equal(outcome.failure === undefined, isValid, rest);
    }
  });
}

test('a 304 to HEAD may state the transfer coding that an answer to GET would have', async () => {
  const server = await startRawServer(socket =>
    socket.write(
      'HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n',
    ),
  );
  const connections = createConnections();
  const outcome = await sendCall(connections, server.entry, {method: 'HEAD'});
  assert.equal(outcome.status, 304);
  assert.equal(outcome.failure, undefined, outcome.failure?.message);
  connections.close();
  server.close();
});

/** Time in which a call must end after an answer that is none, in milliseconds: far below the deadlines of callers. */
const END_MS = 500;

const BODILESS: Readonly<Record<string, string>> = {
  'an empty body': 'Content-Length: 0\r\n\r\n',
  'no framing': 'Anvilstack-Response-Seal: seal\r\n\r\n',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n',
};

for (const status of ['000', '099']) {
  for (const [name, rest] of Object.entries(BODILESS)) {
    test(`an answer ${status} with ${name} ends the call at once instead of being taken for an interim one`, async () => {
      const server = await startRawServer(socket =>
        socket.write(`HTTP/1.1 ${status} OK\r\n${rest}`),
      );
      const connections = createConnections();
      const outcome = await Promise.race([
        sendCall(connections, server.entry),
        new Promise<undefined>(resolve =>
          setTimeout(() => resolve(undefined), END_MS),
        ),
      ]);
      assert.equal(outcome?.failure?.verdict, 'may-have-run');
      connections.close();
      server.close();
    });
  }
}

test('valid heads, split at each byte, pass the check of status lines', () => {
  const heads = [
    'HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/9.9 body',
    'HTTP/1.0 503 Service Unavailable\r\n\r\n',
    'HTTP/1.1 103 Early Hints\r\n\r\n\r\nHTTP/1.1 404\r\n\r\n',
  ];
  for (const head of heads) {
    for (let cut = 0; cut <= head.length; cut++) {
      const check = createStatusLineCheck();
      check.expectAnswer();
      const parts = [head.slice(0, cut), head.slice(cut)].map(Buffer.from);
      assert.ok(
        parts.every(part => check.isValid(part)),
        `${cut} of ${head}`,
      );
    }
  }
});

const BODY = 'id: 1\ndata: part\n\n';
const FRAMINGS: Readonly<Record<string, string>> = {
  'without a length': `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n${BODY}`,
  'with a length': `HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n${BODY}`,
  'in chunks': `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n`,
  'of HTTP/1.0': `HTTP/1.0 200 OK\r\n\r\n${BODY}`,
};
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'an end': socket => socket.end(),
  'a reset': socket => socket.resetAndDestroy(),
};

/** Starts a server that answers as soon as the head of a request has arrived. */
async function startEarlyServer(
  answer: (socket: Socket) => void,
  isReading: boolean,
) {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      if (!isReading) socket.pause();
      answer(socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {entry: createEntry({port}), close: () => server.close()};
}

for (const uploadBytes of [100_000, 4_000_000]) {
  for (const [framing, text] of Object.entries(FRAMINGS)) {
    for (const [endName, endSocket] of Object.entries(ENDS)) {
      for (const isReading of [true, false]) {
        const name = `${framing}, broken off by ${endName} during an upload of ${uploadBytes} bytes that the server ${isReading ? 'reads' : 'does not read'}`;
        test(`an early answer ${name} is not complete`, async () => {
          const server = await startEarlyServer(socket => {
            socket.write(text, () =>
              setTimeout(() => endSocket(socket), SPLIT_MS),
            );
          }, isReading);
          const connections = createConnections();
          const outcome = await sendCall(connections, server.entry, {
            method: 'POST',
            requestId: 'early',
            headers: ['Content-Length', String(uploadBytes)],
            body: Buffer.alloc(uploadBytes, 'x'),
          });
          assert.ok(outcome.failure !== undefined, outcome.body);
          assert.notEqual(outcome.failure.verdict, 'not-run');
          connections.close();
          server.close();
        });
      }
    }
  }
  for (const status of ['413 Payload Too Large', '503 Service Unavailable']) {
    test(`a whole early answer ${status} to an upload of ${uploadBytes} bytes arrives`, async () => {
      const server = await startEarlyServer(
        socket =>
          socket.end(
            `HTTP/1.1 ${status}\r\nAnvilstack-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy`,
          ),
        true,
      );
      const connections = createConnections();
      const outcome = await sendCall(connections, server.entry, {
        method: 'POST',
        headers: ['Content-Length', String(uploadBytes)],
        body: Buffer.alloc(uploadBytes, 'x'),
      });
      assert.equal(outcome.failure, undefined, outcome.failure?.message);
      assert.equal(outcome.status, Number(status.slice(0, 3)));
      assert.equal(outcome.body, 'busy');
      connections.close();
      server.close();
    });
  }
}
