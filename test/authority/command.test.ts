/**
 * Tests of commands under a lease, with engines that check fencing numbers and engines that do not.
 * They guard against conflicting commands of two holders: a holder may crash, or be paused and
 * resumed after its lease has lapsed, at any point between intent, check, write and result.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  createWeightStoreModel,
  type WeightStoreModel,
} from '../../src/standins';
import {
  type ControlCluster,
  createControlCluster,
  type ControlProcess,
} from '../support/control_cluster';

const SEED = 46;
const GUARD_MS = 3_000;

/** Starts two processes; the first one holds the lease and the second one is its successor. */
async function startPair(
  cluster: ControlCluster,
): Promise<[ControlProcess, ControlProcess]> {
  const first = cluster.startProcess({name: 'p0', rank: 0});
  const second = cluster.startProcess({name: 'p1', rank: 1});
  await cluster.advance(2_000);
  assert.deepEqual(cluster.listHolders(), ['p0']);
  return [first, second];
}

/** Advances virtual time until `isDone` returns true; fails after a minute. */
async function waitUntil(
  cluster: ControlCluster,
  isDone: () => boolean,
): Promise<void> {
  const untilMs = cluster.clock.getMonotonicMs() + 60_000;
  while (!isDone()) {
    assert.ok(cluster.clock.getMonotonicMs() < untilMs, 'in time');
    await cluster.clock.advance(10);
  }
}

/**
 * Advances virtual time until the log contains the text, in steps short enough that no process has
 * read it yet.
 */
async function waitUntilLogged(
  cluster: ControlCluster,
  text: string,
): Promise<void> {
  const has = (): boolean => {
    const page = cluster.model.read('control', 0, 1_000);
    if (typeof page === 'string' || !('records' in page)) return false;
    return page.records.some(record => record.body.includes(text));
  };
  for (let step = 0; !has(); step++) {
    assert.ok(step < 10_000, 'logged in time');
    await cluster.clock.advance(0.5);
  }
}

function countIntents(process: ControlProcess): number {
  return process.follower.getState().intents.size;
}

function listTerms(cluster: ControlCluster): number[] {
  return cluster.engines[0].appliedCommands.map(
    effect => effect.command.fencingNumber,
  );
}

test('when a holder crashes between intent and command, the successor carries out the intent', async () => {
  for (const checksFencing of [true, false]) {
    const cluster = createControlCluster({checksFencing, engines: 1});
    const [first, second] = await startPair(cluster);
    first.isHeldBeforeWrite = true;
    first.wantedRole = 'prefill';
    await waitUntil(cluster, () => countIntents(second) === 1);
    first.kill();
    await cluster.advance(20_000);
    assert.equal(cluster.engines[0].getRole(), 'prefill');
    assert.equal(countIntents(second), 0);
    assert.equal(cluster.engines[0].appliedCommands.length, 1);
    assert.match(cluster.engines[0].appliedCommands[0].command.id, /^p1/);
    await cluster.stop();
  }
});

test('when a holder crashes between command and result, the successor settles the intent', async () => {
  for (const checksFencing of [true, false]) {
    const cluster = createControlCluster({checksFencing, engines: 1});
    const [first, second] = await startPair(cluster);
    first.wantedRole = 'prefill';
    await waitUntil(
      cluster,
      () => cluster.engines[0].appliedCommands.length === 1,
    );
    first.kill();
    await cluster.advance(20_000);
    assert.equal(cluster.engines[0].getRole(), 'prefill');
    assert.equal(countIntents(second), 0);
    // An engine that does not check fencing numbers is only probed; the other one gets a command
    // with the successor's number.
    assert.equal(
      cluster.engines[0].appliedCommands.length,
      checksFencing ? 2 : 1,
    );
    await cluster.stop();
  }
});

/**
 * Pauses the first process between check and write, and resumes it after its successor has taken
 * over.
 */
