/** Non-idempotent requests run at most once under random schedules of faults. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type Booking,
  type BookingAnswer,
  type ClaimsCluster,
  type Fault,
  startClaimsCluster,
} from '../support/claims_cluster';

const NODES = 4;
const KEYS = 3;
const RECOVERY_MS = 12_000;
const RUNS = 150;
const SEED = 4_748;
/** Kinds of answers that tell the caller that the request did not run. */
const NOT_RUN_KINDS = new Set([
  'unavailable',
  'conflict',
  'expired',
  'refused',
]);

interface Step {
  readonly atMs: number;
  readonly action:
    | {readonly kind: 'book'; readonly node: number; readonly booking: Booking}
    | {readonly kind: 'fault'; readonly fault: Fault};
}

const nodeIndex = fc.nat(NODES - 1);
const duration = fc.integer({min: 1, max: 6_000});
const bookingAction = fc.record({
  kind: fc.constant('book' as const),
  node: nodeIndex,
  booking: fc.record({
    key: fc.nat(KEYS - 1).map(index => `key-${index}`),
    timeoutMs: fc.integer({min: 5, max: 3_000}),
    isRefused: fc.integer({min: 0, max: 9}).map(value => value === 0),
  }),
});
const faultAction = fc.record({
  kind: fc.constant('fault' as const),
  fault: fc.oneof(
    fc.record({
      kind: fc.constant('pause' as const),
      node: nodeIndex,
      forMs: duration,
    }),
    // The last node is never killed, so that each key can be sent to it at the end.
    fc.record({kind: fc.constant('kill' as const), node: fc.nat(NODES - 2)}),
    fc.record({
      kind: fc.constant('cut' as const),
      node: nodeIndex,
      forMs: duration,
    }),
    fc.record({kind: fc.constant('log-outage' as const), forMs: duration}),
    fc.record({
      kind: fc.constant('log-delay' as const),
      delayMs: fc.integer({min: 1, max: 1_500}),
      forMs: duration,
    }),
    fc.record({
      kind: fc.constant('lost-replies' as const),
      count: fc.integer({min: 1, max: 4}),
    }),
  ),
});
/** Times lie within 40 ms of one of six moments, so that faults hit bookings in flight. */
const stepTime = fc
  .tuple(fc.nat(5), fc.integer({min: 0, max: 40}))
  .map(([slot, offset]) => slot * 2_000 + offset);
const step: fc.Arbitrary<Step> = fc.record({
  atMs: stepTime,
  action: fc.oneof(
    {weight: 3, arbitrary: bookingAction},
    {weight: 2, arbitrary: faultAction},
  ),
});

test('no schedule of faults runs a key twice or runs a refused request', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: 4, maxLength: 24}),
      async steps => {
        const cluster = startClaimsCluster({nodes: NODES});
        await cluster.clock.advance(50);
        await runSchedule(cluster, steps);
        await cluster.clock.advance(RECOVERY_MS);
        const finalAnswers = await sendEachKey(cluster);
        checkGuarantees(cluster, finalAnswers);
        cluster.stop();
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

async function runSchedule(
  cluster: ClaimsCluster,
  steps: readonly Step[],
): Promise<void> {
  const startMs = cluster.clock.getMonotonicMs();
  const ordered = [...steps].sort((left, right) => left.atMs - right.atMs);
  for (const {atMs, action} of ordered) {
    await cluster.clock.runUntil(startMs + atMs);
    if (action.kind === 'fault') cluster.applyFault(action.fault);
    else void cluster.getNode(action.node).book(action.booking);
  }
}

async function sendEachKey(
  cluster: ClaimsCluster,
): Promise<readonly BookingAnswer[]> {
  const answers: Array<Promise<BookingAnswer>> = [];
  for (let index = 0; index < KEYS; index++) {
    answers.push(cluster.getNode(NODES - 1).book({key: `key-${index}`}));
    await cluster.clock.advance(5_000);
  }
  return Promise.all(answers);
}

function checkGuarantees(
  cluster: ClaimsCluster,
  finalAnswers: readonly BookingAnswer[],
): void {
  const {answers, runs} = cluster;
  const requestsRun = new Set(runs.map(run => run.request));
  const runByKey = new Map(runs.map(run => [run.key, run.request]));
  assert.equal(runByKey.size, runs.length, 'a key ran twice');
  for (const {request, kind, key, body} of answers) {
    if (NOT_RUN_KINDS.has(kind)) {
      assert.ok(!requestsRun.has(request), `${request} was refused and ran`);
    }
    if (kind === 'ran' || kind === 'answered') {
      assert.equal(body, `run ${runByKey.get(key)}`);
    }
  }
  for (const {kind} of finalAnswers) {
    assert.ok(['ran', 'answered', 'unresolved'].includes(kind), kind);
  }
}
