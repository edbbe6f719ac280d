/** Windows of keys: expiry by the log's clock, keys with time stamps, expired log records. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startClaimsCluster} from '../support/claims_cluster';

const WINDOW_MS = 60_000;
const HOUR_MS = 3_600_000;

test('every process drops the same claims when their windows end', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  for (let index = 0; index < 50; index++) {
    void cluster.getNode(0).book({key: `k${index}`, windowMs: WINDOW_MS});
    await clock.advance(100);
  }
  await clock.advance(2 * WINDOW_MS);
  void cluster.getNode(1).book({key: 'last', windowMs: WINDOW_MS});
  await clock.advance(1_000);
  for (const index of [0, 1, 2]) {
    const state = cluster.getNode(index).getState();
    assert.equal(state.claims.size, 1);
    assert.equal(state.answerChars.size, 1);
  }
  cluster.stop();
});

test('a key with a time stamp is refused once its window has ended', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  const key = createUuidV7(clock.getWallMs());
  const first = cluster.getNode(0).book({key, windowMs: WINDOW_MS});
  await clock.advance(WINDOW_MS - 1_000);
  const within = cluster.getNode(1).book({key, windowMs: WINDOW_MS});
  await clock.advance(2_000);
  // The window ends by the log's clock, which advances only with new records.
  void cluster.getNode(2).book({key: 'other'});
  await clock.advance(100);
  const late = cluster.getNode(1).book({key, windowMs: WINDOW_MS});
  await clock.advance(1_000);
  assert.equal((await first).kind, 'ran');
  assert.equal((await within).kind, 'answered');
  assert.equal((await late).kind, 'expired');
  assert.equal(cluster.runs.filter(run => run.key === key).length, 1);
  cluster.stop();
});

test('a key stamped far in the future is refused', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  const key = createUuidV7(clock.getWallMs() + HOUR_MS);
  const answer = cluster.getNode(0).book({key});
  await clock.advance(1_000);
  assert.equal((await answer).kind, 'expired');
  cluster.stop();
});

test('a process that starts after log records have expired decides claims as the others do', async () => {
  const logRetentionMs = 4 * HOUR_MS;
  const cluster = startClaimsCluster({logRetentionMs});
  const {clock} = cluster;
  await clock.advance(100);
  // Windows longer than the log's retention are shortened to fit it.
  const windowMs = 100 * HOUR_MS;
  void cluster.getNode(0).book({key: 'early', windowMs});
  await clock.advance(2 * HOUR_MS);
  const first = cluster.getNode(0).book({key: 'k', windowMs});
  await clock.advance(2 * HOUR_MS + 60_000);
  void cluster.getNode(1).book({key: 'other', windowMs});
  await clock.advance(1_000);
  const late = cluster.getNode(cluster.addNode());
  await clock.advance(1_000);
  assert.equal(late.getState().claims.size, 2);
  const again = late.book({key: 'k', windowMs});
  const expired = [late, cluster.getNode(0)].map(node =>
    node.book({key: 'early', windowMs}),
  );
  await clock.advance(1_000);
  assert.equal((await again).body, (await first).body);
  const bodies = (await Promise.all(expired)).map(answer => answer.body);
  assert.equal(bodies[0], bodies[1]);
  assert.equal(cluster.runs.filter(run => run.key === 'k').length, 1);
  cluster.stop();
});

test('a process paused for longer than the log retention decides claims as the others do', async () => {
  const logRetentionMs = HOUR_MS;
  const cluster = startClaimsCluster({logRetentionMs});
  const {clock} = cluster;
  await clock.advance(100);
  cluster.applyFault({kind: 'pause', node: 2, forMs: 2 * HOUR_MS});
  void cluster.getNode(0).book({key: 'gone'});
  await clock.advance(2 * HOUR_MS - 60_000);
  const first = cluster.getNode(0).book({key: 'k'});
  await clock.advance(120_000);
  const again = cluster.getNode(2).book({key: 'k'});
  await clock.advance(5_000);
  assert.equal((await again).body, (await first).body);
  assert.deepEqual(
    [...cluster.getNode(2).getState().claims.keys()],
    [...cluster.getNode(1).getState().claims.keys()],
  );
  cluster.stop();
});

/** Returns a UUID of version 7 with the time stamp `atMs`. */
function createUuidV7(atMs: number): string {
  const digits = Math.floor(atMs).toString(16).padStart(12, '0');
  return `${digits.slice(0, 8)}-${digits.slice(8)}-7abc-8def-0123456789ab`;
}
