/** Non-idempotent requests run at most once when one fault occurs at a time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startClaimsCluster} from '../support/claims_cluster';

const WINDOW_MS = 60_000;

test('a key sent to all nodes concurrently runs once and has one answer', async () => {
  const cluster = startClaimsCluster({nodes: 5});
  const {clock} = cluster;
  await clock.advance(100);
  const answers = [0, 1, 2, 3, 4].map(index =>
    cluster.getNode(index).book({key: 'k'}),
  );
  await clock.advance(1_000);
  const bodies = (await Promise.all(answers)).map(answer => answer.body);
  assert.equal(cluster.runs.length, 1);
  assert.equal(new Set(bodies).size, 1);
  assert.notEqual(bodies[0], undefined);
  cluster.stop();
});

test('a request whose log append loses its reply runs exactly once', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  cluster.applyFault({kind: 'lost-replies', count: 1});
  const answer = cluster.getNode(0).book({key: 'k'});
  await clock.advance(10_000);
  assert.equal((await answer).kind, 'ran');
  const again = cluster.getNode(1).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal((await again).body, (await answer).body);
  assert.equal(cluster.runs.length, 1);
  cluster.stop();
});

for (const killAtMs of [3, 6, 12, 40]) {
  test(`a node killed ${killAtMs} ms into a booking leaves at most one run`, async () => {
    const cluster = startClaimsCluster({serviceMs: 20});
    const {clock} = cluster;
    await clock.advance(100);
    void cluster.getNode(0).book({key: 'k'});
    await clock.advance(killAtMs);
    cluster.applyFault({kind: 'kill', node: 0});
    const second = cluster.getNode(1).book({key: 'k'});
    await clock.advance(5_000);
    const {kind} = await second;
    assert.ok(cluster.runs.length <= 1);
    const wasClaimed = kind === 'unresolved' || kind === 'answered';
    assert.ok(wasClaimed || kind === 'ran', kind);
    const third = cluster.getNode(2).book({key: 'k'});
    await clock.advance(5_000);
    assert.ok(cluster.runs.length <= 1);
    if (kind === 'unresolved') assert.equal((await third).kind, 'unresolved');
    cluster.stop();
  });
}

test('a retry after an unavailable claim waits for its pending release and then runs', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  // The claim is appended after the caller has been told that the request will not run.
  cluster.applyFault({kind: 'log-delay', delayMs: 400, forMs: 350});
  const first = cluster.getNode(0).book({key: 'k', timeoutMs: 300});
  await clock.advance(420);
  assert.equal((await first).kind, 'unavailable');
  const retries = [0, 1].map(index =>
    cluster.getNode(index).book({key: 'k', timeoutMs: 2_000}),
  );
  await clock.advance(5_000);
  const kinds = (await Promise.all(retries)).map(answer => answer.kind).sort();
  assert.deepEqual(kinds, ['answered', 'ran']);
  assert.equal(cluster.runs.length, 1);
  cluster.stop();
});

test('a booking that the backend server refused can be retried', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  const refused = cluster.getNode(0).book({key: 'k', isRefused: true});
  await clock.advance(50);
  const retry = cluster.getNode(1).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal((await refused).kind, 'refused');
  assert.equal((await retry).kind, 'ran');
  cluster.stop();
});

test('a node that reads back its grant only after a pause releases the claim', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  const paused = cluster.getNode(0).book({key: 'k', timeoutMs: 1_000});
  await clock.advance(3);
  cluster.applyFault({kind: 'pause', node: 0, forMs: 5_000});
  await clock.advance(6_000);
  assert.equal((await paused).kind, 'unavailable');
  const retry = cluster.getNode(1).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal((await retry).kind, 'ran');
  assert.equal(cluster.runs.length, 1);
  cluster.stop();
});

test('a request granted to a node that is then paused runs once, late, and on no other node', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  void cluster.getNode(0).book({key: 'k'});
  // The claim has been read back; the call is about to be sent.
  await clock.advance(5);
  cluster.applyFault({kind: 'pause', node: 0, forMs: 10_000});
  const meanwhile = cluster.getNode(1).book({key: 'k', timeoutMs: 500});
  await clock.advance(1_000);
  assert.equal((await meanwhile).kind, 'unresolved');
  await clock.advance(12_000);
  const after = cluster.getNode(1).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal((await after).kind, 'answered');
  assert.equal(cluster.runs.length, 1);
  cluster.stop();
});

test('during a known log outage a new claim is refused at once and a recorded outcome is returned', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  const before = cluster.getNode(0).book({key: 'known'});
  await clock.advance(500);
  assert.equal((await before).kind, 'ran');
  cluster.applyFault({kind: 'log-outage', forMs: 60_000});
  await clock.advance(3_000);
  const startMs = clock.getMonotonicMs();
  const claim = cluster.getNode(0).book({key: 'k', timeoutMs: 20_000});
  const known = cluster.getNode(1).book({key: 'known', timeoutMs: 20_000});
  await clock.advance(25_000);
  assert.equal((await claim).kind, 'unavailable');
  assert.equal((await claim).atMs, startMs);
  assert.equal((await known).kind, 'answered');
  await clock.advance(60_000);
  const retry = cluster.getNode(0).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal((await retry).kind, 'ran');
  cluster.stop();
});

test('an outcome is recorded after a log outage longer than ten minutes', async () => {
  const cluster = startClaimsCluster({serviceMs: 500});
  const {clock} = cluster;
  await clock.advance(100);
  const first = cluster.getNode(0).book({key: 'k'});
  await clock.advance(50);
  cluster.applyFault({kind: 'log-outage', forMs: 1_200_000});
  await clock.advance(1_000);
  assert.equal((await first).kind, 'ran');
  const local = cluster.getNode(0).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal(
    (await local).kind,
    'answered',
    'the node that ran it knows the answer',
  );
  await clock.advance(1_300_000);
  const other = cluster.getNode(1).book({key: 'k'});
  await clock.advance(1_000);
  assert.equal((await other).body, (await first).body);
  cluster.stop();
});

test('a node whose wall clock is wrong keeps keys for the whole window', async () => {
  const cluster = startClaimsCluster({
    wallSkewMs: node => (node === 0 ? -2 * WINDOW_MS : 0),
  });
  const {clock} = cluster;
  await clock.advance(100);
  const first = cluster.getNode(0).book({key: 'k', windowMs: WINDOW_MS});
  await clock.advance(1_000);
  const again = cluster.getNode(1).book({key: 'k', windowMs: WINDOW_MS});
  await clock.advance(1_000);
  assert.equal((await first).kind, 'ran');
  assert.equal((await again).kind, 'answered');
  cluster.stop();
});

test('a node that has drained has recorded all its outcomes', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  const node = cluster.getNode(0);
  const first = node.book({key: 'k'});
  const drained = first.then(() => node.ledger.drain(5_000));
  void drained.then(() => cluster.applyFault({kind: 'kill', node: 0}));
  await clock.advance(1_000);
  assert.equal(await drained, true);
  assert.ok(node.control.isKilled());
  const again = cluster.getNode(1).book({key: 'k'});
  await clock.advance(3_000);
  assert.equal((await again).body, (await first).body);
  cluster.stop();
});

test('a drain times out when the log is unavailable', async () => {
  const cluster = startClaimsCluster({serviceMs: 500});
  const {clock} = cluster;
  await clock.advance(100);
  const first = cluster.getNode(0).book({key: 'k'});
  await clock.advance(50);
  cluster.applyFault({kind: 'log-outage', forMs: 60_000});
  await clock.advance(1_000);
  assert.equal((await first).kind, 'ran');
  const drained = cluster.getNode(0).ledger.drain(5_000);
  await clock.advance(6_000);
  assert.equal(await drained, false);
  cluster.stop();
});

test('a key used for another request is refused', async () => {
  const cluster = startClaimsCluster();
  const {clock} = cluster;
  await clock.advance(100);
  void cluster.getNode(0).book({key: 'k', content: 'one'});
  await clock.advance(100);
  const other = cluster.getNode(1).book({key: 'k', content: 'two'});
  await clock.advance(100);
  assert.equal((await other).kind, 'conflict');
  assert.equal(cluster.runs.length, 1);
  cluster.stop();
});