async function resumeBetweenCheckAndWrite(
  cluster: ControlCluster,
): Promise<ControlProcess> {
  const [first, second] = await startPair(cluster);
  first.isHeldBeforeWrite = true;
  first.wantedRole = 'prefill';
  second.wantedRole = 'decode';
  await waitUntil(cluster, () => countIntents(second) === 1);
  first.setPaused(true);
  await cluster.advance(25_000);
  assert.deepEqual(cluster.listHolders(), ['p1']);
  assert.equal(cluster.engines[0].getRole(), 'decode');
  first.isHeldBeforeWrite = false;
  first.setPaused(false);
  return second;
}

test('an engine that checks fencing numbers refuses the command of a holder resumed between check and write', async () => {
  const cluster = createControlCluster({checksFencing: true, engines: 1});
  const second = await resumeBetweenCheckAndWrite(cluster);
  await cluster.advance(10_000);
  assert.equal(cluster.engines[0].getRole(), 'decode');
  assert.equal(countIntents(second), 0);
  const terms = listTerms(cluster);
  assert.deepEqual(
    terms,
    [...terms].sort((left, right) => left - right),
  );
  assert.ok(
    cluster.engines[0].appliedCommands.every(effect =>
      effect.command.id.startsWith('p1'),
    ),
  );
  await cluster.stop();
});

test('an engine without fencing accepts such a late command, and the successor corrects its role after a probe', async () => {
  const cluster = createControlCluster({checksFencing: false, engines: 1});
  const second = await resumeBetweenCheckAndWrite(cluster);
  const [engine] = cluster.engines;
  await waitUntil(cluster, () => engine.getRole() === 'prefill');
  const staleAtMs = cluster.clock.getMonotonicMs();
  await waitUntil(cluster, () => engine.getRole() === 'decode');
  const correctedMs = cluster.clock.getMonotonicMs() - staleAtMs;
  // One control tick to detect the wrong role, and one role change to correct it.
  assert.ok(
    correctedMs <= 1_000 + 1_000 + 200,
    `corrected after ${correctedMs} ms`,
  );
  await cluster.advance(10_000);
  assert.equal(engine.getRole(), 'decode');
  assert.equal(countIntents(second), 0);
  await cluster.stop();
});

test('a holder resumed before the check sends nothing', async () => {
  const cluster = createControlCluster({checksFencing: false, engines: 1});
  const [first, second] = await startPair(cluster);
  first.wantedRole = 'prefill';
  second.wantedRole = 'decode';
  await waitUntilLogged(cluster, '"intent"');
  first.setPaused(true);
  await cluster.advance(25_000);
  assert.equal(cluster.engines[0].getRole(), 'decode');
  first.setPaused(false);
  await cluster.advance(10_000);
  assert.ok(
    cluster.engines[0].appliedCommands.every(effect =>
      effect.command.id.startsWith('p1'),
    ),
  );
  assert.equal(countIntents(second), 0);
  await cluster.stop();
});

test('a successor waits for the guard time before its first command to an engine without fencing', async () => {
  for (const checksFencing of [true, false]) {
    const guardMs = GUARD_MS;
    const cluster = createControlCluster({checksFencing, engines: 1, guardMs});
    const [first, second] = await startPair(cluster);
    second.wantedRole = 'decode';
    first.kill();
    await waitUntil(cluster, () => cluster.listHolders()[0] === 'p1');
    const grantedAtMs = cluster.clock.getMonotonicMs();
    await waitUntil(
      cluster,
      () => cluster.engines[0].appliedCommands.length === 1,
    );
    const waitedMs = cluster.clock.getMonotonicMs() - grantedAtMs;
    if (checksFencing) assert.ok(waitedMs < GUARD_MS, `waited ${waitedMs} ms`);
    else assert.ok(waitedMs >= GUARD_MS - 100, `waited ${waitedMs} ms`);
    await cluster.stop();
  }
});

