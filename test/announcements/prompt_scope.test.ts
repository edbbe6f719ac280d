import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createPromptScope,
  DEFAULT_SCOPE_SIZE,
  type EnginePlace,
  type NodePlace,
} from '../../src/announcements';

const DOMAINS = ['a', 'b', 'c'];
const SCOPE_ENGINES =
  DEFAULT_SCOPE_SIZE.localEngines + DEFAULT_SCOPE_SIZE.remoteEngines;

function createFleet(nodeCount: number, engineCount: number) {
  const nodes = Array.from({length: nodeCount}, (_, index): NodePlace => ({
    name: `node-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length],
  }));
  const engines = Array.from(
    {length: engineCount},
    (_, index): EnginePlace => ({
      id: `engine-${index}`,
      service: 'llm',
      failureDomain: DOMAINS[index % DOMAINS.length],
      stage: 'prefill',
    }),
  );
  const scopes = nodes.map(self =>
    createPromptScope({
      self,
      engines: {
        listUsable: () => engines,
        tryGetUsable: id => engines.find(engine => engine.id === id),
      },
      countPeers: () => nodeCount - 1,
    }),
  );
  return {nodes, engines, scopes};
}

function computeMeanReceivers(nodeCount: number): number {
  const {nodes, engines, scopes} = createFleet(nodeCount, nodeCount * 0.4);
  const counts = engines.map(({id}) => scopes[0].selectNodes(id, nodes).length);
  return counts.reduce((sum, count) => sum + count, 0) / counts.length;
}

// Guards against a sender that leaves out a node whose next choice its prompt changes.
test('every sender notifies the nodes that consider an engine', () => {
  const {nodes, engines, scopes} = createFleet(60, 40);
  const considered = scopes.map(
    scope => new Set(scope.selectEngines(engines).map(({id}) => id)),
  );
  for (const {id} of engines) {
    for (const sender of [scopes[0], scopes[31]]) {
      const notified = new Set(sender.selectNodes(id, nodes));
      for (const [index, node] of nodes.entries()) {
        if (considered[index].size <= 4) continue;
        assert.equal(notified.has(node), considered[index].has(id));
      }
    }
  }
});

// Guards against a number of messages that grows with the fleet.
test('the number of nodes that are notified of a prompt is the same in fleets of 100 and 300', () => {
  const small = computeMeanReceivers(100);
  const large = computeMeanReceivers(300);
  assert.ok(Math.abs(large / small - 1) < 0.1, `${small} and ${large}`);
  assert.ok(Math.abs(large / (SCOPE_ENGINES / 0.4) - 1) < 0.1, `${large}`);
});

// Guards against a change of behaviour in small fleets, and where engines are few.
test('all nodes are notified in a small fleet, and where there are few engines', () => {
  const small = createFleet(30, 60);
  assert.equal(small.scopes[0].selectEngines(small.engines).length, 60);
  assert.equal(small.scopes[0].selectNodes('engine-1', small.nodes).length, 30);
  const few = createFleet(100, 9);
  assert.equal(few.scopes[0].selectEngines(few.engines).length, 9);
  assert.equal(few.scopes[0].selectNodes('engine-1', few.nodes).length, 100);
});

// Guards against prompts without an engine when those that the node considers have failed.
test('a node considers other engines when most of its own cannot be used', () => {
  const {engines, scopes} = createFleet(100, 60);
  const considered = new Set(scopes[0].selectEngines(engines));
  const others = engines.filter(engine => !considered.has(engine));
  assert.equal(scopes[0].selectEngines(others).length, 4);
  assert.equal(scopes[0].selectEngines(others.slice(0, 2)).length, 2);
});

// Guards against a node that would be cut off from prefill engines when all of its failure domain's are lost.
test('a node whose failure domain has no engines considers as many in the others', () => {
  const {engines, scopes} = createFleet(100, 90);
  const remote = engines.filter(engine => engine.failureDomain !== 'a');
  const lacking = createPromptScope({
    self: {name: 'node-0', failureDomain: 'a'},
    engines: {listUsable: () => remote, tryGetUsable: () => undefined},
    countPeers: () => 99,
  });
  const mean =
    scopes.reduce(
      (sum, scope) => sum + scope.selectEngines(engines).length,
      0,
    ) / scopes.length;
  assert.ok(Math.abs(mean / SCOPE_ENGINES - 1) < 0.15, `${mean}`);
  const count = lacking.selectEngines(remote).length;
  assert.ok(count >= 6 && count <= 20, `${count}`);
});
