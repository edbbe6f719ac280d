/** Tests the parts of the authority that duties add: grants that other nodes state, releases and a store that lost grants. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {
  createAuthority,
  createDutyGrant,
  type DutyFailure,
} from '../../src/duties';
import {createVirtualClock} from '../../src/runtime';
import {SILENT_LOGGER, SILENT_STORE} from '../gateway/support';

const LEASE_MS = 3_000;
/** Lease, validity of a grant and guard, in milliseconds. */
const LAPSE_MS = 3_000 + 1_500 + 700;
const ERA_FACTOR = 2 ** 32;
const FAILURE: DutyFailure = {
  kind: 'unavailable',
  mayHaveTakenEffect: true,
  message: 'silent',
};

function createFleet() {
  const clock = createVirtualClock({wallStartMs: 1_000_000});
  const log: Array<{readonly holder: string; readonly era: number}> = [];
  const state = {era: 0, calls: 0};
  const create = (nodeName: string) =>
    createAuthority({
      nodeName,
      clock,
      leaseMs: LEASE_MS,
      store: {
        getEra: () => state.era,
        readAuthority: async () => {
          state.calls++;
          const grant = log.at(-1);
          return Ok({
            endOffset: log.length,
            ...(grant === undefined ? {} : {holder: grant.holder}),
            era: state.era,
            mayLackGrants: (grant?.era ?? 0) < state.era,
          });
        },
        claimAuthority: async (holder, end, era = 0) => {
          state.calls++;
          if (log.length !== end || era !== state.era)
            return Err({...SILENT_STORE, kind: 'conflict'});
          return Ok(era * ERA_FACTOR + log.push({holder, era}));
        },
      },
    });
  return {clock, log, state, create};
}

test('a grant that its holder states is waited for from then on, without a call to the store', async () => {
  const {clock, state, create} = createFleet();
  const grant = (await create('a').tryAcquire()).unwrap();
  const other = create('b');
  other.recordGrant(grant.fencingNumber);
  const calls = state.calls;
  await clock.advance(LAPSE_MS - 1);
  assert.ok((await other.tryAcquire()).err);
  assert.equal(state.calls, calls);
  await clock.advance(2);
  assert.equal((await other.tryAcquire()).unwrap().fencingNumber, 2);
});

test('two duties of a node that acquire at once share a grant and do not make each other fail', async () => {
  const {log, create} = createFleet();
  const authority = create('a');
  const grants = await Promise.all([
    authority.tryAcquire(),
    authority.tryAcquire(),
  ]);
  assert.ok(grants.every(grant => grant.ok));
  assert.equal(log.length, 1);
});

test('a released authority ends its grants and acquires none for the time', async () => {
  const {clock, create} = createFleet();
  const authority = create('a');
  const grant = (await authority.tryAcquire()).unwrap();
  authority.release(10_000);
  assert.ok(!grant.isValid());
  await clock.advance(9_999);
  assert.ok((await authority.tryAcquire()).err);
  await clock.advance(2);
  assert.ok((await authority.tryAcquire()).ok);
});

test('after the store lost grants, its numbers rise and only the holder of a valid grant acts until a lost grant has expired', async () => {
  for (const afterMs of [0, 1_600]) {
    const {clock, log, state, create} = createFleet();
    const [first, second, started] = ['a', 'b', 'c'].map(create);
    (await first.tryAcquire()).unwrap();
    await second.tryAcquire();
    const before = (await first.tryAcquire()).unwrap();
    await clock.advance(afterMs);
    log.length = 0;
    state.era = 1;
    assert.equal((await second.tryAcquire()).ok, false);
    assert.equal((await started.tryAcquire()).ok, false);
    const renewed = await first.tryAcquire();
    assert.equal(renewed.ok, before.isValid());
    assert.equal(renewed.ok, afterMs === 0);
    if (renewed.ok) {
      assert.ok(renewed.val.fencingNumber > before.fencingNumber);
      second.recordGrant(renewed.val.fencingNumber);
    }
    await clock.advance(LAPSE_MS - 1);
    assert.equal((await second.tryAcquire()).ok, false);
    await clock.advance(2);
    const after = (await second.tryAcquire()).unwrap();
    assert.ok(after.fencingNumber > before.fencingNumber);
    assert.ok((await first.tryAcquire()).err);
  }
});

test('a duty whose calls fail is given up, at once when its grant ends without a success', async () => {
  const {clock, state, create} = createFleet();
  const authority = create('a');
  const duty = createDutyGrant({authority, clock, logger: SILENT_LOGGER});
  assert.ok((await duty.tryGet()).ok);
  duty.recordFailure(FAILURE);
  await clock.advance(1_600);
  const calls = state.calls;
  assert.ok((await duty.tryGet()).err);
  assert.equal(state.calls, calls);
  await clock.advance(10_001);
  assert.ok((await duty.tryGet()).ok);
  // A refusal for the number ends the grant, one for too many calls does not.
  const grant = duty.tryGetLatest();
  duty.recordFailure({...FAILURE, kind: 'limited'});
  assert.equal((await duty.tryGet()).unwrap(), grant);
  duty.recordFailure({...FAILURE, kind: 'fenced'});
  assert.notEqual((await duty.tryGet()).unwrap(), grant);
});
