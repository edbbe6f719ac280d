/** Each node reads the reports of its own part of a large fleet. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {BackendServer} from '../../src/backends';
import {selectPolledEngines} from '../../src/node/polled_engines';

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

test('a small fleet is read whole', () => {
  assert.equal(selectPolledEngines('node-1', createEngines(13)).size, 13);
});

test('a large fleet is spread over its nodes, and few subsets change with it', () => {
  const engines = createEngines(600);
  const polls = new Map<string, number>();
  let changed = 0;
  for (let node = 0; node < 100; node++) {
    const subset = selectPolledEngines(`node-${node}`, engines);
    assert.equal(subset.size, 128);
    for (const id of subset) polls.set(id, (polls.get(id) ?? 0) + 1);
    const smaller = selectPolledEngines(`node-${node}`, engines.slice(1));
    changed += [...subset].filter(id => !smaller.has(id)).length;
  }
  assert.equal(polls.size, 600);
  const mean = (100 * 128) / 600;
  assert.ok(Math.max(...polls.values()) < 2.5 * mean);
  // Only the subsets that held the engine that left change, each by one.
  assert.equal(changed, polls.get('engine-0'));
});
