/** Each node polls the reports of a subset of a large fleet. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {BackendServer} from '../../src/backends';
import {selectPolledEngines} from '../../src/node/polled_engines';

function selectFor(
  node: string,
  servers: readonly BackendServer[],
  controlled: readonly string[] = [],
): ReadonlySet<string> {
  return selectPolledEngines({
    node,
    servers,
    isControlled: server => controlled.includes(server.id),
  });
}

function createEngines(count: number): BackendServer[] {
  return Array.from({length: count}, (_, index) => ({
    id: `engine-${index}`,
    kind: 'model_engine',
    address: '',
    failureDomain: '',
    region: '',
    building: '',
    checksFencing: true,
    isLeaving: false,
  }));
}

test('every engine of a small fleet is polled', () => {
  assert.equal(selectFor('node-1', createEngines(13)).size, 13);
});

test('a large fleet is spread over its nodes, and few subsets change when an engine leaves', () => {
  const engines = createEngines(600);
  const polls = new Map<string, number>();
  let changed = 0;
  for (let node = 0; node < 400; node++) {
    const subset = selectFor(`node-${node}`, engines);
    assert.equal(subset.size, 32);
    for (const id of subset) polls.set(id, (polls.get(id) ?? 0) + 1);
    const smaller = selectFor(`node-${node}`, engines.slice(1));
    changed += [...subset].filter(id => !smaller.has(id)).length;
  }
  assert.equal(polls.size, 600);
  const mean = (400 * 32) / 600;
  assert.ok(Math.max(...polls.values()) < 2.5 * mean);
  // Only the subsets that contained the engine that left change, each by one engine.
  assert.equal(changed, polls.get('engine-0'));
});

test('engines that a node controls are polled in addition to those it routes to', () => {
  const engines = createEngines(600);
  const routed = selectFor('node-1', engines);
  const controlled = engines.slice(0, 50).map(engine => engine.id);
  const polled = selectFor('node-1', engines, controlled);
  assert.deepEqual(polled, new Set([...controlled, ...routed]));
});
