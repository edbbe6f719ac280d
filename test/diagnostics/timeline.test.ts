/** Tests of the time line: event order with skewed clocks, explanations, and reported gaps. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  compareTimes,
  createEventRing,
  EventKind,
  type EventRing,
  formatEngineExplanation,
  formatLeaseExplanation,
  formatRequestExplanation,
  mergeTimeline,
  renderTimelineHtml,
  type TimelineEvent,
} from '../../src/diagnostics';
import {createVirtualClock} from '../../src/runtime';

const QUERY_TIME_MS = Date.parse('2026-12-05T02:10:00Z');

function createEvent(
  wallMs: number,
  kind: string,
  cause: string,
  rest: Partial<TimelineEvent> = {},
): TimelineEvent {
  return {at: {wallMs, counter: 0}, node: 'node-1', kind, cause, ...rest};
}

function mergeEvents(events: readonly TimelineEvent[], gaps = false) {
  return mergeTimeline({
    pages: [{node: 'node-1', dropped: 0, events}],
    unreachable: gaps ? [{node: 'node-2', reason: 'no answer'}] : [],
  });
}

test('a received event is ordered after the send under any clock skew', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: -5_000, max: 5_000}), {
        minLength: 3,
        maxLength: 3,
      }),
      fc.array(fc.tuple(fc.nat(2), fc.nat(2), fc.nat(50)), {maxLength: 30}),
      (skews, sends) => {
        let nowMs = 100_000;
        const rings = skews.map((skewMs, index) =>
          createSkewedRing(`node-${index}`, () => nowMs + skewMs),
        );
        for (const [from, to, gapMs] of sends) {
          nowMs += gapMs;
          rings[from].emit({kind: 'sent', cause: ''});
          const stamp = rings[from].getTime();
          rings[to].observe(stamp);
          rings[to].emit({kind: 'received', cause: ''});
          assert.ok(compareTimes(rings[to].getTime(), stamp) > 0);
        }
        const {events} = mergeTimeline({
          pages: rings.map((ring, index) => ({
            node: `node-${index}`,
            dropped: 0,
            events: ring.list(),
          })),
        });
        assert.equal(events.length, 2 * sends.length);
        for (let index = 1; index < events.length; index++) {
          assert.ok(compareTimes(events[index - 1].at, events[index].at) <= 0);
        }
      },
    ),
    {seed: 6, numRuns: 100},
  );
});

function createSkewedRing(node: string, getWallMs: () => number): EventRing {
  const clock = {...createVirtualClock(), getWallMs};
  return createEventRing({clock, node});
}

test('the explanation of a refused request names its engines, failures and cause', () => {
  const requestId = 'req-17';
  const timeline = mergeEvents([
    createEvent(1, EventKind.RequestSent, 'prefill', {
      requestId,
      engine: 'engine-1',
    }),
    createEvent(2, EventKind.AttemptFailed, 'connection reset', {
      requestId,
      engine: 'engine-1',
    }),
    createEvent(3, EventKind.RequestRefused, 'deadline cannot be met', {
      requestId,
    }),
  ]);
  assert.equal(
    formatRequestExplanation(timeline, requestId),
    'Request req-17; was sent to engine-1; failed at engine-1 (connection reset); was refused by node-1: deadline cannot be met.',
  );
});

test('an explanation without events lists the unreachable processes', () => {
  const timeline = mergeEvents([], true);
  assert.match(
    formatRequestExplanation(timeline, 'req-1'),
    /no event of it is known\. Missing: node-2 \(no answer\)\./,
  );
});

test('the explanation of an engine lists its role changes and the latest declined one', () => {
  const timeline = mergeEvents([
    createEvent(1, EventKind.RoleTarget, 'decode to prefill: gains 0.2', {
      engine: 'engine-3',
    }),
    createEvent(2, EventKind.RoleChangeDeclined, 'below safe capacity', {
      engine: 'engine-3',
    }),
  ]);
  const answer = formatEngineExplanation(timeline, 'engine-3');
  assert.match(answer, /role-target by node-1: decode to prefill/);
  assert.match(answer, /declined: below safe capacity/);
});

test('the explanation of a lease names its holder at the given time', () => {
  const shard = 'sk-west-1';
  const events = [
    createEvent(QUERY_TIME_MS - 9_000, EventKind.LeaseGranted, 'term 7', {
      shard,
      node: 'node-4',
    }),
    createEvent(QUERY_TIME_MS + 1, EventKind.LeaseGranted, 'term 9', {
      shard,
      node: 'node-5',
    }),
  ];
  assert.equal(
    formatLeaseExplanation(mergeEvents(events), shard, QUERY_TIME_MS),
    'Lease sk-west-1 at 2026-12-05T02:10:00.000Z: held by node-4 from 2026-12-05T02:09:51.000Z+0 (term 7).',
  );
  const other = createEvent(QUERY_TIME_MS - 2, EventKind.LeaseLost, 'old', {
    shard,
    node: 'node-3',
  });
  const lapsed = createEvent(QUERY_TIME_MS - 1, EventKind.LeaseLost, 'paused', {
    shard,
    node: 'node-4',
  });
  const withOther = mergeEvents([events[0], other]);
  assert.match(
    formatLeaseExplanation(withOther, shard, QUERY_TIME_MS),
    /held by node-4/,
  );
  const withLapse = mergeEvents([events[0], other, lapsed], true);
  assert.match(
    formatLeaseExplanation(withLapse, shard, QUERY_TIME_MS),
    /no known holder; previously held by node-4 .*\(paused\)\. Missing: node-2/,
  );
});

test('dropped and excess events are reported as gaps', () => {
  const events = [1, 2, 3].map(wallMs => createEvent(wallMs, 'x', ''));
  const timeline = mergeTimeline({
    pages: [{node: 'node-1', dropped: 4, events}],
    maxEvents: 2,
  });
  assert.deepEqual(
    timeline.events.map(event => event.at.wallMs),
    [2, 3],
  );
  assert.equal(timeline.gaps.length, 2);
});

test('text of an event cannot inject HTML into the page', () => {
  const page = renderTimelineHtml(
    mergeEvents([createEvent(1, 'x', '</script><img src=x>')]),
    'title',
  );
  assert.equal(page.includes('</script><img'), false);
  assert.equal(page.includes('<img src=x>'), false);
});
