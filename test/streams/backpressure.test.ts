/** Backpressure from a slow caller reaches the engine's connection, through real sockets. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {createHttpEngineClient} from '../../src/backends';
import {createSystemClock} from '../../src/runtime';
import {createEngineServer} from '../support/routing_fleet';

/** Bytes of text in one event, and events in the whole answer: 64 MiB together. */
const TEXT_BYTES = 16_384;
const EVENTS = 4_096;
/** Bound of the socket buffers of both ends and the client's stream buffer together. */
const MAX_IN_TRANSIT_BYTES = 16 * 1_024 * 1_024;

test('a paused answer stops the engine after a bounded number of bytes, and is complete after it resumes', async () => {
  const text = 'x'.repeat(TEXT_BYTES);
  let sentEvents = 0;
  const server = createServer((request, response) => {
    if (request.url !== '/generate') {
      response.end('{}');
      return;
    }
    response.writeHead(200, {'content-type': 'text/event-stream'});
    const write = (): void => {
      while (sentEvents < EVENTS) {
        const batch = {firstIndex: sentEvents, count: 1, text};
        sentEvents++;
        const data = `event: tokens\ndata: ${JSON.stringify(batch)}\n\n`;
        if (!response.write(data)) {
          response.once('drain', write);
          return;
        }
      }
      const end = {finishReason: 'stop', generatedTokens: EVENTS};
      response.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`);
    };
    write();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const client = createHttpEngineClient({
    server: {
      ...createEngineServer('engine-0'),
      address: `http://127.0.0.1:${port}`,
    },
    clock: createSystemClock(),
  });
  let received = 0;
  let hasEnded = false;
  const call = client.start(
    {
      requestId: 'req-1',
      model: 'small',
      promptTokens: 1,
      maxTokens: EVENTS,
      priority: 0,
      phase: 'full',
      firstTokenIndex: 0,
      prefixHashes: [],
      prefixTokens: 0,
    },
    {
      onTokens: () => {
        received++;
        if (received === 1) call.setPaused(true);
      },
      onEnd: () => {
        hasEnded = true;
      },
      onFailure: failure => assert.fail(failure.message),
    },
  );
  await waitUntilStable(() => sentEvents);
  const receivedWhilePaused = received;
  const inTransit = (sentEvents - received) * TEXT_BYTES;
  assert.ok(sentEvents > 0 && sentEvents < EVENTS, `${sentEvents} sent`);
  assert.ok(inTransit < MAX_IN_TRANSIT_BYTES, `${inTransit} bytes in transit`);
  call.setPaused(false);
  await waitUntil(() => hasEnded);
  assert.ok(receivedWhilePaused < EVENTS);
  assert.equal(received, EVENTS);
  client.close();
  server.closeAllConnections();
  await new Promise(resolve => server.close(resolve));
});

/** Resolves when a positive count has stayed the same for ten polls. */
async function waitUntilStable(getCount: () => number): Promise<void> {
  let unchangedCount = 0;
  let lastCount = -1;
  while (unchangedCount < 10) {
    await new Promise(resolve => setTimeout(resolve, 20));
    const count = getCount();
    unchangedCount = count === lastCount && count > 0 ? unchangedCount + 1 : 0;
    lastCount = count;
  }
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 10));
}
