/** Bodies that stop early, in every framing, when the process of their server ends while its port goes on accepting connections. */
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {createConnections} from '../../src/gateway/connections';
import {createEntry} from './support';

/** Heads and what arrives of their bodies. */
const CUT_ANSWERS: ReadonlyArray<readonly [string, string]> = [
  ['HTTP/1.1 200 OK\r\nContent-Length: 40\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nContent-Length: 40\r\n', ''],
  ['HTTP/1.0 200 OK\r\nContent-Length: 40\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nContent-Length: 40\r\nConnection: close\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n', ''],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n', '5\r\nsho'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n', '5\r\nshort'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n', '5\r\nshort\r\n'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n', '5\r\nshort\r\n0\r\n'],
  ['HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n', '5\r\nshort\r\n'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\nContent-Length:\r\n', 'short'],
  ['HTTP/1.1 200 OK\r\n', ''],
  ['HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n', 'short'],
  ['HTTP/1.0 200 OK\r\n', 'short'],
  ['HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n', 'short'],
  ['HTTP/1.1 500 Failed\r\n', 'short'],
];
/** Time between the last bytes and the end of the process, in milliseconds. */
const CRASH_DELAY_MS = 20;

const connections = createConnections();
const sockets = new Set<Socket>();
let reply = '';
const server = createServer(socket => {
  sockets.add(socket);
  socket.on('close', () => sockets.delete(socket));
  socket.on('error', () => undefined);
  socket.on('data', () => {
    socket.write(reply);
    setTimeout(() => {
      for (const open of sockets) open.destroy();
    }, CRASH_DELAY_MS);
  });
});
after(() => {
  connections.close();
  server.close();
});

function receiveAnswer(): Promise<boolean> {
  const {port} = server.address() as AddressInfo;
  return new Promise(resolve => {
    connections.call({
      server: createEntry({port}),
      method: 'GET',
      path: '/',
      headers: [],
      handler: {
        onAnswer: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve(true),
        onFailure: () => resolve(false),
        needsProof: () => true,
      },
    });
  });
}

for (const [head, body] of CUT_ANSWERS) {
  const name = JSON.stringify(`${head.split('\r\n').slice(0, -1).join('; ')}`);
  test(`a body that stops early is not whole: ${name}, ${JSON.stringify(body)}`, async () => {
    if (!server.listening) {
      await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    }
    reply = `${head}\r\n${body}`;
    assert.equal(await receiveAnswer(), false);
  });
}
