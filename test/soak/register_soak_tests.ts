/** Registers the tests of the soak: one for each seed. */
import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {before, test} from 'node:test';
import {runSoak, type SoakOptions} from './soak';

/** Options of the tests of one file. */
export interface SoakTestOptions {
  readonly isHostile: boolean;
  /** Seeds that are always run. */
  readonly seeds: readonly number[];
  /** Further seeds for manual runs, as FIRST:COUNT. */
  readonly furtherSeeds: string | undefined;
  /** Path at which the gateway is built. */
  readonly program: string;
}

/** Most violations that a failure shows; all of them and the log are in a file. */
const MAX_SHOWN = 20;
/** Size of manual runs, as NODES:CALLERS:ODD_CALLERS:SECONDS; then only the further seeds are run. */
const SIZE = process.env['ANVILSTACK_SOAK_SIZE'];

/** Registers a test for each seed. */
export function registerSoakTests(options: SoakTestOptions): void {
  const {isHostile, seeds, furtherSeeds, program} = options;
  before(() => {
    execFileSync(process.execPath, ['scripts/build_gateway.mjs', program]);
  });
  const usualSeeds = SIZE === undefined ? seeds : [];
  for (const seed of [...usualSeeds, ...parseSeeds(furtherSeeds)]) {
    registerTest({...parseSize(SIZE), seed, isHostile, program});
  }
}

function registerTest(options: SoakOptions): void {
  const {seed, isHostile = false} = options;
  const name = isHostile ? 'hostile seed' : 'seed';
  test(`the gateway keeps its guarantees under the faults of ${name} ${seed}`, async context => {
    const result = await runSoak(options);
    context.diagnostic(`${result.answered} of ${result.requests} answered`);
    const path = `build/soak_${isHostile ? 'hostile_' : ''}${seed}.log`;
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

function parseSeeds(text = '0:0'): number[] {
  const [first, count] = text.split(':').map(Number);
  return Array.from({length: count}, (_, index) => first + index);
}

function parseSize(text: string | undefined): Partial<SoakOptions> {
  if (text === undefined) return {};
  const [nodes, callers, oddCallers, seconds] = text.split(':').map(Number);
  return {nodes, callers, oddCallers, durationMs: seconds * 1_000};
}
