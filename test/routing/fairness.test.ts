/** Fair sharing and limits of client accounts. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAccountLimiter} from '../../src/routing';
import {createFairQueue, type QueueItem} from '../../src/routing/fair_queue';
import {createLaneQueue} from '../../src/routing/lane_queue';
import {createRoutingFleet, type Outcome} from '../support/routing_fleet';

const LIMITS = {requestsPerS: 28, burst: 28, maxConcurrent: 56};

function createItem(given: Partial<QueueItem>): QueueItem {
  return {
    clientAccount: 'a',
    weight: 1,
    isUrgent: false,
    priority: 0,
    latestStartMs: 0,
    costMs: 100,
    tokens: 100,
    ...given,
  };
}

function takeNext<T extends QueueItem>(queue: {
  tryPeek(): T | undefined;
  take(item: T): void;
}): T {
  const item = queue.tryPeek();
  assert.ok(item !== undefined);
  queue.take(item);
  return item;
}

test('a backlog is served by weight, whatever the queue lengths of the client accounts', () => {
  const queue = createFairQueue<QueueItem>();
  for (let index = 0; index < 1_000; index++) {
    queue.add(createItem({clientAccount: 'flood', latestStartMs: index}));
  }
  for (let index = 0; index < 300; index++) {
    queue.add(
      createItem({clientAccount: 'heavy', weight: 3, latestStartMs: 10_000}),
    );
    queue.add(createItem({clientAccount: 'light', latestStartMs: 10_000}));
  }
  const taken = new Map<string, number>();
  for (let index = 0; index < 400; index++) {
    const {clientAccount} = takeNext(queue);
    taken.set(clientAccount, (taken.get(clientAccount) ?? 0) + 1);
  }
  assert.ok((taken.get('flood') ?? 0) <= 110, `${taken.get('flood')}`);
  assert.ok((taken.get('heavy') ?? 0) >= 190, `${taken.get('heavy')}`);
  assert.ok((taken.get('light') ?? 0) >= 60, `${taken.get('light')}`);
});

test('urgent requests go first but leave a share to non-urgent ones', () => {
  const queue = createLaneQueue<QueueItem>();
  for (let index = 0; index < 500; index++) {
    queue.add(createItem({clientAccount: 'a', isUrgent: true}));
    queue.add(createItem({clientAccount: 'b'}));
  }
  assert.equal(takeNext(queue).isUrgent, true);
  let urgent = 0;
  for (let index = 0; index < 400; index++) {
    if (takeNext(queue).isUrgent) urgent++;
  }
  assert.ok(urgent >= 300 && urgent <= 370, `${urgent}`);
});

test('within a client account requests are ordered by priority, then by latest start time', () => {
  const queue = createFairQueue<QueueItem>();
  queue.add(createItem({latestStartMs: 300}));
  queue.add(createItem({latestStartMs: 100}));
  queue.add(createItem({latestStartMs: 200, priority: 5}));
  const order = [takeNext(queue), takeNext(queue), takeNext(queue)];
  assert.deepEqual(
    order.map(item => item.latestStartMs),
    [200, 100, 300],
  );
});

test('one client account that floods a node does not starve another', async () => {
  const fleet = createRoutingFleet({engines: 1});
  for (let step = 0; step < 400; step++) {
    const nowMs = fleet.clock.getMonotonicMs();
    // 100 requests per second against 2 per second; the engine can serve about 12.
    for (let index = 0; index < 5; index++) {
      fleet.submit(0, {
        clientAccount: 'flood',
        promptTokens: 1_000,
        maxTokens: 10,
        deadlineAtMs: nowMs + 5_000,
      });
    }
    if (step % 10 === 0) {
      fleet.submit(0, {
        clientAccount: 'small',
        promptTokens: 1_000,
        maxTokens: 10,
        deadlineAtMs: nowMs + 5_000,
      });
    }
    await fleet.clock.advance(50);
  }
  await fleet.clock.advance(10_000);
  fleet.stop();
  const small = fleet.outcomes.filter(
    outcome => outcome.request.clientAccount === 'small',
  );
  const inTime = small.filter(isInTime).length;
  assert.ok(inTime >= 0.9 * small.length, `${inTime} of ${small.length}`);
  assert.ok(fleet.outcomes.every(outcome => outcome.closeCount === 1));
});

test('14 nodes with even shares together grant the limit plus at most their bursts', () => {
  let granted = 0;
  const limiters = Array.from({length: 14}, () =>
    createAccountLimiter({getNodeCount: () => 14, overcommitFactor: 1}),
  );
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    for (const limiter of limiters) {
      const admission = limiter.tryAdmit('a', LIMITS, nowMs);
      if (admission.kind === 'refused') continue;
      granted++;
      admission.release();
    }
  }
  const allowed = LIMITS.requestsPerS * 20;
  assert.ok(granted >= allowed && granted <= allowed + 14 * 6, `${granted}`);
});

test('a client account that uses one node gets its whole limit there if its usage at the others is known to be 0', () => {
  const limiter = createAccountLimiter({
    getNodeCount: () => 14,
    tryGetPeerUsage: () => ({requestsPerS: 0, concurrent: 0}),
  });
  let granted = 0;
  for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
    const admission = limiter.tryAdmit('a', LIMITS, nowMs);
    if (admission.kind === 'refused') continue;
    granted++;
    admission.release();
  }
  assert.ok(granted >= LIMITS.requestsPerS * 20, `${granted}`);
});

test('open requests of a client account are bounded, and a refusal has a retry delay', () => {
  const limiter = createAccountLimiter();
  const limits = {requestsPerS: 10, burst: 100, maxConcurrent: 3};
  const first = limiter.tryAdmit('a', limits, 0);
  limiter.tryAdmit('a', limits, 0);
  limiter.tryAdmit('a', limits, 0);
  const refused = limiter.tryAdmit('a', limits, 0);
  assert.ok(refused.kind === 'refused' && refused.retryAfterMs > 0);
  assert.ok(first.kind === 'admitted');
  first.release();
  first.release();
  assert.equal(limiter.tryAdmit('a', limits, 1).kind, 'admitted');
  assert.equal(limiter.tryAdmit('a', limits, 1).kind, 'refused');
});

test('the limiter keeps bounded state for 39,000 client accounts', () => {
  const limiter = createAccountLimiter({capacity: 5_000});
  for (let index = 0; index < 39_000; index++) {
    const admission = limiter.tryAdmit(`a${index}`, LIMITS, index * 10);
    if (admission.kind === 'admitted') admission.release();
  }
  assert.ok(limiter.getSize() <= 5_500, `${limiter.getSize()}`);
});

function isInTime(outcome: Outcome): boolean {
  return (
    outcome.end !== undefined &&
    outcome.closedAtMs <= outcome.request.deadlineAtMs
  );
}