test('an engine that crashes during a role change is brought to the ordered role', async () => {
  for (const checksFencing of [true, false]) {
    const cluster = createControlCluster({checksFencing, engines: 1});
    const [first] = await startPair(cluster);
    const [engine] = cluster.engines;
    first.wantedRole = 'prefill';
    await waitUntil(cluster, () => engine.appliedCommands.length === 1);
    engine.crash(2_000);
    await cluster.advance(15_000);
    assert.equal(engine.getRole(), 'prefill');
    assert.equal(countIntents(first), 0);
    const {fencingNumber} = engine.getReport();
    assert.equal(fencingNumber, first.lease.tryGetAuthority()?.term);
    await cluster.stop();
  }
});

test('an engine that lost its fencing number in a crash gets it back before a stale command arrives', async () => {
  const cluster = createControlCluster({checksFencing: true, engines: 1});
  const [first, second] = await startPair(cluster);
  const [engine] = cluster.engines;
  first.isHeldBeforeWrite = true;
  first.wantedRole = 'prefill';
  second.wantedRole = 'mixed';
  await waitUntil(cluster, () => countIntents(second) === 1);
  first.setPaused(true);
  await cluster.advance(25_000);
  assert.equal(engine.getRole(), 'mixed');
  engine.crash(500);
  // It restarts with the wanted role, and without its fencing number.
  await cluster.advance(3_000);
  first.isHeldBeforeWrite = false;
  first.setPaused(false);
  await cluster.advance(5_000);
  assert.equal(engine.getRole(), 'mixed');
  assert.ok(
    engine.appliedCommands.every(effect => effect.command.id.startsWith('p1')),
  );
  await cluster.stop();
});

test('the number of retries to an unreachable engine is limited, and the failure is recorded', async () => {
  const cluster = createControlCluster({checksFencing: true, engines: 1});
  const [first] = await startPair(cluster);
  cluster.engines[0].crash(600_000);
  const submitted = first.sender.submit('engine-0', {
    kind: 'set-role',
    role: 'decode',
  });
  const [result] = await Promise.all([submitted, cluster.advance(30_000)]);
  assert.equal(result.kind, 'failed');
  assert.equal(countIntents(first), 0);
  await cluster.stop();
});

test('an intent for an engine that is no longer in the list of servers is settled as undone', async () => {
  const cluster = createControlCluster({checksFencing: true, engines: 1});
  const [first, second] = await startPair(cluster);
  first.isHeldBeforeWrite = true;
  first.wantedRole = 'prefill';
  await waitUntil(cluster, () => countIntents(second) === 1);
  first.kill();
  cluster.engines.length = 0;
  await cluster.advance(60_000);
  assert.deepEqual(cluster.listHolders(), ['p1']);
  assert.equal(countIntents(second), 0);
  await cluster.stop();
});

test('after a drain the successor sends commands without waiting for the guard time', async () => {
  const cluster = createControlCluster({checksFencing: false, engines: 1});
  const [first, second] = await startPair(cluster);
  first.wantedRole = 'prefill';
  second.wantedRole = 'decode';
  await waitUntil(
    cluster,
    () => cluster.engines[0].appliedCommands.length === 1,
  );
  let drainedAtMs = 0;
  void first.loop.drain().then(() => {
    drainedAtMs = cluster.clock.getMonotonicMs();
  });
  await waitUntil(
    cluster,
    () => cluster.engines[0].appliedCommands.length === 2,
  );
  assert.ok(cluster.clock.getMonotonicMs() - drainedAtMs < GUARD_MS);
  await cluster.advance(5_000);
  assert.equal(cluster.engines[0].getRole(), 'decode');
  await cluster.stop();
});

const actionArbitrary = fc.record({
  process: fc.nat({max: 2}),
  kind: fc.constantFrom('pause', 'cut', 'hold', 'crash', 'lost'),
  waitMs: fc.integer({min: 0, max: 6_000}),
  forMs: fc.integer({min: 100, max: 15_000}),
});

