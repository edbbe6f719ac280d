/**
 * All nodes learn in time that a backend server is leaving, although each reads the VM list rarely.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {computeListIntervalMs} from '../../src/node/list_interval';
import {
  type MembershipNode,
  startMembershipCluster,
} from '../support/membership_cluster';

/** Maximum time until every node knows that a backend server is leaving, in milliseconds. */
const LEAVING_LIMIT_MS = 3_000;
const MIN_INTERVAL_MS = 500;

for (const count of [3, 14, 50, 150]) {
  test(`${count} nodes that start together learn in time that a listed server is leaving`, async () => {
    const cluster = startMembershipCluster({nodes: count, seed: count});
    const generator = xoroshiro128plus(count);
    let isListedLeaving = false;
    let reads = 0;
    for (const node of cluster.nodes) void watchList(node);
    await cluster.clock.advance(60_000);
    isListedLeaving = true;
    reads = 0;
    const knownMs = await cluster.waitForAll(
      node => node.membership.isServerLeaving('engine-1'),
      LEAVING_LIMIT_MS,
    );
    assert.notEqual(knownMs, undefined);
    await cluster.clock.advance(10_000 - (knownMs ?? 0));
    assert.ok(reads <= 200, `${reads} reads by all nodes in ten seconds`);
    cluster.stop();

    async function watchList(node: MembershipNode): Promise<void> {
      for (;;) {
        reads++;
        if (isListedLeaving) node.membership.reportLeaving('engine-1');
        const random = uniformFloat64(generator);
        await node.control.clock.sleep(
          computeListIntervalMs(MIN_INTERVAL_MS, count, random),
        );
      }
    }
  });
}
