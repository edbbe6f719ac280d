/**
 * Generates the example traces and the bounds of their outcomes.
 * Usage: example_traces.bench.js [DIRECTORY]
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {
  computeStatedBounds,
  createTrace,
  formatTrace,
  listScenarios,
} from '../src/replay';

const [directory = 'examples/traces'] = process.argv.slice(2);
mkdirSync(directory, {recursive: true});
for (const scenario of listScenarios()) {
  const {name, spec} = scenario;
  const trace = createTrace(spec);
  const text = formatTrace(trace);
  const bounds = computeStatedBounds(scenario, trace);
  writeFileSync(join(directory, `${name}.jsonl`), text);
  writeFileSync(
    join(directory, `${name}.outcome.json`),
    `${JSON.stringify(bounds, null, 2)}\n`,
  );
  console.log(`${name}: ${text.length} bytes`);
}