test('with random faults all engines reach the wanted role, and engines with fencing accept no stale command', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(actionArbitrary, {minLength: 1, maxLength: 5}),
      fc.boolean(),
      async (actions, checksFencing) => {
        const cluster = createControlCluster({checksFencing, engines: 2});
        const roles = ['prefill', 'decode', 'mixed'] as const;
        roles.forEach((role, rank) => {
          const process = cluster.startProcess({name: `p${rank}`, rank});
          process.wantedRole = role;
        });
        let crashes = 0;
        for (const action of actions) {
          await cluster.advance(action.waitMs);
          const process = cluster.processes[action.process];
          const after = (undo: () => void): void =>
            void cluster.clock.schedule(action.forMs, undo);
          if (action.kind === 'pause') {
            process.setPaused(true);
            after(() => process.setPaused(false));
          }
          if (action.kind === 'cut') {
            process.isReachable = false;
            after(() => {
              process.isReachable = true;
            });
          }
          if (action.kind === 'hold') {
            process.isHeldBeforeWrite = true;
            after(() => {
              process.isHeldBeforeWrite = false;
            });
          }
          if (action.kind === 'crash') {
            crashes++;
            cluster.engines[0].crash(action.forMs);
          }
          if (action.kind === 'lost')
            process.faults.push({kind: 'lost-answer'});
        }
        await cluster.advance(90_000);
        const [holder] = cluster.listHolders();
        const wanted = roles[Number(holder.slice(1))];
        for (const engine of cluster.engines) {
          assert.equal(engine.getRole(), wanted);
          if (crashes > 0 || !checksFencing) continue;
          const terms = engine.appliedCommands.map(
            effect => effect.command.fencingNumber,
          );
          assert.deepEqual(
            terms,
            [...terms].sort((left, right) => left - right),
          );
        }
        assert.equal(countIntents(cluster.processes[0]), 0);
        await cluster.stop();
      },
    ),
    {seed: SEED, numRuns: 40},
  );
});

test('weights are copied before the engine is ordered to load them, and requested at a low rate', async () => {
  const requestTimesMs: number[] = [];
  const cluster = createControlCluster({
    engines: 1,
    weightStore: clock => {
      const store = createWeightStoreModel({clock, copyMs: 9_000});
      return {
        ...store,
        prepare: (engine, weights) => {
          requestTimesMs.push(clock.getMonotonicMs());
          return store.prepare(engine, weights);
        },
      };
    },
  });
  const [first] = await startPair(cluster);
  const [engine] = cluster.engines;
  const order = {kind: 'load-model', model: 'm'} as const;
  for (let second = 0; second < 20; second++) {
    const isLoaded = engine.getReport().models.includes('m');
    if (!isLoaded) void first.sender.submit('engine-0', order);
    await cluster.advance(1_000);
    if (second === 3) {
      const role = {kind: 'set-role', role: 'decode'} as const;
      void first.sender.submit('engine-0', role);
    }
  }
  const [role, load] = engine.appliedCommands;
  assert.equal(role.command.order.kind, 'set-role', 'not delayed by the copy');
  assert.equal(load.command.order.kind, 'load-model');
  assert.ok(load.atMs - requestTimesMs[0] >= 9_000, 'after the copy');
  assert.ok(requestTimesMs.length <= 6, `${requestTimesMs.length} requests`);
  await cluster.stop();
});

test('a weight store that is unreachable, loses answers or loses a copy only delays the load', async () => {
  let store: WeightStoreModel | undefined;
  const cluster = createControlCluster({
    engines: 1,
    weightStore: clock => {
      store = createWeightStoreModel({clock, copyMs: 6_000});
      return store;
    },
  });
  const [first] = await startPair(cluster);
  const [engine] = cluster.engines;
  const order = {kind: 'load-model', model: 'm'} as const;
  store?.setDown(true);
  for (let second = 0; second < 60; second++) {
    if (second === 5) store?.setDown(false);
    if (second === 5) store?.loseReplies(1);
    if (second === 9) store?.removeUnfinished();
    const isLoaded = engine.getReport().models.includes('m');
    if (!isLoaded) void first.sender.submit('engine-0', order);
    await cluster.advance(1_000);
  }
  assert.equal(engine.appliedCommands.length, 1);
  assert.equal(
    store?.getCopyCount(),
    2,
    'one copy, and one more after the loss',
  );
  assert.equal(countIntents(first), 0);
  await cluster.stop();
});
