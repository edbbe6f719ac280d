/** The table of prompt parts that are kept away from engines, and its records in the store. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createPartQuarantine,
  type QuarantineEntry,
} from '../../src/gateway/part_quarantine';
import {
  createQuarantineStore,
  WriteResult,
} from '../../src/gateway/quarantine_store';
import {createVirtualClock} from '../../src/runtime';
import {createQuarantineFake} from './support';

const FIRST_TRIAL_MS = 10_000;

function createEntry(changes: Partial<QuarantineEntry> = {}): QuarantineEntry {
  return {
    partId: 'bad',
    version: 5,
    isActive: true,
    trialCount: 0,
    nextTrialInMs: FIRST_TRIAL_MS,
    isStored: false,
    ...changes,
  };
}

test('the entry with the higher version holds, in whatever order they arrive', () => {
  const clock = createVirtualClock();
  const added = createEntry({version: 5});
  const released = createEntry({version: 6, isActive: false});
  for (const entries of [
    [added, released],
    [added, released, added],
  ]) {
    const quarantine = createPartQuarantine(clock);
    for (const entry of entries) quarantine.merge(entry);
    assert.equal(quarantine.isActive('bad'), false);
  }
});

test('an entry of a node that heard of the crash yields to that of the node that reported it', () => {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const quarantine = createPartQuarantine(clock);
  const heard = quarantine.add('bad', false);
  const reported = createPartQuarantine(clock).add('bad', true);
  assert.ok(heard !== undefined && reported !== undefined);
  assert.equal(quarantine.merge(reported), true);
});

test('the times between trials grow, and a part that is added again starts anew', async () => {
  const clock = createVirtualClock();
  const quarantine = createPartQuarantine(clock);
  quarantine.add('bad', true);
  assert.equal(quarantine.tryGet('bad')?.nextTrialInMs, FIRST_TRIAL_MS);
  await clock.advance(FIRST_TRIAL_MS);
  assert.equal(quarantine.tryGet('bad')?.nextTrialInMs, 0);
  const trial = quarantine.tryPlanTrial('bad');
  assert.ok(trial !== undefined);
  quarantine.merge(trial);
  assert.ok((quarantine.tryGet('bad')?.nextTrialInMs ?? 0) > FIRST_TRIAL_MS);
  quarantine.release('bad');
  assert.equal(quarantine.isActive('bad'), false);
  quarantine.add('bad', true);
  assert.equal(quarantine.tryGet('bad')?.nextTrialInMs, FIRST_TRIAL_MS);
});

test('the end of a quarantine is listed for a while, and is no news to a node that does not know the part', async () => {
  const clock = createVirtualClock();
  const quarantine = createPartQuarantine(clock);
  const released = createEntry({version: 6, isActive: false, isStored: true});
  assert.equal(quarantine.merge(released), false);
  assert.deepEqual(quarantine.list(), []);
  quarantine.merge(createEntry());
  quarantine.merge(released);
  assert.equal(quarantine.list().length, 1);
  await clock.advance(61_000);
  assert.equal(quarantine.list().length, 0);
});

for (const versions of [
  [6, 6],
  [6, 7],
  [7, 6],
]) {
  test(`of two nodes that ask for the same trial with the versions ${versions.join()}, one gets it`, async () => {
    const {store} = createQuarantineFake();
    const nodes = [1, 2].map(() =>
      createQuarantineStore({store, onLoaded: () => undefined}),
    );
    const entry = createEntry();
    assert.equal(await nodes[0].write(entry), WriteResult.Written);
    await nodes[1].load();
    const results = await Promise.all(
      nodes.map((node, index) =>
        node.write(createEntry({version: versions[index], trialCount: 1}), 5),
      ),
    );
    assert.deepEqual(results.sort(), [
      WriteResult.Superseded,
      WriteResult.Written,
    ]);
  });
}

test('changes of other nodes to other parts are no obstacle', async () => {
  const {store, fake} = createQuarantineFake();
  const nodes = [1, 2].map(() =>
    createQuarantineStore({store, onLoaded: () => undefined}),
  );
  await Promise.all(nodes.map(node => node.load()));
  await nodes[0].write(createEntry({partId: 'other'}));
  assert.equal(await nodes[1].write(createEntry()), WriteResult.Written);
  assert.equal(fake.records.size, 2);
  await nodes[0].write(createEntry({version: 6, isActive: false}));
  assert.equal(fake.records.has('bad'), false);
});

test('a store that does not answer leaves the entry unwritten', async () => {
  const {store, fake} = createQuarantineFake();
  fake.isDown = true;
  const node = createQuarantineStore({store, onLoaded: () => undefined});
  assert.equal(await node.write(createEntry()), WriteResult.Failed);
  fake.isDown = false;
  assert.equal(await node.write(createEntry()), WriteResult.Written);
});
