/** Limits on what a process holds for callers that read or write slowly, on a clock that the tests advance. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  computeMemoryLimits,
  computeReadLimitMs,
  createAnswerBudget,
  createBodyBudget,
  createReadTurns,
  createByteCollector,
  type SlowAnswer,
} from '../../src/memory';

function createTestClock() {
  let nowMs = 0;
  return {
    getMonotonicMs: () => nowMs,
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
}

/** Adds an answer of which `held` bytes wait for the caller; `remaining` are still at the server. */
function createAnswer(held: number, remaining: number | undefined) {
  const ended: string[] = [];
  const state = {held, taken: 0, remaining};
  const answer: SlowAnswer = {
    getHeldBytes: () => state.held,
    getTakenBytes: () => state.taken,
    tryGetRemainingBytes: () => state.remaining,
    getLimitMs: () => 12_000,
    end: reason => ended.push(reason),
  };
  return {answer, state, ended};
}

test('the rest of a short answer is read ahead, that of a long one is not', () => {
  const budget = createAnswerBudget({
    clock: createTestClock(),
    limits: {answerBytes: 1_000_000},
  });
  assert.equal(budget.update(createAnswer(65_536, 150_000).answer), true);
  assert.equal(budget.update(createAnswer(65_536, 4_000_000).answer), false);
  assert.equal(budget.update(createAnswer(16_000, undefined).answer), true);
  assert.equal(budget.update(createAnswer(80_000, undefined).answer), false);
});

// Guards against ending callers that read steadily while as much is added as they take.
test('a caller is ended when it takes nothing for its limit, and only then', () => {
  const clock = createTestClock();
  const budget = createAnswerBudget({clock, limits: {answerBytes: 1_000_000}});
  const idle = createAnswer(65_536, 4_000_000);
  const reading = createAnswer(65_536, 4_000_000);
  for (const {answer} of [idle, reading]) budget.update(answer);
  for (let second = 0; second < 12; second++) {
    assert.deepEqual(idle.ended, []);
    clock.advance(1_000);
    reading.state.taken += 1;
    budget.sweep();
  }
  assert.deepEqual(idle.ended, ['stalled']);
  assert.deepEqual(reading.ended, []);
  assert.equal(budget.count(), 1);
});

test('what is held stays within the budget; callers that have taken nothing for the longest time are ended first', () => {
  const clock = createTestClock();
  const budget = createAnswerBudget({clock, limits: {answerBytes: 500_000}});
  const answers = [1, 2, 3].map(() => createAnswer(65_536, 4_000_000));
  for (const {answer} of answers.slice(0, 2)) {
    budget.update(answer);
    clock.advance(100);
  }
  answers[0].state.taken = 10;
  budget.update(answers[2].answer);
  assert.deepEqual(
    answers.map(({ended}) => ended.length),
    [0, 1, 0],
  );
  assert.ok(budget.getHeldBytes() <= 500_000);
  for (const {answer} of answers) budget.remove(answer);
  assert.equal(budget.getHeldBytes(), 0);
});

test('a body that is received slowly makes room for one that is not', () => {
  const clock = createTestClock();
  const budget = createBodyBudget({clock, limits: {bodyBytes: 1_000}});
  const refused: string[] = [];
  const add = (name: string) => budget.add(() => refused.push(name));
  const slow = add('slow');
  assert.ok(slow.tryGrow(600));
  clock.advance(2_000);
  const small = add('small');
  assert.ok(small.tryGrow(10));
  assert.deepEqual(refused, []);
  const quick = add('quick');
  assert.ok(quick.tryGrow(500));
  assert.deepEqual(refused, ['slow']);
  quick.complete();
  // No other body is slow, so the one that needs the memory is refused.
  assert.equal(small.tryGrow(600), false);
  assert.deepEqual(refused, ['slow']);
  assert.equal(budget.getHeldBytes(), 500);
});

// Guards against bodies of callers that have left while their calls go on, and against counting them for ever.
test('a body is accounted for until the last of its holders releases it, once', () => {
  const budget = createBodyBudget({
    clock: createTestClock(),
    limits: {bodyBytes: 1_000},
  });
  const body = budget.add(() => assert.fail());
  body.tryGrow(700);
  body.complete();
  const releaseCall = body.hold();
  body.release();
  body.release();
  assert.equal(budget.getHeldBytes(), 700);
  releaseCall();
  assert.equal(budget.getHeldBytes(), 0);
});

test('a body of parts of a byte takes no more than twice its length, and keeps its bytes', () => {
  const text = Array.from({length: 10_000}, (_, index) => index % 10).join('');
  let grownBytes = 0;
  const collector = createByteCollector({
    tryGrow: bytes => {
      grownBytes += bytes;
      return true;
    },
  });
  for (const char of text) collector.add(Buffer.from(char));
  assert.equal(collector.read().toString(), text);
  assert.ok(grownBytes <= 2 * text.length);
  const limited = createByteCollector({
    statedBytes: 5_000,
    tryGrow: bytes => bytes <= 4_096,
  });
  assert.equal(limited.add(Buffer.alloc(1)), true);
  assert.equal(limited.add(Buffer.alloc(4_999)), true);
  assert.equal(limited.read().length, 5_000);
});

test('the limits leave room for the process itself on VMs of all sizes', () => {
  for (const memoryMb of [64, 128, 202, 602, 4_096]) {
    const {bodyBytes, answerBytes} = computeMemoryLimits(memoryMb);
    const heldMb = (bodyBytes + answerBytes) / 1_048_576;
    assert.ok(heldMb <= memoryMb * 0.4, `${heldMb} of ${memoryMb}`);
    assert.ok(bodyBytes > 4_194_304 || memoryMb < 128);
  }
});

test('a caller may take nothing for longer than it waits by itself', () => {
  const limitMs = (objectiveMs: number, pauseObjectiveMs: number) =>
    computeReadLimitMs({objectiveMs, pauseObjectiveMs});
  assert.equal(limitMs(0, 0), 12_000);
  assert.equal(limitMs(1_000, 100), 14_000);
  assert.equal(limitMs(300, 700), 15_600);
});

test('long answers are read a few parts at a turn, medium ones first, and short ones at once', () => {
  const turns: Array<() => void> = [];
  const reads: string[] = [];
  const {submit, count} = createReadTurns(callback => turns.push(callback));
  for (let index = 0; index < 3; index++) {
    submit(1_000_000, () => reads.push('long'));
  }
  for (let index = 0; index < 4; index++) {
    submit(200_000, () => reads.push('medium'));
  }
  submit(1_000, () => reads.push('short'));
  assert.deepEqual(reads.splice(0), ['short']);
  // Guards against many answers that are read in one turn, and against long ones that are never read.
  for (let turn = 0; turn < 3; turn++) {
    assert.equal(turns.length, 1);
    turns.shift()?.();
    assert.ok(reads.splice(0).includes('long'), String(turn));
  }
  assert.equal(count() + turns.length, 0);
});
