/** Reads of a topic to its end, by the grants of authority and by the records of usage. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {createFleetStore, createUsageStore} from '../../src/platform';
import type {StoreClient} from '../../src/platform/store_client';

/** A page with records of the given holders, or the first offset that is kept, at the offset that is to be asked for. */
type Answer =
  | {
      readonly at: number;
      readonly holders: readonly string[];
      readonly next: number;
      readonly end: number;
      readonly era?: number;
    }
  | {readonly at: number; readonly firstOffset: number};

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly from?: number;
  readonly answers: readonly Answer[];
  /** Holders of the records that were read, and the end; undefined for a failure. */
  readonly expected?: readonly [holders: readonly string[], end: number];
}> = [
  {
    name: 'short pages are read on',
    answers: [
      {at: 0, holders: ['a'], next: 1, end: 2},
      {at: 1, holders: ['b'], next: 2, end: 2},
    ],
    expected: [['a', 'b'], 2],
  },
  {
    name: 'a page without records that moves on is not the end',
    answers: [
      {at: 0, holders: [], next: 5, end: 6},
      {at: 5, holders: ['a'], next: 6, end: 6},
    ],
    expected: [['a'], 6],
  },
  {
    name: 'a page without records that stays is a failure',
    answers: [{at: 0, holders: [], next: 0, end: 6}],
  },
  {
    name: 'records that expire while the topic is read are left out',
    answers: [
      {at: 0, holders: ['a'], next: 1, end: 9},
      {at: 1, firstOffset: 8},
      {at: 8, holders: ['b'], next: 9, end: 9},
    ],
    expected: [['a', 'b'], 9],
  },
  {
    name: 'an offset that the store has lost drops what was read',
    from: 3,
    answers: [
      {at: 3, holders: ['lost'], next: 4, end: 5},
      {at: 4, firstOffset: 0},
      {at: 0, holders: ['a'], next: 1, end: 1},
    ],
    expected: [['a'], 1],
  },
  {
    name: 'records of two eras are not mixed',
    answers: [
      {at: 0, holders: ['lost'], next: 1, end: 2},
      {at: 1, holders: ['b'], next: 2, end: 2, era: 1},
      {at: 0, holders: ['a'], next: 1, end: 2, era: 1},
      {at: 1, holders: ['b'], next: 2, end: 2, era: 1},
    ],
    expected: [['a', 'b'], 2],
  },
  {
    name: 'a store that has no offset for long is a failure, not a loop',
    answers: Array.from({length: 30}, (_, index) => ({
      at: index % 2,
      firstOffset: 1 - (index % 2),
    })),
  },
];

/** Returns the answers in turn; as the client does, it refuses an offset of an earlier era. */
function createClient(answers: readonly Answer[], encode: Encode): StoreClient {
  let count = 0;
  const fail = (firstOffset: number) =>
    Err({
      kind: 'expired' as const,
      mayHaveTakenEffect: false,
      message: '',
      firstOffset,
    });
  return {
    getEra: () => 0,
    read: async (
      _topic: string,
      offset: number,
      _waitMs: number,
      offsetEra?: number,
    ) => {
      const answer = answers[count++];
      assert.ok(answer, 'the topic is read without an end');
      assert.equal(offset, answer.at);
      if ('firstOffset' in answer) return fail(answer.firstOffset);
      const {holders, next: nextOffset, end: endOffset, era = 0} = answer;
      if (offsetEra !== undefined && offsetEra !== era) return fail(0);
      const records = holders.map(encode);
      return Ok({records, nextOffset, endOffset, era});
    },
  } as unknown as StoreClient;
}

type Encode = (holder: string, index: number) => Buffer;

function encodeUsage(holder: string): Buffer {
  const record = {windowId: 1, fencingNumber: 1, counts: {[holder]: 1}};
  return Buffer.from(JSON.stringify(record));
}

for (const {name, from = 0, answers, expected} of CASES) {
  test(`${name}: usage`, async () => {
    const store = createUsageStore(createClient(answers, encodeUsage));
    const page = await store.readUsage(from);
    assert.equal(page.ok, expected !== undefined);
    if (!page.ok) return;
    const holders = page.val.records.flatMap(item => Object.keys(item.counts));
    assert.deepEqual([holders, page.val.endOffset], expected);
  });

  test(`${name}: grants`, async () => {
    const encode = (holder: string) => Buffer.from(holder);
    const store = createFleetStore(createClient(answers, encode));
    const state = await store.readAuthority(from);
    assert.equal(state.ok, expected !== undefined);
    if (!state.ok) return;
    const newest = expected?.[0].at(-1);
    assert.deepEqual(
      [state.val.holder, state.val.endOffset],
      [newest, expected?.[1]],
    );
  });
}
