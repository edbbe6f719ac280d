import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {createAuthority} from '../../src/duties';
import {planStages} from '../../src/gateway/stage_plan';
import {EngineStage, type FleetStore} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import {createEntry, ENGINE_LIMITS} from './support';

const LEASE_MS = 3_000;

function createEngines(
  prefill: number,
  decode: number,
  maxRunning = ENGINE_LIMITS.maxRunning,
) {
  const stages = [
    ...Array.from({length: prefill}, () => EngineStage.Prefill),
    ...Array.from({length: decode}, () => EngineStage.Decode),
  ];
  return stages.map((stage, index) =>
    createEntry({
      id: `e${index}`,
      stage,
      maxRunning,
      failureDomain: `domain-${index % 3}`,
    }),
  );
}

test('surplus decode engines are changed to prefill', () => {
  const plan = planStages(createEngines(5, 8));
  assert.equal(plan.wantedDecode, 3);
  assert.equal(plan.changes.length, 5);
  assert.ok(plan.changes.every(item => item.stage === EngineStage.Prefill));
});

test('the remaining decode engines are spread over the failure domains', () => {
  const engines = createEngines(4, 9);
  const changed = new Set(
    planStages(engines).changes.map(item => item.server.id),
  );
  const left = engines.filter(
    item => item.stage === EngineStage.Decode && !changed.has(item.id),
  );
  assert.equal(new Set(left.map(item => item.failureDomain)).size, 3);
});

test('a few missing decode engines are tolerated while requests are served, a single remaining one is not', () => {
  const options = {maxMissingFraction: 0.4};
  assert.equal(planStages(createEngines(10, 2), options).changes.length, 0);
  assert.equal(planStages(createEngines(12, 1), options).changes.length, 2);
  assert.equal(planStages(createEngines(9, 4), options).changes.length, 1);
});

test('more engines decode when each has few slots, but most still prefill', () => {
  assert.equal(planStages(createEngines(5, 3, 12)).changes.length, 0);
  assert.equal(planStages(createEngines(6, 2, 12)).wantedDecode, 3);
  assert.equal(planStages(createEngines(6, 2, 4)).wantedDecode, 4);
  // After the loss of a prefill engine no decode engine is taken away from its streams.
  assert.equal(planStages(createEngines(4, 3, 12)).changes.length, 0);
});

test('the split follows the load when the load is known', () => {
  const load = {prefillEngines: 4, decodeEngines: 4};
  const plan = planStages(createEngines(11, 2), {load});
  assert.equal(plan.split?.cause, 'the load has moved');
  assert.equal(plan.wantedDecode, 4);
  assert.ok(plan.changes.every(item => item.stage === EngineStage.Decode));
  const calm = planStages(createEngines(10, 3), {
    load: {prefillEngines: 1, decodeEngines: 0.5},
  });
  assert.equal(calm.changes.length, 0);
});

/** 66 requests per second, of which 40 take a prefill engine first. */
const LIMITED_LOAD = {
  prefillEngines: 6,
  decodeEngines: 1,
  requests: {prefillPerS: 40, decodePerS: 66},
};

test('more engines decode while all engines limit their requests, and the default split returns when the limits end', () => {
  let engines = createEngines(10, 3);
  const decodeCounts: number[] = [];
  for (let round = 0; round < 6; round++) {
    const plan = planStages(engines, {
      load: LIMITED_LOAD,
      tryGetLimitPerS: () => 4.3,
    });
    const changes = new Map(plan.changes.map(item => [item.server.id, item]));
    engines = engines.map(item => ({
      ...item,
      stage: changes.get(item.id)?.stage ?? item.stage,
    }));
    decodeCounts.push(plan.wantedDecode);
  }
  assert.deepEqual(decodeCounts, [5, 7, 8, 8, 8, 8]);
  const after = planStages(engines, {load: LIMITED_LOAD});
  assert.equal(after.wantedDecode, 3);
  assert.equal(after.changes.length, 5);
});

