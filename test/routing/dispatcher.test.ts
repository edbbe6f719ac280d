/** Admission, queueing, deadlines and retries of one node. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {RequestHandle} from '../../src/routing';
import {FailureKind, Verdict} from '../../src/verdict';
import {createRoutingFleet, type Outcome} from '../support/routing_fleet';

function countInTime(outcomes: readonly Outcome[]): number {
  return outcomes.filter(
    outcome =>
      outcome.end !== undefined &&
      outcome.closedAtMs <= outcome.request.deadlineAtMs,
  ).length;
}

test('a request that cannot meet its deadline is refused at once, with a retry delay', async () => {
  const fleet = createRoutingFleet({engines: 1});
  fleet.submit(0, {promptTokens: 80_000, deadlineAtMs: 1_000});
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.closedAtMs, 0);
  assert.equal(outcome.failure?.kind, FailureKind.Overloaded);
  assert.equal(outcome.failure?.verdict, Verdict.NotRun);
  assert.ok((outcome.failure?.retryAfterMs ?? 0) > 0);
  assert.equal(fleet.getStartCount(), 0);
  fleet.stop();
});

test('a backlog waits at the node, and an urgent request overtakes it', async () => {
  const fleet = createRoutingFleet({engines: 1});
  for (let index = 0; index < 60; index++) {
    fleet.submit(0, {promptTokens: 4_000, deadlineAtMs: 60_000, maxTokens: 5});
  }
  await fleet.clock.advance(2_000);
  assert.ok(fleet.getStartCount() < 20, `${fleet.getStartCount()} sent`);
  fleet.submit(0, {
    promptTokens: 800,
    maxTokens: 5,
    urgent: true,
    priority: 100,
    deadlineAtMs: 4_000,
  });
  await fleet.clock.advance(2_000);
  const urgent = fleet.outcomes[60];
  assert.ok(urgent.end !== undefined, JSON.stringify(urgent.failure));
  await fleet.clock.advance(60_000);
  assert.ok(fleet.outcomes.every(outcome => outcome.closeCount === 1));
  assert.equal(fleet.dispatchers[0].getOpenCount(), 0);
  fleet.stop();
});

test('an overloaded node ends each request by its deadline, with an answer or a refusal', async () => {
  const fleet = createRoutingFleet({engines: 1});
  for (let index = 0; index < 200; index++) {
    fleet.submit(0, {
      promptTokens: 2_000,
      maxTokens: 10,
      deadlineAtMs: fleet.clock.getMonotonicMs() + 2_000,
    });
    await fleet.clock.advance(50);
  }
  await fleet.clock.advance(5_000);
  fleet.stop();
  for (const outcome of fleet.outcomes) {
    assert.equal(outcome.closeCount, 1);
    assert.ok(outcome.closedAtMs <= outcome.request.deadlineAtMs);
  }
  // The engine can prefill 4 such requests per second: 40 to 48 in 12 seconds.
  assert.ok(
    countInTime(fleet.outcomes) >= 30,
    `${countInTime(fleet.outcomes)}`,
  );
});

test('a running answer is cancelled at the engine when its deadline passes', async () => {
  const fleet = createRoutingFleet({
    engines: 1,
    createOptions: () => ({isQueueing: false}),
  });
  fleet.submit(0, {maxTokens: 5_000, deadlineAtMs: 1_000});
  await fleet.clock.advance(1_500);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.failure?.kind, FailureKind.DeadlineExceeded);
  assert.equal(outcome.failure?.verdict, Verdict.MayHaveRun);
  assert.equal(outcome.closedAtMs, 1_000);
  assert.equal(fleet.engines[0].getReport().running, 0);
  fleet.stop();
});

test('an idempotent answer continues on another engine after the delivered tokens', async () => {
  const fleet = createRoutingFleet({engines: 3});
  const handle = fleet.submit(0, {maxTokens: 50, prompt: 'tape'});
  await fleet.clock.advance(400);
  assert.ok(fleet.outcomes[0].tokens > 0 && fleet.outcomes[0].tokens < 50);
  fleet.crash(getEngineIndex(handle), 60_000);
  await fleet.clock.advance(5_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.tokens, 50);
  assert.equal(outcome.text, getText(50));
  assert.equal(outcome.closeCount, 1);
  assert.equal(fleet.getStartCount(), 2);
  fleet.stop();
});

test('a non-idempotent request whose answer breaks off is never sent again', async () => {
  const fleet = createRoutingFleet({engines: 3});
  const handle = fleet.submit(0, {maxTokens: 50, idempotent: false});
  await fleet.clock.advance(400);
  fleet.crash(getEngineIndex(handle), 60_000);
  await fleet.clock.advance(5_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.failure?.verdict, Verdict.MayHaveRun);
  assert.equal(outcome.closeCount, 1);
  assert.equal(fleet.getStartCount(), 1);
  fleet.stop();
});

test('a refused retry does not change the verdict from may-have-run to not-run', async () => {
  const fleet = createRoutingFleet({engines: 2});
  const handle = fleet.submit(0, {maxTokens: 50});
  const index = getEngineIndex(handle);
  await fleet.clock.advance(400);
  // The other engine refuses the retry, since the node does not know yet that it is leaving.
  fleet.engines[1 - index].setLeaving(true);
  fleet.crash(index, 60_000);
  await fleet.clock.advance(12_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.failure?.verdict, Verdict.MayHaveRun);
  fleet.stop();
});

test('a leaving engine gets no new requests and finishes its running ones', async () => {
  const fleet = createRoutingFleet({engines: 2});
  for (let index = 0; index < 8; index++) fleet.submit(0, {maxTokens: 40});
  await fleet.clock.advance(100);
  fleet.servers[0] = {...fleet.servers[0], isLeaving: true};
  fleet.updateServers();
  const before = fleet.engines[0].getReport().running;
  assert.ok(before > 0);
  for (let index = 0; index < 8; index++) {
    const handle = fleet.submit(0, {maxTokens: 5});
    assert.notEqual(handle.tryGetEngine(), 'engine-0');
  }
  await fleet.clock.advance(10_000);
  assert.ok(fleet.outcomes.every(outcome => outcome.end !== undefined));
  fleet.stop();
});

test('a draining node refuses new requests with verdict not-run and finishes the open ones', async () => {
  const fleet = createRoutingFleet({engines: 1});
  fleet.submit(0, {maxTokens: 40});
  let isDrained = false;
  void fleet.dispatchers[0].drain().then(() => {
    isDrained = true;
  });
  fleet.submit(0, {});
  assert.equal(fleet.outcomes[1].failure?.verdict, Verdict.NotRun);
  assert.ok((fleet.outcomes[1].failure?.retryAfterMs ?? 0) > 0);
  await fleet.clock.advance(100);
  assert.equal(isDrained, false);
  await fleet.clock.advance(5_000);
  assert.equal(isDrained, true);
  assert.equal(fleet.outcomes[0].tokens, 40);
  fleet.stop();
});

function getEngineIndex(handle: RequestHandle): number {
  return Number(handle.tryGetEngine()?.slice('engine-'.length));
}

function getText(count: number): string {
  return Array.from({length: count}, (_, index) => `w${index}`).join(' ');
}
