/** Failing and slow engines: retry budget, ejection and gradual return. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runWorkload} from '../../bench/routing_workload';
import {
  createEjector,
  createServerHealth,
  type ServerHealth,
} from '../../src/routing/ejection';
import {createRandom, createRoutingFleet} from '../support/routing_fleet';

test('a crash of half the engines causes no retry storm', async () => {
  const result = await runWorkload({
    load: 0.6,
    durationMs: 20_000,
    seed: 5,
    prepare: fleet => {
      fleet.clock.schedule(8_000, () => {
        for (let index = 0; index < 6; index++) fleet.crash(index, 60_000);
      });
    },
  });
  assert.ok(result.amplification < 1.1, `${result.amplification}`);
  // From 8 s on, 7 of 13 engines are left for a load of 0.6 of the capacity of all 13.
  assert.ok(result.goodput > 0.75, `${result.goodput}`);
});

test('an engine that refuses connections is ejected and returns gradually', async () => {
  let isBroken = true;
  let calls = 0;
  const fleet = createRoutingFleet({
    engines: 8,
    nodes: 1,
    wrapClient: (client, engine) => ({
      ...client,
      start: (request, sink) => {
        if (engine !== 'engine-0') return client.start(request, sink);
        calls++;
        if (!isBroken) return client.start(request, sink);
        sink.onFailure({
          kind: 'unavailable',
          verdict: 'not-run',
          message: 'no connection',
        });
        return {cancel: () => undefined, setPaused: () => undefined};
      },
    }),
  });
  await submitEvery(5, 4_000);
  const callsWhileBroken = calls;
  assert.ok(
    callsWhileBroken > 0 && callsWhileBroken <= 12,
    `${callsWhileBroken}`,
  );
  assert.ok(fleet.events.some(event => event.kind === 'engine-ejected'));
  isBroken = false;
  await submitEvery(5, 60_000);
  assert.ok(calls - callsWhileBroken > 500, `${calls - callsWhileBroken}`);
  await fleet.clock.advance(10_000);
  const failed = fleet.outcomes.filter(outcome => outcome.end === undefined);
  assert.deepEqual(
    failed.map(outcome => outcome.failure),
    [],
  );
  fleet.stop();

  async function submitEvery(gapMs: number, durationMs: number): Promise<void> {
    const endMs = fleet.clock.getMonotonicMs() + durationMs;
    while (fleet.clock.getMonotonicMs() < endMs) {
      fleet.submit(0, {promptTokens: 50, maxTokens: 4});
      await fleet.clock.advance(gapMs);
    }
  }
});

test('an engine that has stopped reporting gets no requests until it reports again', async () => {
  const startsAtMs: number[] = [];
  const fleet = createRoutingFleet({
    engines: 4,
    wrapClient: (client, engine) => ({
      ...client,
      start: (request, sink) => {
        if (engine === 'engine-0')
          startsAtMs.push(fleet.clock.getMonotonicMs());
        return client.start(request, sink);
      },
    }),
  });
  await fleet.clock.advance(5_000);
  fleet.crash(0, 30_000);
  while (fleet.clock.getMonotonicMs() < 50_000) {
    fleet.submit(0, {promptTokens: 50, maxTokens: 4});
    await fleet.clock.advance(50);
  }
  await fleet.clock.advance(5_000);
  fleet.stop();
  const whileSilent = startsAtMs.filter(atMs => atMs > 10_000 && atMs < 35_000);
  assert.deepEqual(whileSilent, []);
  assert.ok(startsAtMs.some(atMs => atMs > 36_000));
  assert.ok(fleet.outcomes.every(outcome => outcome.end !== undefined));
});

test('an engine that is slower than the others is ejected; a uniformly slow group is not', () => {
  const fleet = Array.from({length: 10}, () => createServerHealth());
  const ejector = createEjector(() => fleet, createRandom(1));
  let nowMs = 0;
  let ejections = 0;
  for (let round = 0; round < 60; round++) {
    for (const [index, health] of fleet.entries()) {
      nowMs += 10;
      const ratio = index === 0 ? 8 : 1.2;
      if (ejector.recordSuccess(health, ratio, nowMs) !== undefined)
        ejections++;
    }
  }
  assert.ok(ejections >= 1);
  assert.equal(ejector.isUsable(fleet[1], nowMs), true);
  assert.ok(fleet[0].ejections >= 1);

  const slow = Array.from({length: 10}, () => createServerHealth());
  const other = createEjector(() => slow, createRandom(1));
  for (let round = 0; round < 60; round++) {
    for (const health of slow) {
      nowMs += 10;
      assert.equal(other.recordSuccess(health, 8, nowMs), undefined);
    }
  }
});

test('never more than the configured fraction of a group is ejected', () => {
  const fleet: ServerHealth[] = Array.from({length: 10}, () =>
    createServerHealth(),
  );
  const ejector = createEjector(() => fleet, createRandom(1), {
    maxFailedFraction: 0.5,
  });
  for (let round = 0; round < 20; round++) {
    for (const health of fleet) ejector.recordFailure(health, round);
  }
  const ejected = fleet.filter(health => health.ejectedUntilMs > 20).length;
  assert.equal(ejected, 5);
});

test('a returning server gets a growing share of the requests', () => {
  const health = createServerHealth();
  const fleet = [
    health,
    ...Array.from({length: 9}, () => createServerHealth()),
  ];
  const ejector = createEjector(() => fleet, createRandom(3));
  for (let count = 0; count < 3; count++) ejector.recordFailure(health, 0);
  const backMs = health.ejectedUntilMs;
  assert.equal(ejector.isUsable(health, backMs - 1), false);
  const shares = [0, 3_000, 6_000, 10_000].map(afterMs => {
    let used = 0;
    for (let draw = 0; draw < 1_000; draw++) {
      if (ejector.isUsable(health, backMs + afterMs)) used++;
    }
    return used / 1_000;
  });
  assert.ok(shares[0] < 0.2 && shares[3] === 1, shares.join(' '));
  assert.ok(shares[0] < shares[1] && shares[1] < shares[2], shares.join(' '));
});
