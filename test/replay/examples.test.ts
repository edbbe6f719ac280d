/** The committed traces equal those generated from their seeds, and their replays meet the stated bounds. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {
  checkOutcome,
  computeStatedBounds,
  createTrace,
  formatTrace,
  listScenarios,
  parseOutcomeBounds,
  parseTrace,
  replayTrace,
  SAFETY_BOUNDS,
} from '../../src/replay';
import {getKnownRedOptions} from '../support/known_red';

const DIRECTORY = 'examples/traces';

const names = readdirSync(DIRECTORY)
  .filter(file => file.endsWith('.jsonl'))
  .map(file => file.replace('.jsonl', ''));

function readExample(name: string, suffix: string): string {
  return readFileSync(join(DIRECTORY, `${name}${suffix}`), 'utf8');
}

test('every committed trace equals the one generated from its seed, and states the bounds of its scenario', () => {
  const scenarios = listScenarios();
  assert.deepEqual(names, scenarios.map(scenario => scenario.name).sort());
  for (const scenario of scenarios) {
    const trace = createTrace(scenario.spec);
    assert.equal(readExample(scenario.name, '.jsonl'), formatTrace(trace));
    const bounds = parseOutcomeBounds(
      readExample(scenario.name, '.outcome.json'),
    ).unwrap();
    assert.deepEqual(bounds, computeStatedBounds(scenario, trace));
    for (const field of Object.keys(SAFETY_BOUNDS)) {
      assert.equal(bounds[field]?.max, 0, `${scenario.name}: ${field}`);
    }
  }
});

for (const name of names) {
  const title = `trace ${name} meets its stated outcome`;
  test(title, getKnownRedOptions(title), async () => {
    const trace = parseTrace(readExample(name, '.jsonl')).unwrap();
    const bounds = parseOutcomeBounds(
      readExample(name, '.outcome.json'),
    ).unwrap();
    const {outcome} = await replayTrace(trace);
    assert.deepEqual(checkOutcome(outcome, bounds), []);
  });
}
