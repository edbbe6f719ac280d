import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createConnections} from '../../src/gateway/connections';
import {Verdict} from '../../src/verdict';
import {CHECKS, createEntry, sendCall, startRawServer} from './support';

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

test('an answer without a length is complete when its connection is closed', async () => {
  const server = await startRawServer((socket, request) => {
    if (request.startsWith('GET /check')) {
      socket.write('HTTP/1.1 204 No Content\r\n\r\n');
    } else socket.end(`${UNFRAMED_HEAD}whole`);
  });
  const connections = createConnections({checks: CHECKS});
  const outcome = await sendCall(connections, server.entry, {requestId: 'r'});
  assert.deepEqual(outcome, {status: 200, body: 'whole'});
  connections.close();
  server.close();
});

test('an answer without a length is a failure when its connection is reset', async () => {
  const server = await startRawServer(socket => {
    socket.write(`${UNFRAMED_HEAD}par`, () => {
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
  });
  const connections = createConnections();
  const outcome = await sendCall(connections, server.entry);
  assert.equal(outcome.failure?.reason, 'reset');
  assert.equal(outcome.failure?.verdict, Verdict.MayHaveRun);
  connections.close();
  server.close();
});

test('a reset that arrives together with the data of an answer without a length is detected', async () => {
  const server = await startRawServer(socket => {
    socket.write(`${UNFRAMED_HEAD}par`);
    socket.resetAndDestroy();
  });
  const connections = createConnections();
  // Both arrive in one turn of the event loop, so that the socket only reports `end`.
  const outcome = await sendCall(connections, server.entry);
  assert.equal(outcome.failure?.reason, 'reset');
  connections.close();
  server.close();
});

test('a request whose connection cannot be opened has not run', async () => {
  const connections = createConnections();
  const outcome = await sendCall(connections, createEntry({port: 1}));
  assert.equal(outcome.failure?.reason, 'connect');
  assert.equal(outcome.failure?.verdict, Verdict.NotRun);
  connections.close();
});

test('a surplus second answer is not taken for the answer to the next request', async () => {
  const answer = (body: string) =>
    `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${body}`;
  const server = await startRawServer((socket, _request, count) => {
    socket.write(count === 1 ? `${answer('1')}${answer('X')}` : answer('2'));
  });
  const connections = createConnections();
  const first = await sendCall(connections, server.entry);
  const second = await sendCall(connections, server.entry);
  assert.equal(first.body, '1');
  assert.equal(second.body, '2');
  connections.close();
  server.close();
});

test('idle connections are reused', async () => {
  const server = await startRawServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx');
  });
  const connections = createConnections();
  await sendCall(connections, server.entry);
  await sendCall(connections, server.entry);
  assert.equal(connections.countOpened(), 1);
  connections.close();
  server.close();
});

test('a request is not sent again on a connection that has carried it, whichever answer it got', async () => {
  const server = await startRawServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx');
  });
  const connections = createConnections();
  const usedConnections = new Set<object>();
  await sendCall(connections, server.entry, {usedConnections});
  await sendCall(connections, server.entry, {usedConnections});
  assert.equal(connections.countOpened(), 2);
  await sendCall(connections, server.entry);
  assert.equal(connections.countOpened(), 2);
  connections.close();
  server.close();
});

test('an answer without a length is a failure when its server has ended', async () => {
  const server = await startRawServer(socket => {
    socket.write(`${UNFRAMED_HEAD}par`, () => {
      setTimeout(() => server.close(), 30);
    });
  });
  const connections = createConnections();
  const outcome = await sendCall(connections, server.entry);
  assert.equal(outcome.failure?.reason, 'reset');
  assert.equal(outcome.failure?.verdict, Verdict.MayHaveRun);
  connections.close();
});