test('when only the decode engines limit their requests, others take their place', () => {
  const engines = createEngines(10, 3);
  const limitedIds = new Set(['e10', 'e11', 'e12']);
  const tryGetLimitPerS = ({id}: {readonly id: string}) =>
    limitedIds.has(id) ? 4.3 : undefined;
  const options = {load: LIMITED_LOAD, tryGetLimitPerS};
  const plan = planStages(engines, options);
  assert.equal(plan.limitedCount, 3);
  assert.equal(plan.changes.length, 2);
  for (const {server, stage} of plan.changes) {
    assert.equal(stage, EngineStage.Decode);
    assert.ok(!limitedIds.has(server.id));
  }
});

test('limits that leave room for all requests change nothing', () => {
  const engines = createEngines(10, 3);
  const options = {load: LIMITED_LOAD, tryGetLimitPerS: () => 60};
  assert.deepEqual(planStages(engines, options).changes, []);
});

test('limits change no stages while nodes of an earlier version report no requests', () => {
  const load = {
    ...LIMITED_LOAD,
    requests: {prefillPerS: Number.NaN, decodePerS: Number.NaN},
  };
  const options = {load, tryGetLimitPerS: () => 4.3};
  assert.deepEqual(planStages(createEngines(10, 3), options).changes, []);
});

test('engines keep their stages unless a stage lacks engines or is busy', () => {
  const plan = (prefill: number, decode: number, options = {}) =>
    planStages(createEngines(prefill, decode), {keepsStages: true, ...options});
  const load = {prefillEngines: 30, decodeEngines: 1};
  // Idle engines: at 24 and at 905 engines, the usual quarter would change 3 and 122.
  assert.equal(plan(15, 9).changes.length, 0);
  assert.equal(plan(557, 348, {load}).changes.length, 0);
  // A limit of one half changed a sixth of all engines where two thirds decode.
  assert.equal(plan(300, 600, {load}).changes.length, 0);
  // Each stage needs some engines to begin with.
  assert.equal(plan(24, 0).wantedDecode, 6);
  assert.equal(plan(0, 24).wantedDecode, 18);
  // A busy stage gets more, an eighth of the engines at a time.
  const busy = plan(24, 16, {load: {...load, prefillEngines: 23}});
  assert.equal(busy.changes.length, 5);
  assert.ok(busy.changes.every(item => item.stage === EngineStage.Prefill));
  const early = {load: {...load, prefillEngines: 17}};
  assert.equal(plan(24, 16, early).changes.length, 0);
  // Engines that have just started change first: their caches are empty.
  const engines = createEngines(24, 16).map((item, index) => ({
    ...item,
    startedAtMs: index < 34 ? 1 : 1_000,
  }));
  const newest = planStages(engines, {
    keepsStages: true,
    load: {...load, prefillEngines: 23},
  });
  assert.equal(
    newest.changes.filter(({server}) => server.startedAtMs === 1_000).length,
    5,
  );
  const scaled = plan(24, 16, {...early, busyUtilization: 0.65});
  assert.ok(scaled.changes.length > 0);
});

test('fast engines change to prefill and slow ones to decode', () => {
  const tryGetTimeFactor = ({id}: {id: string}) =>
    ['e3', 'e12'].includes(id) ? 1.4 : ['e0', 'e5'].includes(id) ? 0.6 : 1;
  const more = planStages(createEngines(5, 8), {tryGetTimeFactor});
  const kept = planStages(createEngines(12, 1), {tryGetTimeFactor});
  const listIds = ({changes}: typeof more) =>
    changes.map(item => item.server.id);
  assert.ok(listIds(more).includes('e5') && !listIds(more).includes('e12'));
  assert.ok(listIds(kept).includes('e3') && !listIds(kept).includes('e0'));
});

