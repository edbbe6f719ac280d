/** The sum of all nodes' requests to a server that states a limit. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LimitMessage} from '../../src/gateway/peer_messages';
import {createServerLimits} from '../../src/gateway/server_limits';
import {type Clock, createVirtualClock} from '../../src/runtime';
import {createDraw} from '../soak/schedule';
import {createLimitedFleetModel} from './limited_fleet_model';
import {createEntry, SILENT_LOGGER} from './support';

/** Longest part of the limit that may stay unused under more requests than it admits. */
const MAX_UNUSED_FRACTION = 0.15;
const DURATION_MS = 20_000;
const MS_PER_S = 1_000;

for (const {nodes, limitPerS, ratePerS, skew} of [
  {nodes: 1, limitPerS: 4.3, ratePerS: 50, skew: 0},
  {nodes: 12, limitPerS: 0.5, ratePerS: 50, skew: 0},
  {nodes: 12, limitPerS: 1, ratePerS: 50, skew: 0.5},
  {nodes: 12, limitPerS: 4.3, ratePerS: 15, skew: 0},
  {nodes: 12, limitPerS: 4.3, ratePerS: 50, skew: 0.9},
  {nodes: 12, limitPerS: 30, ratePerS: 300, skew: 0.5},
  {nodes: 50, limitPerS: 200, ratePerS: 1_000, skew: 0.2},
  {nodes: 200, limitPerS: 4.3, ratePerS: 1_000, skew: 0},
  {nodes: 200, limitPerS: 4.3, ratePerS: 50, skew: 0.9},
]) {
  test(`${nodes} nodes use up a limit of ${limitPerS}/s and do not exceed it, with ${ratePerS} requests/s, of which ${skew} go to one node`, async context => {
    const model = createLimitedFleetModel({nodes});
    model.setLimit(limitPerS);
    await model.offer({ratePerS, skew, durationMs: DURATION_MS});
    const used = model.arrivals.length;
    context.diagnostic(`${used} requests`);
    assert.deepEqual(model.listViolations(), []);
    const admitted = (limitPerS * DURATION_MS) / MS_PER_S;
    assert.ok(used >= (1 - MAX_UNUSED_FRACTION) * admitted, `${used}`);
  });
}

test('a server with a limit of 0 gets few requests, and its end is noticed', async () => {
  const model = createLimitedFleetModel({nodes: 12});
  model.setLimit(0);
  await model.offer({ratePerS: 50, durationMs: 20_000});
  assert.deepEqual(model.listViolations(), []);
  model.setLimit(undefined);
  await model.offer({ratePerS: 50, durationMs: 10_000});
  const atMs = model.clock.getMonotonicMs() - 1_000;
  const last = model.arrivals.filter(arrival => arrival.atMs > atMs);
  assert.ok(last.length > 30, `${last.length}`);
});

test('a limit that changes, ends and is stated again holds', async () => {
  for (let seed = 1; seed <= 5; seed++) {
    const model = createLimitedFleetModel({nodes: 12, seed});
    for (const limitPerS of [30, 3, 10, undefined, 2, 0.5, undefined, 8]) {
      model.setLimit(limitPerS);
      await model.offer({ratePerS: 60, skew: 0.5, durationMs: 6_000});
    }
    assert.deepEqual(model.listViolations(), [], `seed ${seed}`);
  }
});

for (const [fromPerS, toPerS] of [
  [0, 10],
  [0, 30],
  [1, 12],
  [2, 40],
]) {
  test(`a limit that rises from ${fromPerS}/s to ${toPerS}/s is not exceeded right after, and then used up`, async () => {
    for (let seed = 1; seed <= 5; seed++) {
      const model = createLimitedFleetModel({nodes: 12, seed});
      model.setLimit(fromPerS);
      await model.offer({ratePerS: 300, skew: 0.3, durationMs: 10_000});
      model.setLimit(toPerS);
      await model.offer({ratePerS: 300, skew: 0.3, durationMs: 6_000});
      const before = model.arrivals.length;
      await model.offer({ratePerS: 300, skew: 0.3, durationMs: DURATION_MS});
      assert.deepEqual(model.listViolations(), [], `seed ${seed}`);
      const used = model.arrivals.length - before;
      const admitted = (toPerS * DURATION_MS) / MS_PER_S;
      assert.ok(used >= (1 - MAX_UNUSED_FRACTION) * admitted, `${used}`);
    }
  });
}

/** Seeds that once found a violation. */
const REGRESSION_SEEDS = [292];
const RANDOM_SEED_COUNT = 30;
const RANDOM_LIMITS_PER_S = [0, 0.5, 1, 3, 4.3, 8, 12, 20, 40];

test('random limits hold with random numbers of nodes and random traffic', async () => {
  const seeds = Array.from({length: RANDOM_SEED_COUNT}, (_, index) => index);
  for (const seed of [...seeds, ...REGRESSION_SEEDS]) {
    const draw = createDraw(seed);
    const model = createLimitedFleetModel({
      nodes: [1, 4, 12, 30][draw(4)],
      seed,
    });
    for (let count = 0; count < 8; count++) {
      const isLimited = draw(8) > 0;
      model.setLimit(isLimited ? RANDOM_LIMITS_PER_S[draw(9)] : undefined);
      const durationMs = 300 + draw(5_000);
      const ratePerS = [20, 100, 300][draw(3)];
      await model.offer({ratePerS, skew: draw(10) / 10, durationMs});
    }
    assert.deepEqual(model.listViolations(), [], `seed ${seed}`);
  }
});

