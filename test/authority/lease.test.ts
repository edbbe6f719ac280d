/**
 * Tests that at most one process holds a shard's lease, with paused processes, network partitions,
 * lost answers, log outages, and fast and slow clocks.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  getChallengeWaitMs,
  LEASE_DURATION_MS,
  MAX_CLOCK_DRIFT,
} from '../../src/authority';
import {
  type ControlCluster,
  createControlCluster,
} from '../support/control_cluster';

const SEED = 45;

function startThree(cluster: ControlCluster, rates = [1, 1, 1]): void {
  rates.forEach((rate, rank) =>
    cluster.startProcess({name: `p${rank}`, rank, rate}),
  );
}

function assertOneHolder(cluster: ControlCluster): void {
  const holders = cluster.listHolders();
  assert.ok(
    holders.length <= 1,
    `at ${cluster.clock.getMonotonicMs()} ms: ${holders.join()}`,
  );
}

test('the first candidate claims the lease and keeps it', async () => {
  const cluster = createControlCluster({});
  startThree(cluster);
  await cluster.advance(2_000);
  assert.deepEqual(cluster.listHolders(), ['p0']);
  await cluster.advance(60_000, () =>
    assert.deepEqual(cluster.listHolders(), ['p0']),
  );
  const others = cluster.processes.slice(1);
  assert.deepEqual(
    others.map(process => process.getAppendCount()),
    [0, 0],
  );
  await cluster.stop();
});

test('a released lease is claimed at once, and the lease of a crashed holder after the challenge wait', async () => {
  const cluster = createControlCluster({});
  startThree(cluster);
  await cluster.advance(2_000);
  await Promise.all([
    cluster.processes[0].loop.drain(),
    cluster.advance(2_000),
  ]);
  assert.deepEqual(cluster.listHolders(), ['p1']);
  cluster.processes[1].kill();
  // The first candidate has drained, so the third one claims, after two more staggers.
  const waitMs = getChallengeWaitMs(LEASE_DURATION_MS, 2);
  await cluster.advance(LEASE_DURATION_MS - 100, () =>
    assertOneHolder(cluster),
  );
  assert.deepEqual(cluster.listHolders(), []);
  await cluster.advance(waitMs - LEASE_DURATION_MS + 1_500);
  assert.deepEqual(cluster.listHolders(), ['p2']);
  await cluster.stop();
});

test('a partitioned holder with a slow clock loses the lease before a challenger with a fast clock claims it', async () => {
  const cluster = createControlCluster({});
  const slow = {name: 'p0', rank: 0, rate: 1 - MAX_CLOCK_DRIFT};
  const holder = cluster.startProcess(slow);
  await cluster.advance(3_000);
  const fast = {name: 'p1', rank: 0, rate: 1 + MAX_CLOCK_DRIFT};
  cluster.startProcess(fast);
  await cluster.advance(3_000);
  assert.deepEqual(cluster.listHolders(), ['p0']);
  holder.isReachable = false;
  await cluster.advance(20_000, () => assertOneHolder(cluster));
  assert.deepEqual(cluster.listHolders(), ['p1']);
  holder.isReachable = true;
  await cluster.advance(20_000, () => assertOneHolder(cluster));
  assert.deepEqual(cluster.listHolders(), ['p1']);
  await cluster.stop();
});

test('the lease of a paused holder counts from when its renewal was sent, not from when it is read back', async () => {
  const cluster = createControlCluster({});
  const holder = cluster.startProcess({name: 'p0', rank: 0});
  await cluster.advance(3_000);
  cluster.startProcess({name: 'p1', rank: 0});
  await cluster.advance(3_000);
  const sent = holder.getAppendCount();
  while (holder.getAppendCount() === sent) await cluster.clock.advance(1);
  await cluster.clock.advance(1);
  holder.setPaused(true);
  await cluster.advance(5_500, () => assertOneHolder(cluster));
  holder.setPaused(false);
  // The old renewal is read back now; the next one is not sent.
  await cluster.clock.advance(2);
  holder.isReachable = false;
  await cluster.advance(20_000, () => assertOneHolder(cluster));
  assert.deepEqual(cluster.listHolders(), ['p1']);
  await cluster.stop();
});

test('a claim whose answer is lost, or that is appended late, still results in one holder', async () => {
  for (const fault of [
    {kind: 'lost-answer'},
    {kind: 'late', delayMs: 3_000},
    {kind: 'late', delayMs: 9_000},
  ] as const) {
    const cluster = createControlCluster({});
    startThree(cluster);
    cluster.processes[0].faults.push(fault);
    await cluster.advance(30_000, () => assertOneHolder(cluster));
    assert.equal(cluster.listHolders().length, 1);
    await cluster.stop();
  }
});

test('of several concurrent claims exactly one is granted', async () => {
  const cluster = createControlCluster({});
  cluster.startProcess({name: 'p0', rank: 0});
  cluster.startProcess({name: 'q0', rank: 0});
  cluster.startProcess({name: 'r0', rank: 0});
  await cluster.advance(5_000, () => assertOneHolder(cluster));
  assert.equal(cluster.listHolders().length, 1);
  const counts = cluster.processes.map(process => process.getAppendCount());
  assert.ok(
    counts.filter(count => count > 0).length >= 2,
    'at least two claims',
  );
  await cluster.stop();
});

test('the claim of a challenger that has missed renewals is rejected', async () => {
  const cluster = createControlCluster({});
  startThree(cluster);
  await cluster.advance(3_000);
  // It is resumed with an outdated state, and by its clock the lease has lapsed.
  cluster.processes[1].setPaused(true);
  await cluster.advance(30_000);
  cluster.processes[1].setPaused(false);
  await cluster.advance(10_000, () =>
    assert.deepEqual(cluster.listHolders(), ['p0']),
  );
  await cluster.stop();
});

test('during a log outage the lease lapses and is not granted again until the log is available', async () => {
  const cluster = createControlCluster({});
  startThree(cluster);
  await cluster.advance(3_000);
  cluster.model.setDown(true);
  await cluster.advance(LEASE_DURATION_MS + 200, () =>
    assertOneHolder(cluster),
  );
  await cluster.advance(60_000, () =>
    assert.deepEqual(cluster.listHolders(), []),
  );
  cluster.model.setDown(false);
  await cluster.advance(15_000, () => assertOneHolder(cluster));
  assert.equal(cluster.listHolders().length, 1);
  await cluster.stop();
});

const actionArbitrary = fc.record({
  process: fc.nat({max: 2}),
  kind: fc.constantFrom('pause', 'cut', 'lost', 'late', 'outage', 'kill'),
  waitMs: fc.integer({min: 0, max: 9_000}),
  forMs: fc.integer({min: 100, max: 12_000}),
});

test('with random faults there is never a second holder, and the lease is held again afterwards', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(actionArbitrary, {minLength: 1, maxLength: 6}),
      fc.array(
        fc.double({
          min: 1 - MAX_CLOCK_DRIFT,
          max: 1 + MAX_CLOCK_DRIFT,
          noNaN: true,
        }),
        {minLength: 3, maxLength: 3},
      ),
      async (actions, rates) => {
        const cluster = createControlCluster({});
        startThree(cluster, rates);
        const check = (): void => assertOneHolder(cluster);
        for (const action of actions) {
          await cluster.advance(action.waitMs, check);
          const process = cluster.processes[action.process];
          switch (action.kind) {
            case 'pause':
              process.setPaused(true);
              cluster.clock.schedule(action.forMs, () =>
                process.setPaused(false),
              );
              break;
            case 'cut':
              process.isReachable = false;
              cluster.clock.schedule(action.forMs, () => {
                process.isReachable = true;
              });
              break;
            case 'lost':
              process.faults.push({kind: 'lost-answer'}, {kind: 'lost-answer'});
              break;
            case 'late':
              process.faults.push({kind: 'late', delayMs: action.forMs});
              break;
            case 'outage':
              cluster.model.setDown(true);
              cluster.clock.schedule(action.forMs, () =>
                cluster.model.setDown(false),
              );
              break;
            case 'kill':
              if (action.process === 2) break;
              process.kill();
              break;
          }
        }
        await cluster.advance(40_000, check);
        assert.equal(cluster.listHolders().length, 1, 'one holder at the end');
        await cluster.stop();
      },
    ),
    {seed: SEED, numRuns: 40},
  );
});
