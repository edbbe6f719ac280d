/** Tests of the shares' parts: tags, plans, messages, retries and the order of waiting prompts. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createLogger} from '../../src/diagnostics/log';
import {
  createWaitingPrompts,
  type PromptClaim,
} from '../../src/gateway/waiting_prompts';
import {createVirtualClock} from '../../src/runtime';
import {
  computeSharePlan,
  computeSpreadRetryMs,
  createAccountShares,
  createStartTags,
  MAX_SHARES,
  type SharePlan,
  type ShareReport,
} from '../../src/shares';
import {isSharePlan, isShareReport} from '../../src/shares/check_shares';

const PLAN: SharePlan = {
  shares: [{account: 'large', rank: 1, fraction: 0.2}],
  arrivedMs: 2_000,
  startedMs: 1_000,
};

function createReport(
  works: Readonly<Record<string, number>>,
  more: Partial<ShareReport> = {},
): ShareReport {
  return {
    accounts: Object.entries(works).map(([account, workMs]) => ({
      account,
      rank: 1,
      workMs,
    })),
    rest: [],
    startedMs: 1_000,
    isShort: true,
    ...more,
  };
}

function createNode(reports: readonly unknown[] = [], before?: number) {
  const clock = createVirtualClock();
  const announced: SharePlan[] = [];
  const lines: string[] = [];
  let hasAccounts = true;
  const shares = createAccountShares({
    nodeName: 'front-1',
    clock,
    logger: createLogger({node: 'front-1', write: line => lines.push(line)}),
    hasAccounts: () => hasAccounts,
    tryCountPlannersBefore: () => before,
    listReports: () => reports,
    notify: plan => announced.push(plan),
  });
  /** Returns what a second prompt, larger than the first, exceeds. */
  const tryGetExceeded = (account: string) => {
    shares.tryGetExceeded({account, rank: 1, workMs: 1});
    return shares.tryGetExceeded({account, rank: 1, workMs: 1_000});
  };
  return {
    clock,
    shares,
    announced,
    lines,
    tryGetExceeded,
    removeAccounts: () => {
      hasAccounts = false;
    },
  };
}

/** Starts all prompts in turn; returns their indexes in the order of their starts. */
async function listStarts(
  claims: ReadonlyArray<PromptClaim & {workMs: number}>,
): Promise<number[]> {
  const clock = createVirtualClock();
  const started: number[] = [];
  const waiting = createWaitingPrompts({
    clock,
    // No random other prompt is tried: the first one always starts.
    getRandom: () => 0,
    countPeers: () => 0,
    countEngines: () => 2,
  });
  claims.forEach((claim, index) =>
    waiting.add({
      ...claim,
      expiresAtMs: Number.POSITIVE_INFINITY,
      tryStart: () => started.push(index) > 0,
      onExpired: () => assert.fail('expired'),
    }),
  );
  await clock.advance(10 * (claims.length + 1));
  return started;
}

test('without accounts, prompts start by rank, then by arrival, as before', async () => {
  const prompts = fc.array(
    fc.record({rank: fc.nat({max: 3}), workMs: fc.nat({max: 500})}),
    {maxLength: 40},
  );
  await fc.assert(
    fc.asyncProperty(prompts, async items => {
      const claims = items.map(item => ({
        ...item,
        account: '',
        isOverShare: false,
      }));
      // The order of the queue before there were accounts: a stable sort.
      const expected = items
        .map(({rank}, index) => ({rank, index}))
        .sort((left, right) => left.rank - right.rank)
        .map(({index}) => index);
      assert.deepEqual(await listStarts(claims), expected);
    }),
    {seed: 1, numRuns: 100},
  );
});

test('an account with many waiting prompts does not delay the others of its rank', async () => {
  const create = (account: string, rank = 1, isOverShare = false) => ({
    account,
    rank,
    isOverShare,
    workMs: 100,
  });
  const order = await listStarts([
    create('large'),
    create('large'),
    create('large'),
    create('small'),
    create('large', 1, true),
    create('other'),
    create('urgent', 0, true),
  ]);
  assert.deepEqual(order, [6, 0, 3, 5, 1, 2, 4]);
});

test('tags of more accounts than are kept do not let an account start twice as early', () => {
  const tags = createStartTags();
  for (let index = 0; index < 20_000; index++) {
    tags.add(`account-${index}`, tags.getStartTag(`account-${index}`), 10);
  }
  assert.equal(tags.getStartTag('account-7'), 10);
  tags.advance(50);
  assert.equal(tags.getStartTag('account-7'), 50);
});

test('accounts within an equal share are not limited, and what they leave goes to the others', () => {
  const {shares} = computeSharePlan([
    createReport({a: 100, b: 900}),
    createReport({b: 900, c: 1_100}, {startedMs: 0}),
  ]);
  assert.deepEqual(
    shares.map(({account}) => account),
    ['b', 'c'],
  );
  // 1.1 times 1,000 is shared: a has 100, b and c have 500 each; at least 0.35 / 3 of what each sends.
  assert.ok(Math.abs(shares[0].fraction * 1_800 - 500) < 1);
  assert.ok(Math.abs(shares[1].fraction * 1_100 - 500) < 1);
});

test('nobody is limited while engines suffice or no prompt waits', () => {
  const works = {a: 100, b: 900};
  const enough = createReport(works);
  const calm = createReport(works, {startedMs: 500, isShort: false});
  assert.deepEqual(computeSharePlan([enough]).shares, []);
  assert.deepEqual(computeSharePlan([calm]).shares, []);
  assert.deepEqual(computeSharePlan([]).shares, []);
});

