/** Membership under failures: dead and paused nodes, partitions, message loss, a stale VM list. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {MemberStatus} from '../../src/membership';
import {
  createListedNode,
  type MembershipCluster,
  type MembershipNode,
  startMembershipCluster,
} from '../support/membership_cluster';

/** Time within which every node must know that a backend server or a node leaves. */
const LEAVING_LIMIT_MS = 3_000;
const DEAD_LIMIT_MS = 12_000;
const RETURN_LIMIT_MS = 30_000;
const WARM_UP_MS = 5_000;
const MAX_NODE_BYTES_PER_S = 28_000;

test('every node detects a dead node', async () => {
  const cluster = startMembershipCluster({nodes: 14, seed: 3});
  const knownMs = await cluster.waitForAll(
    node => node.name === 'node-4' || hasProcess(node, 'node-4'),
    RETURN_LIMIT_MS,
  );
  assert.notEqual(knownMs, undefined);
  cluster.nodes[4].control.kill();
  const noticedMs = await cluster.waitForAll(
    node => getStatus(node, 'node-4') === 'dead',
    DEAD_LIMIT_MS,
  );
  assert.notEqual(noticedMs, undefined);
  assert.ok(cluster.nodes[0].membership.isProcessTerminated('node-4.1'));
  checkAlive(cluster, cluster.nodes.slice(0, 4));
  cluster.stop();
});

for (const count of [3, 14, 50]) {
  test(`a leaving backend server is known to all ${count} nodes in time`, async () => {
    const cluster = startMembershipCluster({nodes: count, seed: count});
    await cluster.clock.advance(WARM_UP_MS);
    cluster.nodes[1].membership.reportLeaving('engine-7');
    const knownMs = await cluster.waitForAll(
      node => node.membership.isServerLeaving('engine-7'),
      LEAVING_LIMIT_MS,
    );
    assert.notEqual(knownMs, undefined);
    cluster.stop();
  });
}

test('a report of a leaving server expires when no node renews it', async () => {
  const cluster = startMembershipCluster({nodes: 5});
  for (let second = 0; second < 90; second++) {
    cluster.nodes[0].membership.reportLeaving('engine-7');
    await cluster.clock.advance(1_000);
  }
  assert.ok(cluster.nodes[4].membership.isServerLeaving('engine-7'));
  await cluster.clock.advance(90_000);
  for (const {membership} of cluster.nodes) {
    assert.deepEqual(membership.listLeavingServers(), []);
  }
  cluster.stop();
});

test('a node that drains is seen as left and never as suspect', async () => {
  const cluster = startMembershipCluster({nodes: 14, seed: 5});
  await cluster.clock.advance(WARM_UP_MS);
  const seen: MemberStatus[] = [];
  cluster.nodes[0].membership.subscribe(change => {
    if (change.kind === 'member') seen.push(change.member.status);
  });
  const drained = cluster.nodes[9].membership.drain();
  await cluster.clock.advance(100);
  await drained;
  cluster.nodes[9].control.kill();
  const leftMs = await cluster.waitForAll(
    node => getStatus(node, 'node-9') === 'left',
    LEAVING_LIMIT_MS,
  );
  assert.notEqual(leftMs, undefined);
  await cluster.clock.advance(20_000);
  assert.deepEqual(seen, ['left']);
  cluster.stop();
});

test('a node paused for less than the suspicion time is not declared dead', async () => {
  const cluster = startMembershipCluster({nodes: 14, seed: 7});
  await cluster.clock.advance(WARM_UP_MS);
  const dead = collectDead(cluster);
  for (let round = 0; round < 6; round++) {
    cluster.nodes[round].control.setPause(3_000);
    await cluster.clock.advance(10_000);
  }
  assert.deepEqual(dead, []);
  checkAlive(cluster, cluster.nodes);
  const refutations = cluster.nodes.map(node =>
    node.membership.getRefutationCount(),
  );
  assert.ok(Math.max(...refutations) > 0, 'no paused node was suspected');
  cluster.stop();
});

test('a node returns after a long pause and declares no other node dead', async () => {
  const cluster = startMembershipCluster({nodes: 14, seed: 9});
  await cluster.clock.advance(WARM_UP_MS);
  const pausedNode = cluster.nodes[2];
  const reportedDead: string[] = [];
  pausedNode.membership.subscribe(change => {
    if (change.kind === 'member' && change.member.status === 'dead') {
      reportedDead.push(change.member.node);
    }
  });
  pausedNode.control.setPause(30_000);
  await cluster.clock.advance(20_000);
  assert.equal(getStatus(cluster.nodes[0], pausedNode.name), 'dead');
  await cluster.clock.advance(10_000);
  const backMs = await cluster.waitForAll(
    node => node === pausedNode || getStatus(node, pausedNode.name) === 'alive',
    RETURN_LIMIT_MS,
  );
  assert.notEqual(backMs, undefined);
  assert.deepEqual(reportedDead, []);
  cluster.stop();
});

