/** All nodes are killed at once; a new one starts during a log outage and serves only after it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startTestCluster} from '../support/cluster';

test('after the loss of all nodes an accepted amendment is in force, and nothing is served before', async () => {
  const cluster = await startTestCluster();
  try {
    const headers = {authorization: `Bearer ${cluster.operatorToken}`};
    const readTemplate = async (address: string): Promise<Response> =>
      fetch(`${address}/operators/templates/studio`, {headers});
    const [first] = cluster.nodes;
    const answer = await readTemplate(first.operatorAddress);
    const known = (await answer.json()) as {
      template: Record<string, unknown>;
      current: {version: number};
    };
    const version = await cluster.publishTemplate(
      {...known.template, deadline_ms: 4_321},
      known.current.version,
    );
    await Promise.all(cluster.nodes.map(node => node.kill()));

    cluster.fleet.log.setDown(true);
    const node = await cluster.addNode();
    const ready = await fetch(`${node.callerAddress}/readyz`);
    assert.equal(ready.status, 503);
    const refused = await fetch(`${node.callerAddress}/v1/chat/completions`, {
      method: 'POST',
      body: '{}',
    });
    assert.equal(refused.status, 503);
    assert.equal(node.isReady(), false);

    cluster.fleet.log.setDown(false);
    await cluster.waitUntil(() => node.isReady());
    const after = await readTemplate(node.operatorAddress);
    const inForce = (await after.json()) as typeof known;
    assert.equal(inForce.current.version, version);
    assert.equal(inForce.template['deadline_ms'], 4_321);
    assert.equal((await fetch(`${node.callerAddress}/readyz`)).status, 200);
  } finally {
    await cluster.close();
  }
});
