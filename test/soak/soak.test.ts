import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {before, test} from 'node:test';
import {runSoak} from './soak';

/** Seeds of every run. */
const SHORT_SEEDS = [1, 2];
/** Seeds that once broke a promise, with the cause. */
const REGRESSION_SEEDS: ReadonlyArray<readonly [number, string]> = [
  [102, 'a process that could not listen stayed up without serving'],
];
/** Further seeds, as FIRST:COUNT, for runs by hand. */
const FURTHER_SEEDS = process.env['ANVILSTACK_SOAK_SEEDS'];

before(() => {
  execFileSync(process.execPath, ['scripts/build_gateway.mjs']);
});

function listSeeds(): number[] {
  const [first, count] = (FURTHER_SEEDS ?? '0:0').split(':').map(Number);
  const further = Array.from({length: count}, (_, index) => first + index);
  return [
    ...SHORT_SEEDS,
    ...REGRESSION_SEEDS.map(([seed]) => seed),
    ...further,
  ];
}

for (const seed of listSeeds()) {
  test(`promises hold under the faults of seed ${seed}`, async context => {
    const result = await runSoak({seed});
    context.diagnostic(`${result.answered} of ${result.requests} answered`);
    const report = [
      JSON.stringify(result.schedule),
      ...result.lines.slice(-400),
    ].join('\n');
    assert.deepEqual(result.violations, [], report);
    assert.ok(result.answered > 0);
  });
}
