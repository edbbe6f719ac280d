/** Guarantees of the system under faults, tested end to end on real sockets. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Cluster} from '../../src/demo';
import {
  createTestClient,
  getExpectedText,
  sendBooking,
  startTestCluster,
  TEST_API_KEY,
  readStreamedText,
} from '../support/cluster';

let cluster: Cluster;

before(async () => {
  cluster = await startTestCluster();
});

after(() => cluster.close());

function countRunning(): number {
  return cluster.fleet.engines.reduce(
    (sum, engine) => sum + engine.getReport().running,
    0,
  );
}

async function readEvents(
  address: string,
): Promise<ReadonlyArray<{readonly cause: string}>> {
  const answer = await fetch(`${address}/operators/events`, {
    headers: {authorization: `Bearer ${cluster.operatorToken}`},
  });
  const body = (await answer.json()) as {events: Array<{cause: string}>};
  return body.events;
}

test('concurrent answers each reach the caller that asked', async () => {
  const words = Array.from({length: 60}, (_, index) => `word-${index}-`);
  const texts = await Promise.all(
    words.map((word, index) =>
      readStreamedText(
        createTestClient(cluster.nodes[index % 3].callerAddress),
        word,
        5 + (index % 7),
      ),
    ),
  );
  const expected = words.map((word, index) =>
    getExpectedText(word, 5 + (index % 7)),
  );
  assert.deepEqual(texts, expected);
});

test('after an engine crash in mid-answer the caller still gets the exact text', async () => {
  const client = createTestClient(cluster.nodes[0].callerAddress);
  let isCrashed = false;
  const answers = Array.from({length: 12}, (_, index) =>
    readStreamedText(client, `seam-${index}-`, 30, text => {
      if (isCrashed || text.length < 60) return;
      isCrashed = true;
      cluster.fleet.engines[0].crash(300);
    }),
  );
  const texts = await Promise.all(answers);
  assert.ok(isCrashed);
  texts.forEach((text, index) =>
    assert.equal(text, getExpectedText(`seam-${index}-`, 30)),
  );
  await cluster.waitUntil(() => cluster.fleet.engines[0].isUp());
});

test('a booking sent to every node at once runs once, and all get the same answer', async () => {
  const answers = await Promise.all(
    cluster.nodes.flatMap(node =>
      [1, 2, 3].map(() => sendBooking(node.callerAddress, 'tape-1')),
    ),
  );
  for (const answer of answers) {
    assert.equal(answer.headers.get('anvilstack-verdict'), 'ran');
    assert.deepEqual(await answer.json(), {reference: 'tape-1', runs: 1});
  }
  assert.equal(cluster.fleet.service.getRunCount('tape-1'), 1);
});

test('during a log outage bookings are refused as not run and completions are served', async () => {
  const [node] = cluster.nodes;
  cluster.fleet.log.setDown(true);
  const refused = await sendBooking(node.callerAddress, 'tape-2', 'key-2', {
    'anvilstack-deadline-ms': '600',
  });
  const text = await readStreamedText(
    createTestClient(node.callerAddress),
    'calm-',
    6,
  );
  cluster.fleet.log.setDown(false);
  assert.equal(text, getExpectedText('calm-', 6));
  assert.equal(refused.status, 503);
  assert.equal(refused.headers.get('anvilstack-verdict'), 'not-run');
  assert.ok(Number(refused.headers.get('retry-after-ms')) > 0);
  assert.equal(cluster.fleet.service.getRunCount('tape-2'), 0);
  let again = await sendBooking(node.callerAddress, 'tape-2', 'key-2');
  await cluster.waitUntil(async () => {
    if (again.status === 200) return true;
    assert.equal(again.headers.get('anvilstack-verdict'), 'not-run');
    again = await sendBooking(node.callerAddress, 'tape-2', 'key-2');
    return again.status === 200;
  });
  assert.equal(cluster.fleet.service.getRunCount('tape-2'), 1);
});

/**
 * Maximum wait for a request to reach an engine, in milliseconds: many times the usual wait on a
 * busy machine.
 */
const START_TIMEOUT_MS = 30_000;
/**
 * Deadline of a long answer, in milliseconds. Its 2,000 tokens take 27 s on an idle machine; a slow
 * machine must meet it too.
 */
const LONG_DEADLINE_MS = 300_000;

test('an answer whose caller has disconnected is cancelled at the engine', async () => {
  const [node] = cluster.nodes;
  for (const stream of [true, false]) {
    const abort = new AbortController();
    const answer = fetch(`${node.callerAddress}/v1/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${TEST_API_KEY}`,
        'anvilstack-deadline-ms': String(LONG_DEADLINE_MS),
      },
      body: JSON.stringify({
        model: 'small',
        prompt: 'x',
        max_tokens: 2_000,
        stream,
      }),
      signal: abort.signal,
    })
      .then(response => response.text())
      .catch(() => undefined);
    const first = await Promise.race([
      cluster.waitUntil(() => countRunning() > 0).then(() => 'running'),
      answer.then(text => `ended: ${text}`),
      sleep(START_TIMEOUT_MS).then(() => 'neither running nor ended'),
    ]);
    assert.equal(first, 'running');
    abort.abort();
    await answer;
    await cluster.waitUntil(() => countRunning() === 0);
  }
  const events = await readEvents(node.operatorAddress);
  const cancelled = events.filter(event => event.cause.includes('cancelled'));
  assert.equal(cancelled.length, 2);
});

test('a leaving engine finishes its requests and gets no new ones', async () => {
  const client = createTestClient(cluster.nodes[1].callerAddress);
  const leaving = cluster.fleet.engines[2];
  const open: Array<Promise<string>> = [];
  // The router chooses the engine, so send requests until the third engine has one.
  await cluster.waitUntil(() => {
    if (leaving.getReport().running > 0) return true;
    open.push(readStreamedText(client, `stay-${open.length}-`, 40));
    return false;
  });
  cluster.fleet.vmList.setLeaving('engine-3');
  const texts = await Promise.all(open);
  texts.forEach((text, index) =>
    assert.equal(text, getExpectedText(`stay-${index}-`, 40)),
  );
  await cluster.waitUntil(() => leaving.getReport().running === 0);
  for (let index = 0; index < 12; index++) {
    await readStreamedText(client, `after-${index}-`, 1);
    assert.equal(leaving.getReport().running, 0);
  }
});

test('a draining node finishes open requests and refuses new ones as not run', async () => {
  const node = cluster.nodes[2];
  const client = createTestClient(node.callerAddress);
  const open = Array.from({length: 8}, (_, index) =>
    readStreamedText(client, `drain-${index}-`, 30),
  );
  const first = readStreamedText(client, 'first-', 2);
  await first;
  const drained = node.drain();
  const refused = await fetch(`${node.callerAddress}/v1/models`, {
    headers: {authorization: 'Bearer key-of-studio'},
  }).catch(() => undefined);
  if (refused !== undefined) assert.equal(refused.status, 503);
  const texts = await Promise.all(open);
  texts.forEach((text, index) =>
    assert.equal(text, getExpectedText(`drain-${index}-`, 30)),
  );
  await drained;
  assert.equal(node.isReady(), false);
});
