import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {before, test} from 'node:test';
import {runSoak} from './soak';

/** Seeds that are always run. */
const SHORT_SEEDS = [1, 2];
/** Seeds that once found a violation, with its cause. */
const REGRESSION_SEEDS: ReadonlyArray<readonly [number, string]> = [
  [102, 'a process that could not listen kept running without serving'],
  [2000, 'the stand-in completed an answer before it crashed because of it'],
  [3021, 'the end of a drain undid another drain of the same server'],
];
/** Further seeds for manual runs, as FIRST:COUNT. */
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
  test(`the gateway keeps its guarantees under the faults of seed ${seed}`, async context => {
    const result = await runSoak({seed});
    context.diagnostic(`${result.answered} of ${result.requests} answered`);
    const report = [
      JSON.stringify(result.schedule),
      JSON.stringify(result.limits),
      JSON.stringify(result.deadlyPart),
      ...result.lines.slice(-400),
    ].join('\n');
    assert.deepEqual(result.violations, [], report);
    assert.ok(result.answered > 0);
  });
}
