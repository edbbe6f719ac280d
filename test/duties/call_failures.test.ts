/** When a node leaves a duty to others: the same at the grant of usage reports and in the succession of server orders. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  type Authority,
  createDutyGrant,
  type DutyFailure,
} from '../../src/duties';
import {createVirtualClock} from '../../src/runtime';
import {createSuccession} from '../../src/scaling/succession';
import {SILENT_LOGGER} from '../gateway/support';

type End = DutyFailure['kind'] | 'success';
/** Ends of calls with the time before each, in milliseconds, and whether the duty is left to others after the last. */
const CASES: ReadonlyArray<
  readonly [name: string, ends: ReadonlyArray<readonly [number, End]>, boolean]
> = [
  [
    'shorter than 2 s',
    [
      [0, 'unavailable'],
      [1_999, 'unavailable'],
    ],
    false,
  ],
  [
    'for 2 s',
    [
      [0, 'unavailable'],
      [2_000, 'unavailable'],
    ],
    true,
  ],
  [
    'with a success between',
    [
      [0, 'unavailable'],
      [1_000, 'success'],
      [1_500, 'unavailable'],
    ],
    false,
  ],
  // A platform that refuses a number or has no servers answers this node.
  ...(['fenced', 'none-available'] as const).map(
    kind =>
      [
        `with ${kind} between`,
        [
          [0, 'unavailable'],
          [1_000, kind],
          [1_500, 'unavailable'],
        ],
        false,
      ] as const,
  ),
  // A call that is held back at the node, or not sent, shows nothing of the platform.
  [
    'with limited between',
    [
      [0, 'unavailable'],
      [1_000, 'limited'],
      [1_500, 'unavailable'],
    ],
    true,
  ],
  [
    'only refused for their number',
    [
      [0, 'limited'],
      [3_000, 'limited'],
    ],
    false,
  ],
];

for (const [name, ends, expected] of CASES) {
  test(`calls that fail ${name} ${expected ? 'end' : 'do not end'} a duty`, async () => {
    const clock = createVirtualClock();
    const releases: number[] = [];
    const authority = {
      tryAcquire: () => assert.fail('not asked'),
      release: (durationMs: number) => releases.push(durationMs),
    } as unknown as Authority;
    const duty = createDutyGrant({authority, clock, logger: SILENT_LOGGER});
    const succession = createSuccession({
      nodeName: 'a',
      leaseMs: 0,
      startedAtMs: 0,
      countNodesBefore: () => 0,
    });
    const yielded: boolean[] = [];
    for (const [afterMs, end] of ends) {
      await clock.advance(afterMs);
      if (end === 'success') duty.recordSuccess();
      else {
        const failure = {kind: end, mayHaveTakenEffect: false, message: ''};
        duty.recordFailure(failure);
      }
      if (end === 'expired') continue;
      const outcome = end === 'success' ? 'ordered' : end;
      yielded.push(succession.recordOutcome(outcome, clock.getMonotonicMs()));
    }
    assert.deepEqual(releases, expected ? [10_000] : []);
    assert.equal(yielded.at(-1), expected);
    const nowMs = clock.getMonotonicMs();
    assert.equal(succession.canAct(nowMs + 9_999), !expected);
    assert.ok(succession.canAct(nowMs + 10_000));
  });
}
