/** Tests of what a node concludes about an engine whose answer is late. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {BackendCall} from '../../src/gateway/backend_call';
import {createEngineLiveness} from '../../src/gateway/engine_liveness';
import {createPrefillQueues} from '../../src/gateway/prefill_queues';
import {createHealthTracker} from '../../src/gateway/server_health';
import {watchForStall} from '../../src/gateway/stall_watch';
import {createBackendProtocol} from '../../src/platform';
import {createVirtualClock} from '../../src/runtime';
import type {Timer} from '../../src/runtime/types';
import {createEntry, SILENT_LOGGER} from './support';

type Answer = 'report' | 'other-process' | 'misdirected' | 'refused' | 'none';

interface Outcome {
  readonly reason: string;
  readonly atMs: number;
}

/** Watches `calls` calls to one engine, which is asked for its report as `getAnswer` says, and predicted to answer after `predictedMs`. */
function watchCalls(options: {
  readonly getAnswer: (nowMs: number) => Answer;
  readonly calls?: number;
  readonly predictedMs?: number;
  readonly uncachedMs?: number;
  readonly isLimited?: boolean;
  /** Time in which the process runs nothing, from the start of the calls. */
  readonly heldUp?: {readonly fromMs: number; readonly untilMs: number};
  readonly budgetMs?: number;
}) {
  const base = createVirtualClock();
  const {fromMs, untilMs} = options.heldUp ?? {fromMs: 0, untilMs: 0};
  const clock = {
    ...base,
    schedule: (delayMs: number, callback: () => void) => {
      const dueMs = base.getMonotonicMs() + delayMs;
      const isHeldUp = dueMs > fromMs && dueMs < untilMs;
      return base.schedule(
        isHeldUp ? untilMs - base.getMonotonicMs() : delayMs,
        callback,
      );
    },
  };
  const server = createEntry({id: 'p1', startedAtMs: 7});
  const askedAtMs: number[] = [];
  const outcomes: Outcome[] = [];
  let aliveCount = 0;
  const health = createHealthTracker({
    clock,
    logger: SILENT_LOGGER,
    getRandom: () => 0.5,
    onEjected: () => undefined,
  });
  const liveness = createEngineLiveness({
    clock,
    logger: SILENT_LOGGER,
    metrics: {recordLivenessCheck: () => undefined},
    connections: {call: answerCall},
    protocol: createBackendProtocol(),
    health,
    pauses: {isPaused: () => false},
    limits: {isLimited: () => options.isLimited ?? false},
  });
  const startedAtMs = clock.getMonotonicMs();
  for (let index = 0; index < (options.calls ?? 1); index++) {
    watchForStall({
      clock,
      health,
      liveness,
      server,
      predictedMs: options.predictedMs ?? 50,
      uncachedMs: options.uncachedMs ?? 0,
      slackMs: 400,
      getSpareMs: () =>
        startedAtMs + (options.budgetMs ?? 2_000) - clock.getMonotonicMs(),
      onAlive: () => aliveCount++,
      onStall: reason =>
        outcomes.push({reason, atMs: clock.getMonotonicMs() - startedAtMs}),
    });
  }
  return {
    clock,
    health,
    liveness,
    askedAtMs,
    outcomes,
    countAlive: () => aliveCount,
  };

  function answerCall({handler}: BackendCall) {
    askedAtMs.push(clock.getMonotonicMs() - startedAtMs);
    const answer = options.getAnswer(clock.getMonotonicMs() - startedAtMs);
    let timer: Timer = {cancel: () => undefined};
    if (answer === 'refused') {
      timer = clock.schedule(1, () =>
        handler.onFailure({
          verdict: 'not-run',
          reason: 'connect',
          message: 'refused',
        }),
      );
    } else if (answer !== 'none') {
      timer = clock.schedule(5, () => {
        const born = answer === 'other-process' ? 8 : 7;
        handler.onAnswer(answer === 'misdirected' ? 421 : 200, [], {
          isFirst: true,
          isFramed: true,
        });
        handler.onData(Buffer.from(JSON.stringify({seq: 0, born, waiting: 2})));
        handler.onEnd();
      });
    }
    return {
      cancel: () => timer.cancel(),
      setPaused: () => undefined,
      isSent: () => true,
      getEvidence: () => undefined,
    };
  }
}

test('an engine that is late by a prediction but gives its report is not given up', async () => {
  const watch = watchCalls({getAnswer: () => 'report'});
  await watch.clock.advance(1_150);
  assert.deepEqual(watch.outcomes, []);
  assert.ok(watch.countAlive() >= 1);
});

test('an engine that gives no report is stalled 300 ms after it was asked, one that refuses connections at once', async () => {
  const silent = watchCalls({getAnswer: () => 'none'});
  await silent.clock.advance(2_000);
  assert.deepEqual(silent.outcomes, [{reason: 'stalled', atMs: 800}]);
  const refusing = watchCalls({getAnswer: () => 'refused'});
  await refusing.clock.advance(2_000);
  assert.deepEqual(refusing.outcomes, [{reason: 'stalled', atMs: 501}]);
});

