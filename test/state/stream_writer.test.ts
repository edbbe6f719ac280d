/** Writers and followers with a log that loses answers, is slow, throttles or is unavailable. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {PlatformFailureKind} from '../../src/control_services';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {
  createStreamFollower,
  createStreamWriter,
  type EntryOutcome,
  type StreamFollower,
  type StreamWriter,
} from '../../src/state';
import {
  createLocalLog,
  createLogModel,
  type LogModel,
} from '../../src/standins';
import {type AppendFault, createFaultyLog} from '../support/faulty_log';
import {
  type TallyEntry,
  type TallyState,
  tallyStream,
} from '../support/tally_stream';

const SEED = 42;
const ENTRY_TIMEOUT_MS = 1_000;

interface Harness {
  readonly clock: VirtualClock;
  readonly model: LogModel;
  readonly faults: Array<AppendFault | undefined>;
  readonly health: boolean[];
  readonly follower: StreamFollower<TallyState, TallyEntry>;
  readonly writer: StreamWriter<TallyEntry>;
}

function createHarness(options: {appendsPerS?: number} = {}): Harness {
  const clock = createVirtualClock();
  const model = createLogModel({clock, appendsPerS: options.appendsPerS});
  const faults: Array<AppendFault | undefined> = [];
  const health: boolean[] = [];
  const local = createLocalLog({model, clock, timeoutMs: 100});
  const log = createFaultyLog(local, clock, () => faults.shift());
  const follower = createStreamFollower({
    definition: tallyStream,
    log,
    clock,
    onHealthChange: isHealthy => void health.push(isHealthy),
  });
  const writer = createStreamWriter({follower, log, clock, writer: 'w'});
  follower.start();
  return {clock, model, faults, health, follower, writer};
}

async function stopHarness(harness: Harness): Promise<void> {
  harness.writer.stop();
  harness.follower.stop();
  await harness.clock.advance(10_000);
}

interface Written {
  text: string;
  outcome?: EntryOutcome['kind'];
  failure?: {kind: string; mayHaveTakenEffect: boolean};
}

function writeText(
  harness: Harness,
  text: string,
  timeoutMs: number = ENTRY_TIMEOUT_MS,
): Written {
  const written: Written = {text};
  void harness.writer.write({kind: 'add', text}, timeoutMs).then(answer => {
    if (answer.ok) written.outcome = answer.val.kind;
    else written.failure = answer.val;
  });
  return written;
}

const faultArbitrary = fc.oneof(
  {weight: 3, arbitrary: fc.constant(undefined)},
  {
    weight: 3,
    arbitrary: fc.constantFrom<AppendFault>(
      {kind: 'lost-answer'},
      {kind: 'lost-request'},
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .integer({min: 0, max: 4_000})
      .map((delayMs): AppendFault => ({kind: 'late', delayMs})),
  },
);

test('confirmed entries take effect once and in order, unconfirmed ones at most once', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(faultArbitrary, {maxLength: 30}),
      fc.array(fc.integer({min: 0, max: 700}), {minLength: 1, maxLength: 10}),
      async (faults, pausesMs) => {
        const harness = createHarness();
        harness.faults.push(...faults);
        const written: Written[] = [];
        for (const [index, pauseMs] of pausesMs.entries()) {
          written.push(writeText(harness, String(index)));
          await harness.clock.advance(pauseMs);
        }
        await harness.clock.advance(10_000);
        const {texts} = harness.follower.getState();
        assert.equal(
          new Set(texts).size,
          texts.length,
          'no entry takes effect twice',
        );
        for (const item of written) {
          if (item.outcome === undefined) {
            assert.equal(item.failure?.kind, PlatformFailureKind.Timeout);
            if (item.failure?.mayHaveTakenEffect === false) {
              assert.ok(
                !texts.includes(item.text),
                'reported as without effect',
              );
            }
          } else {
            assert.ok(
              texts.includes(item.text),
              'a confirmed entry is in the state',
            );
          }
        }
        assert.deepEqual(
          texts,
          [...texts].sort((a, b) => Number(a) - Number(b)),
        );
        await stopHarness(harness);
      },
    ),
    {seed: SEED, numRuns: 60},
  );
});

test('an abandoned append that reaches the log after a later one has no effect', async () => {
  const harness = createHarness();
  harness.faults.push({kind: 'late', delayMs: 5_000});
  const first = writeText(harness, 'abandoned', 50);
  await harness.clock.advance(200);
  assert.equal(first.failure?.mayHaveTakenEffect, true);
  const second = writeText(harness, 'later');
  await harness.clock.advance(200);
  assert.equal(second.outcome, 'accepted');
  const appendsBefore = harness.writer.getAppendCount();
  await harness.clock.advance(10_000);
  assert.deepEqual(harness.follower.getState().texts, ['later']);
  assert.equal(harness.follower.getCounts().duplicates, 1);
  assert.equal(harness.writer.getAppendCount(), appendsBefore);
  await stopHarness(harness);
});

test('throttled appends are retried with backoff and all take effect', async () => {
  const harness = createHarness({appendsPerS: 2});
  const written: Written[] = [];
  for (let index = 0; index < 6; index++) {
    written.push(writeText(harness, String(index), 20_000));
    await harness.clock.advance(10);
  }
  await harness.clock.advance(8_000);
  assert.deepEqual(
    written.map(item => item.outcome),
    written.map(() => 'accepted'),
  );
  assert.ok(harness.writer.getAppendCount() < 20);
  await stopHarness(harness);
});

test('a stopped writer fails all entries at once and sends nothing more', async () => {
  const harness = createHarness();
  harness.model.setDown(true);
  const sent = writeText(harness, 'sent', 60_000);
  await harness.clock.advance(100);
  const queued = writeText(harness, 'queued', 60_000);
  harness.writer.stop();
  const after = writeText(harness, 'after', 60_000);
  await harness.clock.advance(0);
  assert.equal(sent.failure?.mayHaveTakenEffect, true);
  assert.equal(queued.failure?.mayHaveTakenEffect, false);
  assert.equal(after.failure?.mayHaveTakenEffect, false);
  harness.model.setDown(false);
  await harness.clock.advance(10_000);
  assert.deepEqual(harness.follower.getState().texts, []);
  await stopHarness(harness);
});

test('a follower survives an outage and a slow log, and reports the age of the last answer', async () => {
  const harness = createHarness();
  writeText(harness, 'before');
  await harness.clock.advance(2_000);
  harness.model.setDown(true);
  const during = writeText(harness, 'during', 120_000);
  await harness.clock.advance(60_000);
  assert.ok(harness.follower.getLogAnswerAgeMs() > 55_000);
  assert.deepEqual(harness.follower.getState().texts, ['before']);
  assert.ok(harness.follower.isCaughtUp(), 'still caught up during the outage');
  harness.model.setDown(false);
  harness.model.setDelay(700);
  await harness.clock.advance(10_000);
  assert.equal(during.outcome, 'accepted');
  assert.deepEqual(harness.follower.getState().texts, ['before', 'during']);
  assert.deepEqual(harness.health, [false, true]);
  await stopHarness(harness);
});

test('a follower whose next record has expired continues at the first one kept', async () => {
  const harness = createHarness();
  await harness.clock.advance(10);
  harness.follower.stop();
  await harness.clock.advance(2_000);
  for (let index = 0; index < 5; index++) {
    harness.model.append(
      'tally',
      JSON.stringify({
        v: 1,
        w: 'x',
        s: index + 1,
        e: [{kind: 'add', text: String(index)}],
      }),
    );
  }
  harness.model.trim('tally', 3);
  harness.follower.start();
  await harness.clock.advance(1_000);
  assert.deepEqual(harness.follower.getState().texts, ['3', '4']);
  assert.equal(harness.follower.getCounts().gaps, 1);
  await stopHarness(harness);
});

test('large entries are split over several records', async () => {
  const harness = createHarness();
  const text = 'x'.repeat(100 * 1_024);
  const written = [1, 2, 3].map(index => writeText(harness, `${index}${text}`));
  await harness.clock.advance(1_000);
  assert.deepEqual(
    written.map(item => item.outcome),
    ['accepted', 'accepted', 'accepted'],
  );
  assert.equal(harness.writer.getAppendCount(), 2);
  await stopHarness(harness);
});
