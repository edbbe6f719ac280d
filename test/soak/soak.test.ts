import {registerSoakTests} from './register_soak_tests';

const SHORT_SEEDS = [1, 2];
/** Seeds that once found a violation, with its cause. */
const REGRESSION_SEEDS: ReadonlyArray<readonly [number, string]> = [
  [102, 'a process that could not listen kept running without serving'],
  [2000, 'the stand-in completed an answer before it crashed because of it'],
  [3021, 'the end of a drain undid another drain of the same server'],
];

registerSoakTests({
  isHostile: false,
  seeds: [...SHORT_SEEDS, ...REGRESSION_SEEDS.map(([seed]) => seed)],
  furtherSeeds: process.env['ANVILSTACK_SOAK_SEEDS'],
  program: 'target/anvilstack.cjs',
});
