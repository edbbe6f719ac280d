/** Contents of a node's digest, and the sums that peers compute from digests. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Digest} from '../../src/membership';
import {createDigestView, createLocalLoad} from '../../src/node/digest_view';
import {createVirtualClock} from '../../src/runtime';

function createDigest(node: string, inFlight: Record<string, number>): Digest {
  const load = createLocalLoad({
    offsets: {config: 3},
    localWork: Object.entries(inFlight).map(([engine, requests]) => ({
      engine,
      requests,
      prefillTokens: 0,
      decodeTokens: 0,
    })),
    openRequests: 1,
    demand: {prefillTokensPerS: 10.4, decodeTokensPerS: 2.6},
    processCores: 0.1,
  });
  return {
    ...load,
    node,
    address: '',
    incarnation: 1,
    process: node,
    sequence: 1,
    state: 'live',
  };
}

test('a digest contains only the busiest engines', () => {
  const work = Object.fromEntries(
    Array.from({length: 40}, (_, index) => [`engine-${index}`, index]),
  );
  const {inFlight} = createDigest('a', work);
  assert.equal(Object.keys(inFlight).length, 16);
  assert.equal(Math.min(...Object.values(inFlight)), 24);
});

test('the requests of all peers are summed, and summed again after the cache period', async () => {
  const clock = createVirtualClock();
  let digests = [createDigest('a', {x: 2}), createDigest('b', {x: 3, y: 1})];
  const view = createDigestView({clock, listDigests: () => digests});
  assert.deepEqual(view.tryGetDigestWork('x'), {requests: 5, prefillTokens: 0});
  assert.equal(view.tryGetDigestWork('z'), undefined);
  digests = [createDigest('a', {x: 1})];
  await clock.advance(1_000);
  assert.deepEqual(view.tryGetDigestWork('x'), {requests: 1, prefillTokens: 0});
  assert.deepEqual(view.listDemands(), [
    {prefillTokensPerS: 10, decodeTokensPerS: 3},
  ]);
});
