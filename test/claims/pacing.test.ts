/** The appends of claims stay within their share of the log. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startClaimsCluster} from '../support/claims_cluster';

const NODES = 14;
const APPENDS_PER_S = 200;
const REQUESTS_PER_S = 600;
const SECONDS = 5;

test('a burst of claims is grouped within the share and none is refused', async () => {
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

test('a single claim after a rest does not wait for its turn', async () => {
  const cluster = startClaimsCluster({nodes: 2, appendIntervalMs: 1_000});
  const {clock} = cluster;
  await clock.advance(2_000);
  const startMs = clock.getMonotonicMs();
  void cluster.getNode(0).book({key: 'k'});
  await clock.advance(100);
  assert.ok(cluster.runs[0].atMs - startMs < 10);
  cluster.stop();
});
