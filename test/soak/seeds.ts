/** Seeds of the runs that CI plays. */

const SHORT_SEEDS = [1, 2];
/** Seeds that once found a violation, with its cause. */
const REGRESSION_SEEDS: ReadonlyArray<readonly [number, string]> = [
  [102, 'a process that could not listen kept running without serving'],
  [2000, 'the stand-in completed an answer before it crashed because of it'],
  [3021, 'the end of a drain undid another drain of the same server'],
];
const SHORT_HOSTILE_SEEDS = [1];
/** Seeds of hostile runs that once found a violation, with its cause. */
const HOSTILE_REGRESSION_SEEDS: ReadonlyArray<readonly [number, string]> = [
  [
    2,
    'the listener answered for bytes after a request (400, 408) while it ran',
  ],
  [7, 'orders of callers that half-closed got no answer'],
];

/** Seeds of the runs without hostile faults. */
export const SEEDS = [
  ...SHORT_SEEDS,
  ...REGRESSION_SEEDS.map(([seed]) => seed),
];
/** Seeds of hostile runs. */
export const HOSTILE_SEEDS = [
  ...SHORT_HOSTILE_SEEDS,
  ...HOSTILE_REGRESSION_SEEDS.map(([seed]) => seed),
];