test('the loss of a failure domain is detected without affecting the other nodes', async () => {
  const cluster = startMembershipCluster({nodes: 48, seed: 11});
  await cluster.clock.advance(WARM_UP_MS);
  const lost = cluster.nodes.slice(0, 16);
  const survivors = cluster.nodes.slice(16);
  lost.forEach(node => node.control.kill());
  const bytesBefore = survivors.map(node => node.bytes);
  const startMs = cluster.clock.getMonotonicMs();
  const noticedMs = await cluster.waitForAll(
    node => lost.every(item => getStatus(node, item.name) === 'dead'),
    2 * DEAD_LIMIT_MS,
  );
  assert.notEqual(noticedMs, undefined);
  checkAlive(cluster, survivors);
  const seconds = (cluster.clock.getMonotonicMs() - startMs) / 1_000;
  survivors.forEach((node, index) => {
    const bytesPerS = (node.bytes - bytesBefore[index]) / seconds;
    assert.ok(
      bytesPerS < MAX_NODE_BYTES_PER_S,
      `${bytesPerS} bytes per second`,
    );
  });
  cluster.stop();
});

test('after a partition of five minutes all nodes see one another as alive again', async () => {
  const cluster = startMembershipCluster({nodes: 30, seed: 13});
  await cluster.clock.advance(WARM_UP_MS);
  const isInCutRegion = (name: string): boolean => Number(name.slice(5)) < 8;
  cluster.setReachable((from, to) => isInCutRegion(from) === isInCutRegion(to));
  await cluster.clock.advance(300_000);
  assert.equal(getStatus(cluster.nodes[20], 'node-3'), 'dead');
  assert.equal(getStatus(cluster.nodes[3], 'node-20'), 'dead');
  assert.equal(getStatus(cluster.nodes[3], 'node-4'), 'alive');
  cluster.nodes[3].membership.reportLeaving('engine-1');
  await cluster.clock.advance(LEAVING_LIMIT_MS);
  assert.ok(cluster.nodes[7].membership.isServerLeaving('engine-1'));
  assert.ok(!cluster.nodes[20].membership.isServerLeaving('engine-1'));
  cluster.setReachable(() => true);
  const recoveredMs = await cluster.waitForAll(
    node => countAlive(node) === cluster.nodes.length - 1,
    RETURN_LIMIT_MS,
  );
  assert.notEqual(recoveredMs, undefined);
  cluster.stop();
});

test('with a stale VM list, unlisted nodes are discovered and listed absent nodes are not alive', async () => {
  const absentNode = createListedNode('node-ghost');
  const cluster = startMembershipCluster({
    nodes: 10,
    seed: 15,
    listed: nodes => [...nodes.slice(0, 3), absentNode],
  });
  // No other node lists this node; it knows one existing node.
  cluster.addNode('node-new', [createListedNode('node-2')]);
  const knownMs = await cluster.waitForAll(
    node =>
      countAlive(node) === 10 && getStatus(node, absentNode.node) !== 'alive',
    RETURN_LIMIT_MS,
  );
  assert.notEqual(knownMs, undefined);
  cluster.stop();
});

test('with a message loss of 10% no node is declared dead', async () => {
  const cluster = startMembershipCluster({nodes: 20, seed: 17, lossRate: 0.1});
  const dead = collectDead(cluster);
  await cluster.clock.advance(120_000);
  assert.deepEqual(dead, []);
  cluster.stop();
});

function getStatus(
  node: MembershipNode,
  other: string,
): MemberStatus | undefined {
  return node.name === other
    ? undefined
    : node.membership.tryGetMember(other)?.status;
}

function hasProcess(node: MembershipNode, other: string): boolean {
  return node.membership.tryGetMember(other)?.process !== undefined;
}

function countAlive(node: MembershipNode): number {
  const members = node.membership.listMembers();
  return members.filter(member => member.status === 'alive').length;
}

function checkAlive(
  cluster: MembershipCluster,
  expected: readonly MembershipNode[],
): void {
  for (const node of cluster.nodes) {
    if (node.control.isKilled()) continue;
    for (const other of expected) {
      if (other === node) continue;
      const status = getStatus(node, other.name);
      assert.notEqual(status, 'dead', `${node.name} of ${other.name}`);
    }
  }
}

function collectDead(cluster: MembershipCluster): string[] {
  const dead: string[] = [];
  for (const {membership} of cluster.nodes) {
    membership.subscribe(change => {
      if (change.kind !== 'member' || change.member.status !== 'dead') return;
      dead.push(change.member.node);
    });
  }
  return dead;
}
