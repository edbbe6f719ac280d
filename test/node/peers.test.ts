/** Nodes discover one another over their peer listeners. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {Cluster} from '../../src/demo';
import type {AnvilstackNode, MembershipView} from '../../src/node';
import {startTestCluster} from '../support/cluster';

let cluster: Cluster;

before(async () => {
  cluster = await startTestCluster();
});

after(() => cluster.close());

test('every node sees the others, and all learn which server is leaving', async () => {
  await cluster.waitUntil(async () => {
    const fleets = await Promise.all(cluster.nodes.map(getFleet));
    return fleets.every(({members, digests}) => {
      const alive = members.filter(member => member.process !== undefined);
      return alive.length === 2 && digests.length === 2;
    });
  });
  const [engine] = cluster.fleet.engines;
  engine.setLeaving(true);
  await cluster.waitUntil(async () => {
    const fleets = await Promise.all(cluster.nodes.map(getFleet));
    return fleets.every(fleet => fleet.leavingServers.includes(engine.id));
  });
});

test('a node that starts during a log outage serves from a snapshot of its peers', async () => {
  cluster.fleet.log.setDown(true);
  const node = await cluster.addNode();
  await cluster.waitUntil(() => node.isReady());
  const answer = await fetch(`${node.operatorAddress}/operators/templates`, {
    headers: {authorization: `Bearer ${cluster.operatorToken}`},
  });
  const templates = (await answer.json()) as unknown[];
  assert.equal(templates.length, 1);
  cluster.fleet.log.setDown(false);
});

test('peers see a drained node as left', async () => {
  const [remaining, drained] = cluster.nodes;
  await drained.drain();
  await cluster.waitUntil(async () => {
    const {members} = await getFleet(remaining);
    const member = members.find(item => item.node === drained.id);
    return member?.status === 'left';
  });
  assert.notEqual(remaining.peerAddress, '');
});

async function getFleet(node: AnvilstackNode): Promise<MembershipView> {
  const answer = await fetch(`${node.operatorAddress}/operators/fleet`, {
    headers: {authorization: `Bearer ${cluster.operatorToken}`},
  });
  return (await answer.json()) as MembershipView;
}
