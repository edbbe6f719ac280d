/** Compares the gateway with and without shares under overload, in the model. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {getKnownRedOptions} from '../support/known_red';
import {
  type AccountResult,
  computeSummary,
  type OverloadOptions,
  runOverload,
} from './overload_model';

const DURATION_MS = 120_000;

async function runBoth(options: Partial<OverloadOptions>) {
  const run = async (hasAccounts: boolean) => {
    const all = {seed: 1, durationMs: DURATION_MS, ...options, hasAccounts};
    const {results, planBytes} = await runOverload(all);
    return {results, planBytes, ...computeSummary(results)};
  };
  return {before: await run(false), after: await run(true)};
}

/** Returns the served fractions of the accounts that send less than the mean. */
function listLightFractions(results: readonly AccountResult[]): number[] {
  const meanMs =
    results.reduce((sum, {workMs}) => sum + workMs, 0) / results.length;
  return results
    .filter(({workMs}) => workMs < meanMs)
    .map(({served, sent}) => served / sent);
}

for (const seed of [1, 2]) {
  test(`an account that sends five times its usual rate is refused first (seed ${seed})`, async () => {
    const {before, after} = await runBoth({seed, isUniform: true});
    // Otherwise the model has no overload that could harm anybody.
    assert.ok(before.served < 0.8);
    assert.ok(before.worstTenth < 0.72);
    assert.ok(after.served > before.served - 0.01);
    assert.ok(after.worstTenth > after.served - 0.1);
    assert.ok(after.worst > after.served / 4);
    assert.ok(Math.min(...listLightFractions(after.results)) >= 0.95);
  });
}

test('accounts within their shares are served whole where prompts differ in size', async () => {
  const {after} = await runBoth({isUniform: false});
  assert.ok(after.worstTenth > after.served - 0.1);
  assert.ok(Math.min(...listLightFractions(after.results)) >= 0.95);
});

const COST_TITLE = 'shares cost no requests where prompts differ in size';
test(COST_TITLE, getKnownRedOptions(COST_TITLE), async () => {
  const {before, after} = await runBoth({isUniform: false});
  // Without shares, the largest prompts of all accounts are refused, which serves the most requests.
  assert.ok(after.served > before.served - 0.01);
});

// Guards against callers that are served more often because they retry at once.
for (const seed of [1, 2]) {
  test(`callers that retry early are served no more often than those that wait as told (seed ${seed})`, async () => {
    const runGain = async (hasMemory: boolean): Promise<number> => {
      const options = {seed, isUniform: true, impatient: 0.3, hasMemory};
      const all = {...options, hasAccounts: true, durationMs: DURATION_MS};
      const {patient, impatient} = await runOverload(all);
      return impatient.served / impatient.sent - patient.served / patient.sent;
    };
    // Otherwise callers in the model gain nothing that could be taken from them.
    assert.ok((await runGain(false)) > 0.1);
    assert.ok((await runGain(true)) < 0.015);
  });
}

test('more urgent accounts are served first, and none is starved', async () => {
  const {after} = await runBoth({isUniform: true, getRank: index => index % 3});
  const [urgent, usual, late] = [0, 1, 2].map(rank =>
    computeSummary(after.results.filter(result => result.rank === rank)),
  );
  assert.ok(urgent.served > 0.97);
  assert.ok(urgent.served > usual.served && usual.served > late.served);
  assert.ok(after.worst > after.served / 4);
});

test('a node without news of the fleet keeps to what it has seen itself', async () => {
  const {after} = await runBoth({isUniform: true, hasMessages: false});
  const light = listLightFractions(after.results);
  assert.ok(light.reduce((sum, x) => sum + x, 0) / light.length > 0.9);
});

test('nothing is announced, and all requests are served, while engines suffice', async () => {
  const {before, after} = await runBoth({load: 0.7, durationMs: 30_000});
  assert.ok(after.served > before.served - 0.005);
  assert.ok(after.planBytes.length <= 2);
});

test('announcements are small and come at most once a second', async () => {
  const {after} = await runBoth({});
  assert.ok(after.planBytes.length <= DURATION_MS / 1_000);
  assert.ok(Math.max(...after.planBytes) < 1_200);
});