test('an engine that goes dark after its first report is found at the next question', async () => {
  const watch = watchCalls({
    predictedMs: 300,
    getAnswer: nowMs => (nowMs < 1_100 ? 'report' : 'none'),
  });
  await watch.clock.advance(4_000);
  assert.equal(watch.outcomes[0].reason, 'stalled');
  // Asked at 1,000 ms, and again 500 ms after that report.
  assert.equal(watch.outcomes[0].atMs, 1_005 + 500 + 300);
});

test('however many calls are late, a node asks an engine at most once in 500 ms', async () => {
  for (const answer of ['report', 'none'] as const) {
    const watch = watchCalls({
      getAnswer: () => answer,
      calls: 200,
      predictedMs: 300,
    });
    await watch.clock.advance(2_000);
    const gaps = watch.askedAtMs
      .slice(1)
      .map((at, i) => at - watch.askedAtMs[i]);
    assert.ok(
      gaps.every(gap => gap >= 500),
      String(watch.askedAtMs),
    );
  }
});

test('a call that hangs at an engine that gives reports is given up, unless the engine completes other calls', async () => {
  const hanging = watchCalls({getAnswer: () => 'report'});
  await hanging.clock.advance(3_000);
  assert.equal(hanging.outcomes[0].reason, 'late');
  const {atMs} = hanging.outcomes[0];
  assert.ok(atMs >= 4 * 50 + 1_000 && atMs <= 4 * 50 + 1_000 + 700, `${atMs}`);
  // A node that has restarted assumes that the engines have kept their caches, and may be wrong.
  const uncached = watchCalls({getAnswer: () => 'report', uncachedMs: 1_000});
  await uncached.clock.advance(4_900);
  assert.deepEqual(uncached.outcomes, []);
  const busy = watchCalls({getAnswer: () => 'report'});
  await busy.clock.advance(700);
  busy.liveness.recordCompletion('p1');
  await busy.clock.advance(2_000);
  assert.deepEqual(busy.outcomes, []);
});

test('a call that hangs is given up at the late limit, wherever the checks before it fall', async () => {
  // Checks at growing intervals passed the limit by up to 700 ms, and callers timed out.
  for (let predictedMs = 5; predictedMs <= 200; predictedMs += 5) {
    const watch = watchCalls({getAnswer: () => 'report', predictedMs});
    await watch.clock.advance(3_000);
    const limitMs = 4 * predictedMs + 1_000;
    const {atMs} = watch.outcomes[0];
    assert.ok(
      atMs >= limitMs && atMs <= limitMs + 50,
      `predicted ${predictedMs}: ${atMs}`,
    );
  }
});

test('an engine with a limit is not asked, and a call to it is moved only when the caller would lose its first event', async () => {
  const watch = watchCalls({getAnswer: () => 'none', isLimited: true});
  await watch.clock.advance(4_000);
  assert.deepEqual(watch.askedAtMs, []);
  assert.equal(watch.outcomes.length, 1);
  assert.equal(watch.outcomes[0].reason, 'moved');
  const {atMs} = watch.outcomes[0];
  assert.ok(atMs >= 1_850 && atMs < 2_000, `${atMs}`);
});

test('a call to a process that another one has replaced is moved without blame', async () => {
  for (const answer of ['other-process', 'misdirected'] as const) {
    const watch = watchCalls({getAnswer: () => answer});
    await watch.clock.advance(2_000);
    assert.deepEqual(watch.outcomes, [{reason: 'moved', atMs: 505}]);
  }
});

test('a process that is held up while it waits for a report does not take that for silence', async () => {
  // What is due from 502 ms on runs at 900 ms, the first tick before the report.
  const watch = watchCalls({
    getAnswer: () => 'report',
    heldUp: {fromMs: 502, untilMs: 900},
  });
  await watch.clock.advance(1_000);
  assert.deepEqual(watch.outcomes, []);
  assert.equal(watch.countAlive(), 1);
});

test('an engine with prompts that this node does not know of has a wait for the next one', () => {
  const queues = createPrefillQueues();
  queues.add({id: 'a', serverId: 'p1', costMs: 100}, 0);
  // After 200 ms the known job should have ended, so its engine would appear idle.
  assert.equal(queues.getWaitMs('p1', 200), 0);
  queues.recordBacklog('p1', 300, 200);
  assert.equal(queues.getWaitMs('p1', 200), 300);
  assert.equal(queues.getWaitMs('p1', 450), 50);
  queues.remove('a', 400);
  assert.equal(queues.getWaitMs('p1', 400), 0);
  queues.recordBacklog('p1', 1_000_000, 450);
  assert.ok(queues.getWaitMs('p1', 450) <= 1_000);
});

test('only a whole number in a report counts as the number of waiting prompts', () => {
  const {parseReport} = createBackendProtocol();
  const parse = (waiting: unknown) =>
    parseReport(Buffer.from(JSON.stringify({seq: 0, waiting})))?.waitingCount;
  assert.equal(parse(3), 3);
  for (const odd of [-1, 1.5, '3', null, [], undefined]) {
    assert.equal(parse(odd), undefined);
  }
});
