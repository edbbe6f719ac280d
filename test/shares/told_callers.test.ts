/** Tests what a node remembers of the callers that it refused. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createToldCallers} from '../../src/shares';

const CALLER = {account: 'ada', key: 'k', deadlineAtMs: 9_000};

// Guards against callers that jump the queue by retrying before they were told to.
test('only a caller that waited as told has waited, and only once', () => {
  const told = createToldCallers();
  told.record(CALLER, 500, 0);
  assert.deepEqual(told.tryTake(CALLER, 510), {hasWaited: true, lateMs: 10});
  assert.equal(told.tryTake(CALLER, 520), undefined);
  told.record(CALLER, 500, 1_000);
  assert.deepEqual(told.tryTake(CALLER, 1_100), {
    hasWaited: false,
    lateMs: -400,
  });
  assert.equal(told.tryTake(CALLER, 1_500)?.hasWaited, false);
});

// Guards against a claim that passes to somebody else, who did not wait.
test('other accounts, prompts and deadlines are other callers', () => {
  const told = createToldCallers();
  told.record(CALLER, 500, 0);
  for (const other of [
    {...CALLER, account: 'bob'},
    {...CALLER, key: 'other'},
    {...CALLER, deadlineAtMs: 9_300},
    {account: 'ada', key: 'k'},
  ]) {
    assert.equal(told.tryTake(other, 600), undefined);
  }
  const delayed = {...CALLER, deadlineAtMs: 9_150};
  assert.equal(told.tryTake(delayed, 600)?.hasWaited, true);
});

// Guards against refusing callers who keep to the rule that they wait a third of their time at most.
test('a caller waits a third of its remaining time at most', () => {
  const told = createToldCallers();
  told.record({...CALLER, deadlineAtMs: 900}, 5_000, 0);
  const returned = told.tryTake({...CALLER, deadlineAtMs: 900}, 300);
  assert.deepEqual(returned, {hasWaited: true, lateMs: 0});
});

// Guards against unbounded memory, and against an account that displaces the callers of others.
test('callers are forgotten after a time, and the oldest ones of large accounts first', () => {
  const told = createToldCallers();
  told.record(CALLER, 100, 0);
  assert.equal(told.tryTake(CALLER, 2_200), undefined);
  told.record(CALLER, 100, 3_000);
  for (let index = 0; index < 20_000; index++) {
    told.record({account: 'large', key: `${index}`}, 100, 3_000);
  }
  assert.equal(told.count(), 257);
  assert.equal(told.tryTake(CALLER, 3_100)?.hasWaited, true);
  for (let index = 0; index < 20_000; index++) {
    told.record({account: `${index}`, key: 'k'}, 100, 3_000);
  }
  assert.equal(told.count(), 8_192);
});
