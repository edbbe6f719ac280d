/**
 * Tests of the fold of the stream `control`: which claims are granted, and which entries are
 * accepted.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type ControlEntry,
  type ControlState,
  controlStream,
} from '../../src/authority';
import {
  createStreamFold,
  encodeEnvelope,
  type StreamFold,
} from '../../src/state';

type ControlFold = StreamFold<ControlState, ControlEntry>;

const SHARD = 'domain-1';

function createAppender(
  folds: readonly ControlFold[],
): (entry: ControlEntry, atMs?: number) => string {
  let offset = 0;
  return (entry, atMs = offset * 1_000) => {
    const body = encodeEnvelope({
      version: 1,
      writer: 'w',
      sequence: offset + 1,
      entries: [entry],
    });
    const record = {offset: offset++, appendedAtMs: atMs, body};
    const outcomes = folds.map(fold => fold.applyRecord(record)[0]?.outcome);
    const [first] = outcomes;
    return first?.kind === 'rejected' ? first.reason : 'accepted';
  };
}

function createClaim(
  holder: string,
  replacesTerm: number,
  seenRenewals: number,
): ControlEntry {
  return {
    kind: 'lease-claim',
    shard: SHARD,
    holder,
    replacesTerm,
    seenRenewals,
  };
}

function createRenewal(
  holder: string,
  term: number,
  renewals: number,
): ControlEntry {
  return {kind: 'lease-renew', shard: SHARD, holder, term, renewals};
}

test('a claim is granted only if it names the current term and its last renewal', () => {
  const fold = createStreamFold(controlStream);
  const append = createAppender([fold]);
  assert.equal(append(createClaim('a', 0, 0)), 'accepted');
  assert.equal(append(createClaim('b', 0, 0)), 'term 1 is held by a');
  assert.equal(append(createRenewal('a', 1, 1)), 'accepted');
  assert.equal(append(createClaim('b', 1, 0)), 'term 1 was renewed meanwhile');
  assert.equal(append(createClaim('b', 1, 1)), 'accepted');
  assert.equal(append(createRenewal('a', 1, 2)), 'term 5 is held by b');
  assert.equal(fold.getState().leases.get(SHARD)?.term, 5);
  const released = {kind: 'lease-release', shard: SHARD} as const;
  assert.equal(append({...released, term: 5, holder: 'b'}), 'accepted');
  assert.equal(append(createRenewal('b', 5, 1)), 'term 5 is held by b');
  assert.equal(append(createClaim('a', 5, 0)), 'accepted');
});

test('intents and progress of a former holder are rejected', () => {
  const fold = createStreamFold(controlStream);
  const append = createAppender([fold]);
  append(createClaim('a', 0, 0));
  append(createClaim('b', 1, 0));
  const authority = {shard: SHARD, term: 1, holder: 'a'};
  append({
    kind: 'intent',
    ...authority,
    command: 'a/1',
    engine: 'e',
    order: {kind: 'set-role', role: 'decode'},
  });
  append({
    kind: 'move-progress',
    ...authority,
    progress: {
      clientAccount: 'x',
      templateVersion: 1,
      stage: 's',
      enteredAtMs: 0,
      isComplete: false,
      cause: '',
    },
  });
  assert.equal(fold.getState().intents.size, 0);
  assert.equal(fold.getState().moves.size, 0);
});

test('a lease without a renewal for ten minutes is dropped, also by a fold that starts after the grant', () => {
  const whole = createStreamFold(controlStream);
  const late = createStreamFold(controlStream);
  late.advanceTo(2);
  const append = createAppender([whole, late]);
  append(createClaim('a', 0, 0), 0);
  append(createRenewal('a', 1, 1), 1_000);
  append({kind: 'control-mark'}, 500_000);
  assert.equal(late.isComplete(), false);
  assert.equal(append(createClaim('b', 1, 1), 500_000), 'accepted');
  append({kind: 'control-mark'}, 1_200_000);
  assert.equal(late.isComplete(), true);
  assert.equal(
    append(createClaim('c', 4, 0), 1_200_000),
    'no lease is known',
    'a claim cannot replace the term of a dropped lease',
  );
  assert.equal(append(createClaim('c', 0, 0), 1_200_000), 'accepted');
  assert.equal(late.getState().leases.get(SHARD)?.holder, 'c');
});

test('a fold that read a claim but not the grant that it replaced learns the holder from its renewals', () => {
  const whole = createStreamFold(controlStream);
  const late = createStreamFold(controlStream);
  late.advanceTo(1);
  const append = createAppender([whole, late]);
  append(createClaim('a', 0, 0));
  append(createClaim('b', 1, 0));
  append(createRenewal('a', 1, 1));
  append(createRenewal('b', 2, 1));
  append(createRenewal('a', 1, 2));
  assert.deepEqual(
    late.getState().leases.get(SHARD),
    whole.getState().leases.get(SHARD),
  );
});

test('a fold that starts after the grant learns the holder from its renewals', () => {
  const whole = createStreamFold(controlStream);
  const late = createStreamFold(controlStream);
  late.advanceTo(2);
  const append = createAppender([whole, late]);
  append(createClaim('a', 0, 0));
  append(createRenewal('a', 1, 1));
  append(createRenewal('a', 1, 2));
  append(createRenewal('a', 1, 3));
  assert.deepEqual(
    late.getState().leases.get(SHARD),
    whole.getState().leases.get(SHARD),
  );
});
