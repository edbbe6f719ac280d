/** At most one process holds a shard's lease, whatever is paused, cut off, lost, fast or slow. */
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

test('the first candidate takes the lease and keeps it', async () => {
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

test('a holder that releases its lease is followed at once; one that dies, after the wait', async () => {
  const cluster = createControlCluster({});
  startThree(cluster);
  await cluster.advance(2_000);
  await Promise.all([
    cluster.processes[0].loop.drain(),
    cluster.advance(2_000),
  ]);
  assert.deepEqual(cluster.listHolders(), ['p1']);
  cluster.processes[1].kill();
  // The first candidate has drained, so the third one waits two staggers longer.
  const waitMs = getChallengeWaitMs(LEASE_DURATION_MS, 2);
  await cluster.advance(LEASE_DURATION_MS - 100, () =>
    assertOneHolder(cluster),
  );
  assert.deepEqual(cluster.listHolders(), []);
  await cluster.advance(waitMs - LEASE_DURATION_MS + 1_500);
  assert.deepEqual(cluster.listHolders(), ['p2']);
  await cluster.stop();
});

test('a holder cut off from the log, with a slow clock, ends before a challenger with a fast one', async () => {
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

test('a holder paused until its renewal is long confirmed counts from when it sent it', async () => {
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
  // The old renewal is read back now; the next one does not get out.
  await cluster.clock.advance(2);
  holder.isReachable = false;
  await cluster.advance(20_000, () => assertOneHolder(cluster));
  assert.deepEqual(cluster.listHolders(), ['p1']);
  await cluster.stop();
});

test('a claim whose answer is lost, or that lands late, still makes one holder', async () => {
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

test('of two challengers at once the log grants one', async () => {
  const cluster = createControlCluster({});
  cluster.startProcess({name: 'p0', rank: 0});
  cluster.startProcess({name: 'q0', rank: 0});
  cluster.startProcess({name: 'r0', rank: 0});
  await cluster.advance(5_000, () => assertOneHolder(cluster));
  assert.equal(cluster.listHolders().length, 1);
  const counts = cluster.processes.map(process => process.getAppendCount());
  assert.ok(counts.filter(count => count > 0).length >= 2, 'they did race');
  await cluster.stop();
});

test('a challenger that has missed renewals is refused', async () => {
  const cluster = createControlCluster({});
  startThree(cluster);
  await cluster.advance(3_000);
  // It wakes with an old view, and its clock says that the lease has lapsed.
  cluster.processes[1].setPaused(true);
  await cluster.advance(30_000);
  cluster.processes[1].setPaused(false);
  await cluster.advance(10_000, () =>
    assert.deepEqual(cluster.listHolders(), ['p0']),
  );
  await cluster.stop();
});

test('control freezes while the log is out, and nobody holds for longer than the lease', async () => {
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

test('over random schedules there is never a second holder, and one comes back', async () => {
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
        assert.equal(cluster.listHolders().length, 1, 'one holds at the end');
        await cluster.stop();
      },
    ),
    {seed: SEED, numRuns: 40},
  );
});
