/**
 * Roles are planned under the fleet's lease and ordered under a shard's lease, also when a lease
 * holder is killed.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Ok} from 'ts-results';
import {
  controlStream,
  createCommandSender,
  createControlLoop,
  createLeaseManager,
  FLEET_SHARD,
  type LeaseManager,
} from '../../src/authority';
import type {EngineClient} from '../../src/backends';
import {createEventRing} from '../../src/diagnostics';
import {createRoleTasks, type RoleTasks} from '../../src/node/role_tasks';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {createStreamFollower, createStreamWriter} from '../../src/state';
import {
  createEngineModel,
  createLocalLog,
  createLogModel,
  type EngineModel,
  type LogModel,
} from '../../src/standins';

const ENGINES = 8;
const SHARD = 'domain-1';
const RETENTION_MS = 24 * 3_600_000;
/**
 * Work of one request. At ten requests per second these are more prompt tokens than mixed engines
 * can prefill while decoding.
 */
const LONG_PROMPTS = {promptTokens: 24_000, maxTokens: 8};
const SHORT_PROMPTS = {promptTokens: 20, maxTokens: 900};

interface Process {
  readonly fleet: LeaseManager;
  readonly shard: LeaseManager;
  readonly roles: RoleTasks;
  kill(): void;
}

function createClient(engine: EngineModel): EngineClient {
  return {
    start: engine.start,
    resume: engine.resume,
    getReport: () => Promise.resolve(Ok(engine.getReport())),
    sendCommand: command => Promise.resolve(engine.sendCommand(command)),
    listCacheEvents: after =>
      Promise.resolve(Ok(engine.listCacheEvents(after))),
    close: () => undefined,
  };
}

function startProcess(options: {
  readonly clock: VirtualClock;
  readonly model: LogModel;
  readonly engines: readonly EngineModel[];
  readonly name: string;
  readonly rank: number;
}): Process {
  const {clock, engines, name, rank} = options;
  const log = createLocalLog({model: options.model, clock});
  const follower = createStreamFollower({
    definition: controlStream,
    log,
    clock,
  });
  const writer = createStreamWriter({follower, log, clock, writer: name});
  const listReports = () => engines.map(engine => engine.getReport());
  const createLease = (shard: string): LeaseManager =>
    createLeaseManager({shard, clock, follower, writer, getRank: () => rank});
  const fleet = createLease(FLEET_SHARD);
  const shard = createLease(SHARD);
  const roles = createRoleTasks({
    clock,
    events: createEventRing({clock, node: name}),
    control: {follower, writer} as Parameters<
      typeof createRoleTasks
    >[0]['control'],
    weights: {goodputWeight: 1, roleChangeWeight: 0.25, safeCapacity: 0.75},
    intervalMs: 2_000,
    roleChangeMs: 4_000,
    retentionMs: RETENTION_MS,
    tryGetAuthority: fleet.tryGetAuthority,
    listReports,
    listPeerDemands: () => [],
  });
  const loop = createControlLoop({
    clock,
    lease: shard,
    sender: createCommandSender({
      clock,
      lease: shard,
      follower,
      writer,
      checksFencing: () => true,
      tryCreateClient: id => {
        const engine = engines.find(item => item.id === id);
        assert.ok(engine !== undefined);
        return createClient(engine);
      },
    }),
    follower,
    writer,
    policy: {decide: (state, reports) => roles.listOrders(state, reports)},
    listReports,
    retentionMs: RETENTION_MS,
  });
  follower.start();
  fleet.start();
  loop.start();
  roles.start();
  return {
    fleet,
    shard,
    roles,
    kill: () => {
      roles.stop();
      fleet.stop();
      loop.stop();
      writer.stop();
      follower.stop();
    },
  };
}

function createHarness() {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const model = createLogModel({clock});
  const engines = Array.from({length: ENGINES}, (_, index) =>
    createEngineModel({id: `engine-${index}`, address: '', clock}),
  );
  const shared = {clock, model, engines};
  const processes = ['a', 'b', 'c'].map((name, rank) =>
    startProcess({...shared, name, rank}),
  );
  let work = {promptTokens: 400, maxTokens: 40};
  let maxUnavailable = 0;
  clock.schedule(100, admitWork);
  return {
    ...shared,
    processes,
    setWork: (next: typeof work) => {
      work = next;
    },
    getMaxUnavailable: () => maxUnavailable,
    countRoles: () => {
      const counts: Record<string, number> = {};
      for (const {role} of engines.map(engine => engine.getReport())) {
        counts[role] = (counts[role] ?? 0) + 1;
      }
      return counts;
    },
  };

  /** Each process admits ten requests per second. */
  function admitWork(): void {
    clock.schedule(100, admitWork);
    for (const process of processes) process.roles.meter.recordAdmitted(work);
    const unavailable = engines.filter(
      engine => engine.getReport().state !== 'ready',
    );
    maxUnavailable = Math.max(maxUnavailable, unavailable.length);
  }
}

test('a steady load changes no role', async () => {
  const harness = createHarness();
  await harness.clock.advance(120_000);
  assert.deepEqual(harness.countRoles(), {mixed: ENGINES});
  assert.equal(
    harness.processes[0].fleet.tryGetAuthority()?.shard,
    FLEET_SHARD,
  );
});

test('a load swing changes roles, of at most a quarter of the engines at once', async () => {
  const harness = createHarness();
  await harness.clock.advance(30_000);
  harness.setWork(LONG_PROMPTS);
  await harness.clock.advance(120_000);
  const changed = ENGINES - (harness.countRoles()['mixed'] ?? 0);
  assert.ok(changed > 0, JSON.stringify(harness.countRoles()));
  assert.ok(harness.getMaxUnavailable() > 0);
  assert.ok(harness.getMaxUnavailable() <= ENGINES / 4);
});

test('a role change begun by a lease holder that is killed is finished by the next holder', async () => {
  const harness = createHarness();
  await harness.clock.advance(30_000);
  harness.setWork(LONG_PROMPTS);
  for (let step = 0; harness.getMaxUnavailable() === 0 && step < 600; step++) {
    await harness.clock.advance(100);
  }
  assert.ok(harness.getMaxUnavailable() > 0, 'no engine began to change');
  harness.processes[0].kill();
  harness.setWork(SHORT_PROMPTS);
  await harness.clock.advance(90_000);
  assert.equal(harness.processes[0].shard.tryGetAuthority(), undefined);
  const states = harness.engines.map(engine => engine.getReport().state);
  assert.deepEqual(new Set(states), new Set(['ready']));
  assert.ok(harness.getMaxUnavailable() <= ENGINES / 4);
});

test('an engine that restarts after a crash gets its role again', async () => {
  const harness = createHarness();
  await harness.clock.advance(30_000);
  harness.setWork(LONG_PROMPTS);
  await harness.clock.advance(120_000);
  const before = harness.countRoles();
  const engine = harness.engines.find(
    item => item.getReport().role !== 'mixed',
  );
  assert.ok(engine !== undefined);
  engine.crash(3_000);
  await harness.clock.advance(60_000);
  assert.deepEqual(harness.countRoles(), before);
});