test('a limit holds while nodes start again one after the other', async () => {
  for (let seed = 1; seed <= 5; seed++) {
    const model = createLimitedFleetModel({nodes: 12, seed});
    model.setLimit(4.3);
    for (let count = 0; count < 24; count++) {
      await model.offer({ratePerS: 60, skew: 0.5, durationMs: 700});
      model.restart(count % 12);
    }
    assert.deepEqual(model.listViolations(), [], `seed ${seed}`);
  }
});

test('a limit holds while nodes are frozen and thawed one after the other', async () => {
  for (let seed = 1; seed <= 5; seed++) {
    const model = createLimitedFleetModel({nodes: 12, seed});
    model.setLimit(4.3);
    for (let count = 0; count < 12; count++) {
      model.setFrozen(count % 4, true);
      await model.offer({ratePerS: 60, skew: 0.3, durationMs: 1_500});
      model.setFrozen(count % 4, false);
      await model.offer({ratePerS: 60, skew: 0.3, durationMs: 500});
    }
    assert.deepEqual(model.listViolations(), [], `seed ${seed}`);
  }
});

/** Time in which a node notices that it is cut off, in milliseconds. */
const CUT_NOTICED_MS = 1_250;

for (const [title, groupOf] of [
  ['three of twelve nodes are cut off from the others', n => (n < 3 ? 1 : 0)],
  ['half of the nodes are cut off from the others', n => n % 2],
  ['all nodes are cut off from each other', n => n],
] as ReadonlyArray<[string, (node: number) => number]>) {
  test(`a limit holds at the server while ${title}, once they have noticed`, async () => {
    for (let seed = 1; seed <= 5; seed++) {
      const model = createLimitedFleetModel({nodes: 12, seed});
      model.setLimit(4.3);
      await model.offer({ratePerS: 60, durationMs: 4_000});
      const cutAtMs = model.clock.getMonotonicMs();
      model.setGroups(
        new Map(Array.from({length: 12}, (_, node) => [node, groupOf(node)])),
      );
      await model.offer({ratePerS: 60, durationMs: 8_000});
      model.setGroups(new Map());
      await model.offer({ratePerS: 60, durationMs: 6_000});
      const violations = model.listViolations(
        cutAtMs,
        cutAtMs + CUT_NOTICED_MS,
      );
      assert.deepEqual(violations, [], `seed ${seed}`);
    }
  });
}

test('the end of a limit is noticed although messages of other nodes about it are still on their way', async () => {
  for (const limitPerS of [4.3, 50, 900]) {
    const model = createLimitedFleetModel({nodes: 12, maxDelayMs: 80});
    model.setLimit(limitPerS);
    await model.offer({ratePerS: 1_000, durationMs: 5_000});
    model.setLimit(undefined);
    await model.offer({ratePerS: 1_000, durationMs: 3_000});
    const atMs = model.clock.getMonotonicMs() - MS_PER_S;
    const last = model.arrivals.filter(arrival => arrival.atMs > atMs);
    assert.ok(last.length > 900, `${limitPerS}/s: ${last.length}`);
  }
});

function createNode(
  nodeName: string,
  {clock, getReach = () => 1}: {clock: Clock; getReach?: () => number},
) {
  const sent: LimitMessage[] = [];
  const limits = createServerLimits({
    nodeName,
    clock,
    logger: SILENT_LOGGER,
    metrics: {recordLimitedSend: () => undefined},
    getReach,
    notify: message => sent.push(message),
  });
  return {limits, sent};
}

test('a request of a node that has just begun to probe the others counts fully at them', () => {
  const server = createEntry();
  const clock = createVirtualClock();
  const probing = createNode('a', {clock, getReach: () => 0.1});
  const other = createNode('b', {clock});
  probing.limits.recordSend(server)(0.5);
  other.limits.handle(probing.sent[0]);
  assert.equal(other.limits.canSend(server), true);
  probing.limits.recordSend(server);
  other.limits.handle(probing.sent[1]);
  assert.equal(other.limits.canSend(server), false);
});

test('a rise of a limit that a node hears of when it has just begun to probe the others is granted over time', async () => {
  const server = createEntry();
  const clock = createVirtualClock();
  let reach = 1;
  const {limits} = createNode('a', {clock, getReach: () => reach});
  limits.recordSend(server)(0.5);
  await clock.advance(4_000);
  reach = 0.1;
  limits.recordSend(server)(12);
  reach = 1;
  let count = 0;
  for (; limits.canSend(server); count++) limits.recordSend(server);
  assert.ok(count <= 1, `${count} requests at once`);
});

test('a node that knows a limit only from others does not revive it at a node that has seen its end', async () => {
  const clock = createVirtualClock();
  const server = createEntry();
  const [first, second, third] = ['a', 'b', 'c'].map(name =>
    createNode(name, {clock}),
  );
  first.limits.recordSend(server)(5);
  await clock.advance(10);
  third.limits.handle(first.sent[0]);
  await clock.advance(1);
  const recordLimit = third.limits.recordSend(server);
  await clock.advance(40);
  second.limits.handle(first.sent[0]);
  second.limits.recordSend(server);
  recordLimit(undefined);
  await clock.advance(10);
  for (const message of second.sent) third.limits.handle(message);
  assert.equal(third.limits.isLimited(server), false);
});
