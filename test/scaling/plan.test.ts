/** Tests the plan of server orders against a model of the platform. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {planServers} from '../../src/scaling/plan_servers';
import {planWanted} from '../../src/scaling/plan_wanted';
import {checkScalingLimits} from '../../src/scaling/scaling_limits';
import type {ServerOrder} from '../../src/scaling/types';
import {createLoad, DOMAINS, LIMITS, type Run, runPlan} from './support';

const TRAFFIC_START_MS = 16_000;

/** Returns a load of the given number of busy prefill engines that begins with the traffic. */
function createTraffic(getPrefill: (nowMs: number) => number) {
  return (nowMs: number) =>
    nowMs < TRAFFIC_START_MS ? undefined : createLoad(getPrefill(nowMs), 2);
}

function countReady(run: Run, atMs: number): number {
  return run.readyCounts[atMs / 250];
}

test('before any request, all ordinary servers are replaced and none is released before its replacement is ready', () => {
  const run = runPlan({durationMs: 16_000, getLoad: () => undefined});
  assert.ok(run.readyCounts.every(count => count >= 42));
  assert.equal(run.platform.count(16_000, true), 42);
  assert.equal(run.platform.count(16_000, false), 0);
  // Servers that start are billed: a second order of the same kind would cost twice.
  assert.equal(run.orders.length, 6);
});

test('a constant load keeps the servers that it needs, in small steps and with two engines of each stage in each failure domain', () => {
  const run = runPlan({
    durationMs: 120_000,
    getLoad: createTraffic(() => 6),
  });
  // 6 / 0.4 prefill engines and 2 / 0.6 decode engines; less than a tenth too much is kept.
  const needed = 15 + 4;
  const kept = countReady(run, 120_000);
  assert.ok(kept >= needed && kept - needed < 0.1 * kept, `${kept}`);
  assert.ok(countReady(run, 25_750) >= 42, 'released before 10 s of demand');
  assert.ok(countReady(run, 30_000) >= 0.75 * 42, 'a quarter at the start');
  for (const domain of DOMAINS) {
    assert.ok(run.platform.count(120_000, undefined, domain) >= 4);
  }
  for (const order of run.orders.filter(({atMs}) => atMs > 10_000)) {
    const before = run.orders.findLast(
      item =>
        item.atMs < order.atMs &&
        item.failureDomain === order.failureDomain &&
        item.isReclaimable === order.isReclaimable,
    );
    assert.ok(order.count >= (before?.count ?? 0) * (7 / 8) - 1);
  }
});

test('a wave with twice the mean gets more servers within the start time, and loses them after the peak has passed', () => {
  const getLoad = createTraffic(nowMs =>
    nowMs >= 60_000 && nowMs < 75_000 ? 16 : 8,
  );
  const run = runPlan({durationMs: 120_000, getLoad});
  assert.ok(countReady(run, 66_000) >= 16 / 0.4, `${countReady(run, 66_000)}`);
  assert.ok(countReady(run, 94_000) >= 16 / 0.4 + 2 / 0.6);
  assert.ok(countReady(run, 120_000) <= 26);
});

for (const isStated of [true, false]) {
  test(`servers that a failure domain reclaims, ${isStated ? 'as their entries state' : 'without notice of the time'}, are replaced at once, elsewhere, and the load is covered all the time`, () => {
    const reclaimAtMs = 60_000;
    const run = runPlan({
      durationMs: 90_000,
      getLoad: createTraffic(() => 9),
      onStep: ({platform}, nowMs) => {
        if (nowMs === reclaimAtMs) platform.reclaim('a', nowMs, isStated);
      },
      canGive: (order, nowMs) =>
        nowMs < reclaimAtMs ||
        !order.isReclaimable ||
        order.failureDomain !== 'a' ||
        order.count === 0,
    });
    assert.ok(Math.min(...run.readyCounts) * 0.8 >= 9 + 2);
    const first = run.orders.filter(({atMs}) => atMs === reclaimAtMs);
    const added = first.filter(order => order.count > 0);
    assert.ok(added.length > 0);
    assert.ok(
      !isStated ||
        added.every(
          order => order.failureDomain !== 'a' || !order.isReclaimable,
        ),
    );
    assert.ok(countReady(run, reclaimAtMs + 5_000) >= 9 / 0.4 + 2 / 0.6);
  });
}

test('an order that finds no servers is not sent again for 10 s, and other failure domains get it', () => {
  const isScarce = ({isReclaimable, failureDomain}: ServerOrder) =>
    isReclaimable && failureDomain === 'b';
  const run = runPlan({
    durationMs: 30_000,
    getLoad: () => undefined,
    canGive: order => !isScarce(order) || order.count === 0,
  });
  const refused = run.orders.filter(isScarce).map(({atMs}) => atMs);
  assert.ok(refused.length >= 2 && refused.length <= 4, refused.join(' '));
  refused
    .slice(1)
    .forEach((atMs, index) => assert.ok(atMs - refused[index] >= 10_000));
  assert.ok(run.platform.count(30_000) >= 42);
  const others = run.platform.count(30_000, true);
  assert.ok(others >= 2 * 14, `${others}`);
});

