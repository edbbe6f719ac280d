import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
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
/** Most violations that a failure shows; all of them and the log are in a file. */
const MAX_SHOWN = 20;
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
    const path = `build/soak_${seed}.log`;
    if (result.violations.length > 0) {
      // Not part of the message: the test runner takes minutes for one of this size.
      const {lines, ...rest} = result;
      writeFileSync(path, [JSON.stringify(rest), ...lines].join('\n'));
    }
    assert.equal(
      result.violations.length,
      0,
      [path, ...result.violations.slice(0, MAX_SHOWN)].join('\n'),
    );
    assert.ok(result.answered > 0);
  });
}
