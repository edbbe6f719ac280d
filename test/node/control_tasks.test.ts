/**
 * Each shard of a running cluster has one lease holder, also after the node of a holder has been
 * drained.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Cluster, startCluster} from '../../src/demo';
import {createSystemClock} from '../../src/runtime';

interface Shard {
  readonly shard: string;
  readonly holder: string;
  readonly term: number;
}

async function listShards(cluster: Cluster, node: number): Promise<Shard[]> {
  const answer = await fetch(
    `${cluster.nodes[node].operatorAddress}/operators/fleet`,
    {headers: {authorization: `Bearer ${cluster.operatorToken}`}},
  );
  const fleet = (await answer.json()) as {shards: Shard[]};
  return fleet.shards.sort((left, right) =>
    left.shard < right.shard ? -1 : 1,
  );
}

test('every failure domain has one lease holder, and a drained node hands its leases over', async () => {
  const domains = ['d1', 'd2', 'd3'];
  const cluster = await startCluster({
    clock: createSystemClock(),
    deployment: 'test',
    region: 'r',
    failureDomains: domains,
    nodeCount: 3,
    engines: domains.map((failureDomain, index) => ({
      id: `engine-${index}`,
      failureDomain,
    })),
    models: ['small'],
    service: 'desk',
  });
  try {
    let shards: Shard[] = [];
    await cluster.waitUntil(async () => {
      shards = await listShards(cluster, 0);
      return shards.length === domains.length + 1;
    });
    assert.deepEqual(
      shards.map(item => item.shard),
      [...domains, 'fleet'],
    );
    const leaving = cluster.nodes.findIndex(node =>
      shards[0].holder.startsWith(`${node.id}.`),
    );
    const other = (leaving + 1) % cluster.nodes.length;
    await cluster.nodes[leaving].drain();
    const {id} = cluster.nodes[leaving];
    await cluster.waitUntil(async () => {
      const held = await listShards(cluster, other);
      return (
        held.length === domains.length + 1 &&
        held.every(item => !item.holder.startsWith(`${id}.`))
      );
    });
    for (const item of await listShards(cluster, other)) {
      const before = shards.find(known => known.shard === item.shard);
      assert.ok(item.term >= (before?.term ?? 0));
    }
  } finally {
    await cluster.close();
  }
});