test('a late order that is carried out after newer ones is corrected', () => {
  const late = {
    service: 'llm',
    failureDomain: 'a',
    isReclaimable: true,
  };
  for (const count of [0, 27]) {
    const run = runPlan({
      durationMs: 40_000,
      getLoad: () => undefined,
      onStep: ({platform}, nowMs) => {
        if (nowMs === 20_000) platform.apply({...late, count}, nowMs);
      },
    });
    assert.equal(run.platform.count(40_000, true, 'a'), 14);
    const repeats = run.orders.filter(({atMs}) => atMs >= 20_000);
    assert.ok(repeats.length >= 1 && repeats.length <= 3);
  }
});

test('the numbers do not follow small changes of the load', () => {
  const getLoad = createTraffic(
    nowMs => 8 + 0.8 * Math.sin(nowMs / 1_700) + 0.8 * Math.sin(nowMs / 7_300),
  );
  const run = runPlan({durationMs: 600_000, getLoad});
  const later = run.orders.filter(({atMs}) => atMs > 120_000);
  assert.ok(later.length <= 8, `${later.length} orders in 8 minutes`);
});

const kind = fc.record({
  ready: fc.nat(28),
  desired: fc.nat(14),
  available: fc.constantFrom(0, 5, Number.POSITIVE_INFINITY),
  isOverdue: fc.boolean(),
});

test('no plan exceeds the largest or falls below the least number of servers of a failure domain', () => {
  fc.assert(
    fc.property(
      fc.tuple(
        ...DOMAINS.map(failureDomain =>
          fc.record({
            failureDomain: fc.constant(failureDomain),
            wanted: fc.nat(60),
            ordinary: kind,
            reclaimable: kind,
          }),
        ),
      ),
      fc.nat(60),
      fc.nat(28),
      fc.boolean(),
      (domains, minAfterLoss, minServers, canRelease) => {
        const limits = {...LIMITS, minServers};
        const orders = planServers({
          service: 'llm',
          limits,
          domains,
          minAfterLoss,
          canRelease,
        });
        for (const {failureDomain, ordinary, reclaimable} of domains) {
          const getCount = (isReclaimable: boolean, desired: number) =>
            orders.find(
              order =>
                order.failureDomain === failureDomain &&
                order.isReclaimable === isReclaimable,
            )?.count ?? desired;
          const total =
            getCount(false, ordinary.desired) +
            getCount(true, reclaimable.desired);
          assert.ok(total <= limits.maxServers);
          const canFill = ordinary.available === Number.POSITIVE_INFINITY;
          if (canFill) assert.ok(total >= minServers);
        }
      },
    ),
    {seed: 4, numRuns: 500},
  );
});

test('wanted numbers stay within the limits, whatever the need and the shares', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(80), {minLength: 3, maxLength: 3}),
      fc.nat(300),
      fc.option(fc.nat(300), {nil: undefined}),
      fc.array(fc.nat(9), {minLength: 3, maxLength: 3}),
      (counts, forecast, peak, shares) => {
        const wanted = planWanted({
          limits: LIMITS,
          domains: DOMAINS.map((failureDomain, index) => ({
            failureDomain,
            wanted: counts[index],
            canDecrease: true,
          })),
          need: {
            forecast,
            bare: forecast,
            ...(peak === undefined ? {} : {peak}),
            domainShares: Object.fromEntries(
              DOMAINS.map((domain, index) => [domain, shares[index]]),
            ),
          },
          minPerDomain: 4,
          minTotal: 0,
        });
        for (const count of wanted.values()) {
          assert.ok(count >= 4 && count <= LIMITS.maxServers);
        }
      },
    ),
    {seed: 4, numRuns: 500},
  );
});

test('the price per second is never higher after the exchange than with the ordinary servers of the start', () => {
  fc.assert(
    fc.property(
      fc.nat(60),
      fc.double({min: 0, max: 1.5, noNaN: true}),
      (prefillTenths, reclaimablePrice) => {
        const limits = {...LIMITS, reclaimablePrice};
        const {limits: checked} = checkScalingLimits(limits);
        const run = runPlan({
          durationMs: 40_000,
          limits: checked ?? limits,
          getLoad: createTraffic(() => prefillTenths / 10),
        });
        const before = 14 * (1 + 0.8 + 1.25);
        const after = run.platform.computePrice(
          checked ?? limits,
          run.orders.length === 0 ? 0 : 40_000,
        );
        assert.ok(after <= before + 1e-9, `${after}`);
      },
    ),
    {seed: 4, numRuns: 20},
  );
});

test('invalid limits are reported, and what is left of them orders less, not more', () => {
  const check = (fields: object) => checkScalingLimits({...LIMITS, ...fields});
  assert.deepEqual(check({}).faults, []);
  assert.equal(check({minServers: 30}).limits?.minServers, 28);
  assert.equal(check({minServers: -3}).limits?.minServers, 0);
  assert.equal(check({maxServers: -1}).limits, undefined);
  assert.equal(check({maxServers: Number.NaN}).limits, undefined);
  assert.equal(check({startupMs: -1}).limits?.startupMs, 0);
  assert.equal(
    check({reclaimablePrice: -0.5}).limits?.reclaimablePrice,
    undefined,
  );
  assert.equal(check({domainPrices: {}}).faults.length, 1);
  assert.deepEqual(check({domainPrices: {a: -1, b: 2}}).limits?.domainPrices, {
    b: 2,
  });
});
