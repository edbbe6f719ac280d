import {registerSoakTests} from './register_soak_tests';

const SHORT_SEEDS = [1];
/** Seeds that once found a violation, with its cause. */
const REGRESSION_SEEDS: ReadonlyArray<readonly [number, string]> = [
  [
    2,
    'the listener answered for bytes after a request (400, 408) while it ran',
  ],
  [7, 'orders of callers that half-closed got no answer'],
];

registerSoakTests({
  isHostile: true,
  seeds: [...SHORT_SEEDS, ...REGRESSION_SEEDS.map(([seed]) => seed)],
  furtherSeeds: process.env['ANVILSTACK_SOAK_HOSTILE_SEEDS'],
  program: 'target/hostile_soak.cjs',
});
