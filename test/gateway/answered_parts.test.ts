/** Memory of the parts that were answered. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAnsweredParts} from '../../src/gateway/answered_parts';

test('an answer counts for a minute, and the memory is bounded', () => {
  let nowMs = 0;
  const answered = createAnsweredParts({getMonotonicMs: () => nowMs});
  answered.record(['a', 'b']);
  nowMs = 59_000;
  answered.record(['b']);
  assert.deepEqual(answered.listRecent(['a', 'b', 'c']), ['a', 'b']);
  nowMs = 61_000;
  assert.deepEqual(answered.listRecent(['a', 'b', 'c']), ['b']);
  answered.record(Array.from({length: 6_000}, (_, index) => `p${index}`));
  assert.deepEqual(answered.listRecent(['b', 'p0', 'p5999']), ['p5999']);
});
