/** Shares of client accounts: served fractions in the model of an overload, and time of what each request calls, by number of accounts. */
import {createLogger} from '../src/diagnostics/log';
import {createWaitingPrompts} from '../src/gateway/waiting_prompts';
import {createVirtualClock} from '../src/runtime';
import {createAccountShares} from '../src/shares';
import {computeSummary, runOverload} from '../test/shares/overload_model';

const COUNTS = [10, 100, 1_000, 10_000];
const ROUNDS = 15;
const REQUESTS = 50_000;
/** Prompts that wait at the node meanwhile. */
const WAITING = 200;
/** Accounts over their shares. */
const LISTED = 5;
const SEEDS = [1, 2, 3];
const DURATION_MS = 120_000;

const runs = COUNTS.map(createRun);
// The counts take turns, so that load from other programs affects all of them alike.
for (let round = 0; round < ROUNDS; round++) for (const run of runs) run();
for (const run of runs) run.report();
for (const isUniform of [true, false]) {
  await reportModel('without accounts', {isUniform, hasAccounts: false});
  await reportModel('with shares', {isUniform, hasAccounts: true});
  await reportModel('no messages', {
    isUniform,
    hasAccounts: true,
    hasMessages: false,
  });
}
await reportModel('three ranks, without accounts', {
  isUniform: true,
  hasAccounts: false,
  getRank: index => index % 3,
});
await reportModel('three ranks, with shares', {
  isUniform: true,
  hasAccounts: true,
  getRank: index => index % 3,
});

function createRun(count: number) {
  const clock = createVirtualClock();
  const shares = createAccountShares({
    nodeName: 'front-1',
    clock,
    logger: createLogger({node: 'front-1', write: () => undefined}),
    hasAccounts: () => true,
    tryCountPlannersBefore: () => undefined,
    listReports: () => [],
    notify: () => undefined,
  });
  const waiting = createWaitingPrompts({
    clock,
    getRandom: Math.random,
    countPeers: () => 11,
    countEngines: () => 10,
  });
  // Half of the requests come from accounts over their shares, which take longest.
  const accounts = Array.from({length: REQUESTS}, (_, index) => {
    const used = index % 2 === 0 ? count : LISTED;
    return `account-${Math.floor(Math.random() * used)}`;
  });
  const createPrompt = (account: string) => ({
    account,
    rank: 1,
    isOverShare: false,
    workMs: 60,
    expiresAtMs: Number.POSITIVE_INFINITY,
    tryStart: () => false,
    onExpired: () => undefined,
  });
  for (const account of accounts.slice(0, WAITING)) {
    waiting.add(createPrompt(account));
  }
  const times = {request: [] as number[], report: [] as number[]};
  shares.recordShortage();
  return Object.assign(
    () => {
      shares.handlePlan('front-0', {
        shares: Array.from({length: LISTED}, (_, index) => ({
          account: `account-${index}`,
          rank: 1,
          fraction: 0.5,
        })),
        arrivedMs: 2_000,
        startedMs: 1_000,
      });
      const startedAtMs = performance.now();
      for (const account of accounts) {
        const prompt = createPrompt(account);
        shares.recordArrival(prompt);
        shares.tryGetExceeded(prompt);
        waiting.predictWaitMs(prompt);
        const remove = waiting.add(prompt);
        remove();
        shares.recordStart(60);
      }
      const endedAtMs = performance.now();
      shares.tryCreateReport();
      times.report.push(performance.now() - endedAtMs);
      times.request.push(((endedAtMs - startedAtMs) * 1_000) / REQUESTS);
    },
    {
      report: () =>
        console.log(
          `${count} accounts: request ${getMedian(times.request).toFixed(2)} us, report ${getMedian(times.report).toFixed(2)} ms`,
        ),
    },
  );
}

async function reportModel(
  name: string,
  options: Omit<Parameters<typeof runOverload>[0], 'seed'>,
): Promise<void> {
  const rows: Array<Record<string, number>> = [];
  for (const seed of SEEDS) {
    const {results, planBytes} = await runOverload({
      durationMs: DURATION_MS,
      ...options,
      seed,
    });
    const meanMs =
      results.reduce((sum, {workMs}) => sum + workMs, 0) / results.length;
    const light = results.filter(({workMs}) => workMs < meanMs);
    const fractions = light.map(({served, sent}) => served / sent);
    const ranks = [0, 1, 2].flatMap(rank => {
      const own = results.filter(result => result.rank === rank);
      return own.length === 0 ? [] : [[rank, computeSummary(own).served]];
    });
    rows.push({
      ...computeSummary(results),
      light: fractions.reduce((sum, x) => sum + x, 0) / fractions.length,
      worstLight: Math.min(...fractions),
      ...Object.fromEntries(ranks.map(([rank, x]) => [`rank${rank}`, x])),
      plans: planBytes.length,
      planBytes: Math.max(0, ...planBytes),
    });
  }
  const values = Object.keys(rows[0]).map(
    key => `${key} ${rows.map(row => Number(row[key].toFixed(3))).join('/')}`,
  );
  const sizes = options.isUniform === true ? 'equal' : 'exponential';
  console.log(`${name}, ${sizes} work: ${values.join(', ')}`);
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}
