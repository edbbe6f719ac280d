/** Servers that stop in the head of an answer: no part of a head may pass for an answer, wherever it is cut and whatever came before it. */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {createConnections} from '../../src/gateway/connections';
import {sendCall, startRawServer} from './support';

const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx';
const INTERIM = 'HTTP/1.1 102 Processing\r\nX-Note: wait\r\n\r\n';
const HEADS: Readonly<Record<string, string>> = {
  'with a length':
    'HTTP/1.1 200 OK\r\nAnvilstack-Response-Seal: seal\r\nContent-Length: 10\r\n\r\n',
  'in chunks':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n',
  'without a length':
    'HTTP/1.1 200 OK\r\nConnection: close\r\nAnvilstack-Response-Seal: seal\r\n\r\n',
};
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'an end': socket => socket.end(),
  'a reset': socket => socket.resetAndDestroy(),
};
/** Time between the two parts in which a head is sent, in milliseconds. */
const SPLIT_MS = 1;

for (const [headName, head] of Object.entries(HEADS)) {
  for (const [endName, endSocket] of Object.entries(ENDS)) {
    for (const isKept of [false, true]) {
      for (const before of ['', INTERIM]) {
        const name = `${headName}, cut by ${endName}, ${isKept ? 'on a kept connection' : 'on a new connection'}${before === '' ? '' : ', after an interim answer'}`;
        test(`no part of a head ${name} passes for an answer`, async () => {
          // The last byte ends the head; a whole head without a length is an empty answer.
          for (let cut = 0; cut < head.length; cut++) {
            const server = await startRawServer((socket, _request, count) => {
              if (isKept && count === 1) {
                socket.write(WHOLE);
                return;
              }
              const text = before + head.slice(0, cut);
              const half = Math.floor(text.length / 2);
              socket.write(text.slice(0, half));
              setTimeout(() => {
                socket.write(text.slice(half), () => endSocket(socket));
              }, SPLIT_MS);
            });
            const connections = createConnections();
            if (isKept) await sendCall(connections, server.entry);
            const outcome = await sendCall(connections, server.entry);
            assert.equal(outcome.failure?.reason, 'reset', `${cut} bytes`);
            connections.close();
            server.close();
          }
        });
      }
    }
  }
}