test('an exchange needs a difference of a half, a prefill stage used above half and decode engines that stay in each domain', () => {
  const load = {prefillEngines: 6, decodeEngines: 1};
  const plan = (fastFactor: number | undefined, options = {}) =>
    planStages(createEngines(10, 3), {
      load,
      canExchange: true,
      tryGetTimeFactor: ({stage}) =>
        stage === EngineStage.Decode ? fastFactor : 1,
      ...options,
    }).changes.map(({server, stage}) => `${server.failureDomain} ${stage}`);
  const [first, second] = plan(0.6);
  assert.match(first, /prefill$/);
  assert.equal(second, first.replace('prefill', 'decode'));
  assert.deepEqual(plan(0.7), []);
  assert.deepEqual(plan(undefined), []);
  assert.deepEqual(plan(0.6, {canExchange: false}), []);
  const idle = {load: {...load, prefillEngines: 4}};
  assert.deepEqual(plan(0.6, idle), []);
  // Slow prefill engines are in another domain than the only decode engine of its own.
  const apart = ({id, stage}: {id: string; stage?: EngineStage}) =>
    stage === EngineStage.Decode
      ? id === 'e10'
        ? 0.6
        : undefined
      : id === 'e0'
        ? 1
        : undefined;
  assert.deepEqual(plan(0.6, {tryGetTimeFactor: apart}), []);
});

test('too few engines cause no changes', () => {
  assert.equal(planStages([]).changes.length, 0);
  assert.equal(planStages(createEngines(1, 0)).changes.length, 0);
});

/** Creates a store with a log of grants. */
function createGrantLog() {
  const holders: string[] = [];
  let isAnswerLost = false;
  const store = {
    getEra: () => 0,
    readAuthority: async () =>
      Ok({
        endOffset: holders.length,
        ...(holders.length === 0 ? {} : {holder: holders.at(-1)}),
      }),
    claimAuthority: async (holder: string, expectedEndOffset: number) => {
      if (expectedEndOffset !== holders.length) {
        return Err({
          kind: 'conflict' as const,
          mayHaveTakenEffect: false,
          message: 'another grant was appended',
        });
      }
      holders.push(holder);
      if (!isAnswerLost) return Ok(holders.length);
      return Err({
        kind: 'unavailable' as const,
        mayHaveTakenEffect: true,
        message: 'no answer',
      });
    },
  } as unknown as FleetStore;
  return {
    store,
    loseAnswers: () => {
      isAnswerLost = true;
    },
  };
}

test('only one of two nodes is granted authority, and the other one waits longer than the lease', async () => {
  const clock = createVirtualClock();
  const {store} = createGrantLog();
  const options = {store, clock, leaseMs: LEASE_MS};
  const first = createAuthority({...options, nodeName: 'n1'});
  const second = createAuthority({...options, nodeName: 'n2'});
  const grant = (await first.tryAcquire()).unwrap();
  assert.equal((await second.tryAcquire()).err, true);
  await clock.advance(LEASE_MS);
  assert.equal(grant.isValid(), false);
  assert.equal((await second.tryAcquire()).err, true);
  await clock.advance(2_300);
  const later = (await second.tryAcquire()).unwrap();
  assert.ok(later.fencingNumber > grant.fencingNumber);
});

test('a holder that acquires authority again immediately gets a higher fencing number', async () => {
  const clock = createVirtualClock();
  const {store} = createGrantLog();
  const authority = createAuthority({
    store,
    clock,
    leaseMs: LEASE_MS,
    nodeName: 'n1',
  });
  const first = (await authority.tryAcquire()).unwrap();
  const second = (await authority.tryAcquire()).unwrap();
  assert.ok(second.fencingNumber > first.fencingNumber);
});

test('a grant whose response was lost gives no authority, but makes other nodes wait', async () => {
  const clock = createVirtualClock();
  const log = createGrantLog();
  log.loseAnswers();
  const options = {store: log.store, clock, leaseMs: LEASE_MS};
  const first = createAuthority({...options, nodeName: 'n1'});
  const second = createAuthority({...options, nodeName: 'n2'});
  assert.equal((await first.tryAcquire()).err, true);
  const denial = await second.tryAcquire();
  assert.equal(denial.err && denial.val.reason, 'held');
});
