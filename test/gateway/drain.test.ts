/** Which requests a gateway that is being stopped refuses: those that it might have to cut off although callers could have gone elsewhere. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDrain} from '../../src/gateway/drain';

const DURATION_MS = 7_500;

function createTimedDrain() {
  let nowMs = 100_000;
  const clock = {getMonotonicMs: () => nowMs};
  const drain = createDrain({clock, durationMs: DURATION_MS});
  return {
    ...drain,
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
}

test('a gateway that is not being stopped refuses nothing', () => {
  const drain = createTimedDrain();
  assert.equal(drain.mustRefuse(60_000), false);
  assert.equal(drain.getRemainingMs(), Number.POSITIVE_INFINITY);
});

test('while callers are still sent to a stopping gateway, no request is refused', () => {
  const drain = createTimedDrain();
  drain.start();
  drain.advance(2_700);
  assert.equal(drain.mustRefuse(6_000), false);
});

test('later, only requests that end before the gateway does are accepted', () => {
  const drain = createTimedDrain();
  drain.start();
  drain.advance(3_000);
  assert.equal(drain.mustRefuse(4_500), false);
  assert.equal(drain.mustRefuse(4_501), true);
  drain.advance(4_500);
  assert.equal(drain.mustRefuse(1), true);
});

test('a second signal does not lengthen the drain', () => {
  const drain = createTimedDrain();
  drain.start();
  drain.advance(1_000);
  drain.start();
  assert.equal(drain.getRemainingMs(), 6_500);
});
