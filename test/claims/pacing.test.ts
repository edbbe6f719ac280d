/** Claims are batched so that a node's appends stay within its share of the log's append rate. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startClaimsCluster} from '../support/claims_cluster';

const NODES = 14;
const APPENDS_PER_S = 200;
const REQUESTS_PER_S = 600;
const SECONDS = 5;

test('a burst of claims is batched within the append rate and none is refused', async () => {
  const cluster = startClaimsCluster({
    nodes: NODES,
    appendIntervalMs: (1_000 * NODES) / APPENDS_PER_S,
  });
  const {clock, log} = cluster;
  await clock.advance(100);
  const before = log.getAppendCount();
  for (let index = 0; index < REQUESTS_PER_S * SECONDS; index++) {
    void cluster.getNode(index % NODES).book({key: `k${index}`});
    await clock.advance(1_000 / REQUESTS_PER_S);
  }
  const appendsPerS = (log.getAppendCount() - before) / SECONDS;
  await clock.advance(2_000);
  assert.ok(appendsPerS <= APPENDS_PER_S * 1.1, `${appendsPerS} a second`);
  assert.equal(cluster.runs.length, REQUESTS_PER_S * SECONDS);
  cluster.stop();
});

test('a single claim after an idle period is appended at once', async () => {
  const cluster = startClaimsCluster({nodes: 2, appendIntervalMs: 1_000});
  const {clock} = cluster;
  await clock.advance(2_000);
  const startMs = clock.getMonotonicMs();
  void cluster.getNode(0).book({key: 'k'});
  await clock.advance(100);
  assert.ok(cluster.runs[0].atMs - startMs < 10);
  cluster.stop();
});

test('a claim with a short timeout does not cause other claims to be refused', async () => {
  const cluster = startClaimsCluster({nodes: 1, appendIntervalMs: 200});
  const {clock} = cluster;
  const node = cluster.getNode(0);
  await clock.advance(100);
  void node.book({key: 'first'});
  await clock.advance(20);
  const shortTimeoutAnswer = node.book({key: 'hasty', timeoutMs: 50});
  const longTimeoutAnswer = node.book({key: 'patient', timeoutMs: 2_000});
  await clock.advance(60);
  const next = node.book({key: 'next', timeoutMs: 2_000});
  await clock.advance(2_000);
  assert.equal((await shortTimeoutAnswer).kind, 'unavailable');
  assert.equal((await longTimeoutAnswer).kind, 'ran');
  assert.equal((await next).kind, 'ran');
  cluster.stop();
});

test('one claim at a time probes a log that serves reads but accepts no appends', async () => {
  const cluster = startClaimsCluster({nodes: 1});
  const {clock} = cluster;
  const node = cluster.getNode(0);
  await clock.advance(100);
  cluster.setAppendsLost(true);
  const first = node.book({key: 'first', timeoutMs: 2_000});
  await clock.advance(2_100);
  assert.equal((await first).kind, 'unavailable');
  void node.book({key: 'second', timeoutMs: 2_000});
  await clock.advance(100);
  const startMs = clock.getMonotonicMs();
  const third = node.book({key: 'third', timeoutMs: 2_000});
  await clock.advance(10);
  assert.equal((await third).kind, 'unavailable');
  assert.equal((await third).atMs, startMs);
  cluster.setAppendsLost(false);
  await clock.advance(5_000);
  const later = node.book({key: 'later'});
  await clock.advance(3_000);
  assert.equal((await later).kind, 'ran');
  cluster.stop();
});