test('of many equal accounts none is limited, and at most 16 are listed', () => {
  const equal = Object.fromEntries(
    Array.from({length: 78}, (_, index) => [`a${index}`, 100]),
  );
  assert.deepEqual(computeSharePlan([createReport(equal)]).shares, []);
  const uneven = Object.fromEntries(
    Array.from({length: 78}, (_, index) => [`a${index}`, 100 + index]),
  );
  const {shares} = computeSharePlan([createReport(uneven)]);
  assert.ok(shares.length > 0 && shares.length <= MAX_SHARES);
});

test('no account or rank falls below a quarter of the served fraction of all work', () => {
  const works = fc.array(
    fc.record({
      account: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      rank: fc.nat({max: 2}),
      workMs: fc.double({min: 0.1, max: 10_000, noNaN: true}),
    }),
    {minLength: 1, maxLength: 30},
  );
  fc.assert(
    fc.property(works, accounts => {
      const plan = computeSharePlan([
        {accounts, rest: [], startedMs: 1_000, isShort: true},
      ]);
      const served = Math.min(1, plan.startedMs / plan.arrivedMs);
      for (const {fraction} of plan.shares) {
        assert.ok(fraction >= served / 4 && fraction < 1);
      }
    }),
    {seed: 1},
  );
});

test('a plan counts for three seconds; afterwards a node goes by its own counts', async () => {
  const {clock, shares, tryGetExceeded} = createNode();
  shares.handlePlan('front-0', PLAN);
  assert.equal(tryGetExceeded('large')?.source, 'fleet');
  assert.equal(tryGetExceeded('small'), undefined);
  await clock.advance(3_001);
  assert.equal(tryGetExceeded('large'), undefined);
  shares.recordStart(100);
  shares.recordArrival({account: 'large', rank: 1, workMs: 1_000});
  shares.recordArrival({account: 'small', rank: 1, workMs: 20});
  shares.recordShortage();
  await clock.advance(1_001);
  assert.equal(tryGetExceeded('large')?.source, 'local');
  assert.equal(tryGetExceeded('small'), undefined);
});

test('the first planning node announces plans each second, the others when it is silent', async () => {
  const reports = [createReport({a: 100, b: 1_900})];
  const first = createNode(reports, 0);
  const second = createNode(reports, 1);
  const unplanned = createNode(reports);
  second.shares.handlePlan('front-0', PLAN);
  for (const node of [first, second, unplanned]) node.shares.start();
  for (let step = 0; step < 5; step++) {
    for (const {clock} of [first, second, unplanned])
      await clock.advance(1_000);
    if (step < 2) second.shares.handlePlan('front-0', PLAN);
  }
  assert.equal(first.announced.length, 6);
  // The last plan of the first node came at 2 s.
  assert.equal(second.announced.length, 2);
  assert.equal(unplanned.announced.length, 0);
});

test('nothing is reported or limited without accounts or while engines suffice', () => {
  const {shares, removeAccounts, tryGetExceeded} = createNode();
  shares.recordArrival({account: 'a', rank: 1, workMs: 100});
  assert.equal(shares.tryCreateReport(), undefined);
  shares.recordShortage();
  assert.ok(isShareReport(shares.tryCreateReport()));
  removeAccounts();
  assert.equal(shares.tryCreateReport(), undefined);
  shares.handlePlan('front-0', PLAN);
  assert.equal(tryGetExceeded('large'), undefined);
});

test('a report stays small with 10,000 accounts, and contains the work of all', () => {
  const {shares} = createNode();
  for (let index = 0; index < 10_000; index++) {
    const account = `a customer with a rather long name ${index}`;
    shares.recordArrival({account, rank: index % 2, workMs: 10});
  }
  shares.recordShortage();
  const report = shares.tryCreateReport();
  assert.ok(report !== undefined && isShareReport(report));
  assert.ok(JSON.stringify(report).length < 1_200);
  const sumMs = [...report.accounts, ...report.rest].reduce(
    (sum, {workMs}) => sum + workMs,
    0,
  );
  // 10,000 prompts of 10 ms within a time constant of 5 s.
  assert.ok(Math.abs(sumMs - 20_000) < 100);
});

test('malformed messages are logged and change nothing', async () => {
  const faults = [
    undefined,
    null,
    [],
    {...PLAN, shares: 'x'},
    {...PLAN, shares: [{account: 1, rank: 1, fraction: 0.5}]},
    {...PLAN, shares: [{account: 'large', rank: 1, fraction: 2}]},
    {...PLAN, shares: [{account: 'large', rank: 1, fraction: Number.NaN}]},
    {...PLAN, shares: [null]},
    {...PLAN, shares: Array.from({length: 17}, () => PLAN.shares[0])},
    {...PLAN, arrivedMs: -1},
  ];
  const {shares, lines, tryGetExceeded} = createNode();
  for (const fault of faults) {
    assert.equal(isSharePlan(fault), false);
    shares.handlePlan('front-0', fault);
  }
  assert.equal(lines.length, faults.length);
  assert.equal(tryGetExceeded('large'), undefined);
  const planner = createNode(
    [{accounts: [{workMs: Number.POSITIVE_INFINITY}]}, 'x', null],
    0,
  );
  planner.shares.start();
  await planner.clock.advance(1_000);
  assert.equal(planner.announced.length, 0);
  assert.equal(planner.lines.length, 2);
});

test('retries are spread up to the time of room, and to a third of the remaining time', () => {
  const compute = (random: number, predictedMs = 900, remainingMs = 6_000) =>
    computeSpreadRetryMs({predictedMs, remainingMs, minMs: 100, random});
  assert.equal(compute(0), 100);
  assert.equal(compute(0.5), 500);
  assert.equal(compute(1), 900);
  assert.equal(compute(1, 900, 1_500), 500);
  assert.equal(compute(1, 0), 100);
  assert.equal(compute(1, 900, 30), 100);
});
