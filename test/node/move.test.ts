/**
 * End-to-end move of a client account from one building to another, with real nodes and sockets.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {type Cluster, startCluster} from '../../src/demo';
import type {ProgressRow} from '../../src/planning/move';
import {createSystemClock} from '../../src/runtime';
import {
  createTestClient,
  getExpectedText,
  readStreamedText,
} from '../support/cluster';
import {createTestTemplate} from '../support/template';

let cluster: Cluster;

before(async () => {
  cluster = await startCluster({
    clock: createSystemClock(),
    deployment: 'test',
    region: 'sk-west',
    failureDomains: ['sk-west-1'],
    nodeCount: 3,
    models: ['small'],
    engines: ['old', 'old', 'new', 'new'].map((building, index) => ({
      id: `${building}-${index}`,
      failureDomain: 'sk-west-1',
      building,
      // The engines of the destination start without the model and must load it.
      models: building === 'new' ? [] : ['small'],
    })),
    service: 'order-desk',
    reportIntervalMs: 20,
    weightCopyMs: 300,
  });
});

after(() => cluster.close());

function createMovingTemplate(changes: Record<string, unknown> = {}) {
  const stages = ['half', 'all', 'done'].map((name, index) => ({
    name,
    kind: name === 'done' ? 'done' : 'shift',
    share: name === 'half' ? 0.5 : 1,
    starts_at: new Date(Date.now() - 3 + index).toISOString(),
    from: {buildings: ['old']},
    to: {buildings: ['new']},
    gate: {window_s: 1, min_requests: 3},
  }));
  return createTestTemplate({operators: ['demo'], move: {stages, ...changes}});
}

async function readProgress(): Promise<ProgressRow | undefined> {
  const answer = await fetch(
    `${cluster.nodes[1].operatorAddress}/operators/progress`,
    {headers: {authorization: `Bearer ${cluster.operatorToken}`}},
  );
  return ((await answer.json()) as ProgressRow[])[0];
}

function countRunning(building: string): number {
  return cluster.fleet.engines
    .filter(engine => engine.id.startsWith(building))
    .reduce((sum, engine) => sum + engine.getReport().running, 0);
}

test('requests are served throughout the move, and by the new building after it', async () => {
  const version = await cluster.publishTemplate(createMovingTemplate());
  let sent = 0;
  await cluster.waitUntil(async () => {
    const texts = await Promise.all(
      cluster.nodes.map(node => {
        const client = createTestClient(node.callerAddress);
        return readStreamedText(client, `move-${sent++}-`, 3);
      }),
    );
    texts.forEach((text, index) =>
      assert.equal(text, getExpectedText(`move-${sent - 3 + index}-`, 3)),
    );
    const progress = await readProgress();
    return progress?.stage === 'done' && progress.is_complete;
  });
  const client = createTestClient(cluster.nodes[0].callerAddress);
  const open = readStreamedText(client, 'end-', 20);
  await cluster.waitUntil(() => countRunning('new') === 1);
  assert.equal(countRunning('old'), 0);
  await open;

  await cluster.publishTemplate(createMovingTemplate({hold: true}), version);
  const held = await readProgress();
  assert.equal(held?.stage, 'done');
});
