/** Bytes that follow a request on its connection: the request gets its own answer, and no status of the listener in its place. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {H3} from 'h3';
import {openListener} from '../../src/runtime';

const HEADER_TIMEOUT_MS = 300;
/** Time that an answer takes, in milliseconds: longer than it takes to notice a head that does not end. */
const WORK_MS = 1_800;
const REQUEST = 'POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n';

/** Sends a request and some bytes after it, and resolves with what comes back until the connection ends. */
async function sendWithSurplus(surplus: string): Promise<string> {
  const app = new H3();
  app.post('/slow', async event => {
    await event.req.text();
    await sleep(WORK_MS);
    return 'whole answer';
  });
  const listener = await openListener({
    app,
    limits: {
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      uploadTimeoutMs: 900,
      maxHeaderBytes: 2_048,
    },
  });
  const socket = connect(Number(new URL(listener.address).port), '127.0.0.1');
  let text = '';
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
  });
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.on('close', resolve));
  socket.write(REQUEST);
  await sleep(50);
  socket.write(surplus);
  await closed;
  await listener.destroy();
  return text;
}

for (const [name, surplus, wanted] of [
  ['a part of a head', 'POST /slow HTTP/1.1\r\nho', [200]],
  ['no head', 'no head\r\n\r\n', [200]],
  [
    'a head that is too long',
    `GET / HTTP/1.1\r\nx: ${'x'.repeat(3_000)}\r\n\r\n`,
    [200],
  ],
  [
    'a body that does not end',
    'POST /slow HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc',
    [200, 408],
  ],
] as const) {
  test(`a request is not answered by the listener when ${name} follows`, async () => {
    const text = await sendWithSurplus(surplus);
    const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match =>
      Number(match[1]),
    );
    assert.deepEqual(statuses, wanted);
    assert.ok(text.includes('whole answer'));
  });
}
