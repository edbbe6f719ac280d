import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type Authentication,
  authenticate,
  type AuthenticationInput,
  type ClientAccount,
  createAccountTable,
  getKeyDigest,
} from '../../src/accounts';

const ADA: ClientAccount = {name: 'ada', keyDigests: ['a1', 'a2'], rank: 0};
const BOB: ClientAccount = {name: 'bob', keyDigests: ['b1']};

function createTable(accounts: readonly ClientAccount[]) {
  const table = createAccountTable();
  table.update(accounts);
  return table;
}

test('the digest is the SHA-256 in hexadecimal', () => {
  assert.equal(
    getKeyDigest('abc'),
    'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
  );
});

test('a removed key is unknown, and the keys of other accounts stay known', () => {
  const table = createTable([ADA, BOB]);
  table.update([{...ADA, keyDigests: ['a2', 'a3']}, BOB]);
  assert.equal(table.tryFind('a1'), undefined);
  assert.equal(table.tryFind('a2')?.name, 'ada');
  assert.equal(table.tryFind('a3')?.rank, 0);
  assert.equal(table.tryFind('b1')?.name, 'bob');
  assert.equal(table.getSummary().changed, 1);
});

test('a key of two accounts belongs to none until one of them gives it up', () => {
  const table = createTable([ADA, {name: 'bob', keyDigests: ['b1', 'a1']}]);
  assert.equal(table.tryFind('a1'), undefined);
  assert.deepEqual(table.getSummary().faultyNames, ['ada', 'bob']);
  table.update([ADA, BOB]);
  assert.equal(table.tryFind('a1')?.name, 'ada');
  assert.equal(table.getSummary().contestedKeys, 0);
});

test('names that no header can carry get no requests', () => {
  const names = ['', 'x\r\nHost: y', 'x\u0085', ' x', 'x\t', 'x'.repeat(300)];
  const table = createTable(
    names.map((name, index) => ({name, keyDigests: [`k${index}`]})),
  );
  const found = names.filter((_, index) => table.tryFind(`k${index}`));
  assert.deepEqual(found, []);
  assert.equal(table.getSummary().unusable, names.length);
});

test('a table that was updated finds the same accounts as a new one', () => {
  const account = fc.record({
    name: fc.constantFrom('a', 'b', 'c', ''),
    keyDigests: fc.array(fc.constantFrom('1', '2', '3', '4'), {maxLength: 3}),
    rank: fc.constantFrom(0, 1),
  });
  const versions = fc.array(fc.array(account, {maxLength: 5}), {maxLength: 6});
  fc.assert(
    fc.property(versions, lists => {
      const updated = createAccountTable();
      for (const list of lists) {
        updated.update(list);
        const fresh = createTable(list);
        for (const key of ['1', '2', '3', '4']) {
          const [left, right] = [updated.tryFind(key), fresh.tryFind(key)];
          assert.equal(left?.name, right?.name);
          assert.equal(left?.rank, right?.rank);
        }
      }
    }),
    {seed: 7, numRuns: 2_000},
  );
});

// Guards against digests that are lost when the index is built again, and against removed ones that stay.
test('a table of many accounts finds each key and no other over many versions', () => {
  const createAccount = (index: number): ClientAccount => ({
    name: `account-${index}`,
    keyDigests: [getKeyDigest(`key-${index}`)],
  });
  const table = createAccountTable();
  let from = 0;
  for (const [first, count] of [
    [0, 5],
    [0, 3_000],
    [20, 3_000],
    [25, 9_000],
    [8_000, 40],
    [0, 0],
    [0, 2_000],
  ]) {
    const list = Array.from({length: count}, (_, at) =>
      createAccount(first + at),
    );
    table.update(list);
    assert.equal(table.getSummary().keys, count);
    for (let index = 0; index < 9_100; index++) {
      const isListed = index >= first && index < first + count;
      const found = table.tryFind(getKeyDigest(`key-${index}`))?.name;
      assert.equal(found, isListed ? `account-${index}` : undefined);
    }
    from = first;
  }
  // A part of a digest is not enough.
  const digest = getKeyDigest(`key-${from}`);
  assert.notEqual(table.tryFind(digest), undefined);
  assert.equal(table.tryFind(digest.slice(0, 63)), undefined);
  const other = (digest[20] === '0' ? '1' : '0') + digest.slice(21);
  assert.equal(table.tryFind(digest.slice(0, 20) + other), undefined);
});

// Guards against callers that are refused, or served, because another node passed on a broken list.
test('a malformed list leaves the accounts in force', () => {
  const table = createTable([ADA, BOB]);
  const lists = [
    undefined,
    {},
    [null],
    [{name: 'x'}],
    [ADA, {name: 1}],
    [{...ADA, keyDigests: [1]}],
    [{...ADA, rank: 'x'}],
  ];
  for (const list of lists) {
    assert.equal(table.update(list as ClientAccount[]), false);
    assert.equal(table.tryFind('a1')?.name, 'ada');
    assert.equal(table.tryFind('b1')?.name, 'bob');
  }
  assert.equal(table.getSummary().rejectedUpdates, lists.length);
});

const INPUT: AuthenticationInput = {
  accounts: createTable([ADA]),
  isPublic: false,
  keyDigest: 'a1',
  stateAgeMs: 100,
  bounds: {configApplyMs: 2_000, revokeMs: 4_000},
};

function getOutcome(changes: Partial<AuthenticationInput>): string {
  const result: Authentication = authenticate({...INPUT, ...changes});
  if (result.kind === 'refused') return result.reason;
  return result.kind === 'admitted'
    ? (result.account?.name ?? 'no account')
    : result.kind;
}

test('a key decides by route, and by the age of the state that it is compared with', () => {
  const unknown = {keyDigest: 'x'};
  const missing = {keyDigest: undefined} as Partial<AuthenticationInput>;
  const cases: Array<[Partial<AuthenticationInput>, string]> = [
    [{accounts: undefined}, 'unchecked'],
    [{}, 'ada'],
    [{isPublic: true}, 'ada'],
    [unknown, 'key-unknown'],
    [missing, 'key-missing'],
    [{...unknown, wasFound: true}, 'key-revoked'],
    [{...unknown, isPublic: true}, 'no account'],
    [{...missing, isPublic: true}, 'no account'],
    // A newer version may have the key or make the route public.
    [{...unknown, stateAgeMs: 2_001}, 'state-outdated'],
    [{...missing, stateAgeMs: 2_001}, 'state-outdated'],
    [{...unknown, wasFound: true, stateAgeMs: 2_001}, 'state-outdated'],
    [{...unknown, stateAgeMs: 2_001, bounds: {}}, 'key-unknown'],
    [{stateAgeMs: 2_001}, 'ada'],
    // A newer version may have removed the key.
    [{stateAgeMs: 4_001}, 'state-outdated'],
    [{stateAgeMs: 4_001, isPublic: true}, 'state-outdated'],
    [{...missing, stateAgeMs: 4_001, isPublic: true}, 'no account'],
    [{stateAgeMs: 4_001, bounds: {configApplyMs: 2_000}}, 'ada'],
  ];
  for (const [changes, outcome] of cases) {
    assert.equal(getOutcome(changes), outcome, JSON.stringify(changes));
  }
});
