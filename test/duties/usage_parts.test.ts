/** Tests the parts of usage reports one by one: time, counting, messages, records and timing. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {createUsageDuty, type UsageRecord} from '../../src/duties';
import {createFleetTime} from '../../src/duties/fleet_time';
import {createUsageLedger} from '../../src/duties/usage_ledger';
import {
  isUsageMessage,
  splitCounts,
  type UsagePeerMessage,
} from '../../src/duties/usage_messages';
import {createUsageMeter} from '../../src/duties/usage_meter';
import {chooseWindowStep, WindowStep} from '../../src/duties/usage_timing';
import {createAnswerRelay} from '../../src/gateway/answer_relay';
import type {RequestTask} from '../../src/gateway/request_task';
import {createBackendProtocol} from '../../src/platform';
import {createVirtualClock} from '../../src/runtime';
import {SILENT_LOGGER, SILENT_STORE} from '../gateway/support';

const START_MS = 1_800_000_000_000;

/** A node whose wall clock can jump and whose monotonic clock can stop, as in a suspended VM. */
function createTime() {
  const virtual = createVirtualClock({wallStartMs: START_MS});
  const state = {jumpMs: 0, suspendedMs: 0};
  const clock = {
    ...virtual,
    getMonotonicMs: () => virtual.getMonotonicMs() - state.suspendedMs,
    getWallMs: () => virtual.getWallMs() + state.jumpMs,
  };
  const time = createFleetTime(clock);
  const hear = (delayMs = 0) => {
    for (const name of ['a', 'b', 'c']) {
      time.recordSample(name, virtual.getWallMs() - delayMs);
    }
  };
  return {virtual, clock, state, time, hear};
}

test('time follows the other nodes when the wall clock jumps, and the wall clock after a suspension', async () => {
  const {virtual, state, time, hear} = createTime();
  hear(5);
  assert.equal(time.getTimeMs(), START_MS);
  state.jumpMs = -7_000;
  assert.ok(!time.isSettled());
  assert.ok(Math.abs(time.getTimeMs() - virtual.getWallMs()) <= 10);
  state.jumpMs = 0;
  await virtual.advance(6_000);
  state.suspendedMs = 6_000;
  hear();
  assert.equal(time.getTimeMs(), virtual.getWallMs());
  // Messages that waited while the process was frozen state too early a time.
  hear(4_000);
  await virtual.advance(200);
  assert.equal(time.getTimeMs(), virtual.getWallMs());
});

test('requests that begin before the time is settled are counted in their true window', async () => {
  const {virtual, clock, state, time, hear} = createTime();
  const meter = createUsageMeter({clock, time, windowMs: 5_000});
  hear();
  state.jumpMs = 60_000;
  meter.recordStart('__proto__');
  hear();
  meter.recordStart('a');
  const windowId = Math.floor(virtual.getWallMs() / 5_000);
  assert.deepEqual(
    [...meter.getCounts(windowId)],
    [
      ['__proto__', 1],
      ['a', 1],
    ],
  );
});

test('counts of any number of accounts fit into datagrams and come out as they were', () => {
  const counts = new Map([['__proto__', 3]]);
  for (let index = 0; index < 500; index++)
    counts.set(`kontö-"${index}`, index);
  const parts = splitCounts(counts);
  const message = {
    kind: 'usage',
    from: 'n'.repeat(40),
    wallMs: START_MS + 0.123456,
  };
  for (const part of parts) {
    const text = JSON.stringify({
      ...message,
      incarnation: '1800000000000-4294967295',
      windowId: 360_000_000,
      counts: part,
      total: 1e6,
      isFinal: true,
    });
    assert.ok(Buffer.byteLength(text) <= 1_400);
  }
  const merged = parts.flatMap(part =>
    Object.entries(JSON.parse(JSON.stringify(part)) as object),
  );
  assert.deepEqual(new Map(merged), counts);
});

test('malformed messages are refused', () => {
  const valid = {
    kind: 'usage',
    from: 'a',
    incarnation: 'i',
    windowId: 1,
    counts: {a: 1},
    total: 1,
    isFinal: true,
    wallMs: 1,
  };
  assert.ok(isUsageMessage(valid as UsagePeerMessage));
  const done = {
    kind: 'usage-done',
    from: 'a',
    windowIds: [1],
    era: 0,
    fencingNumber: 1,
  };
  assert.ok(isUsageMessage(done as UsagePeerMessage));
  const bad = [
    {...valid, from: 1},
    {...valid, windowId: 1.5},
    {...valid, counts: null},
    {...valid, counts: {a: -1}},
    {...valid, counts: {a: '1'}},
    {...valid, wallMs: null},
    {...done, windowIds: 3},
    {...done, fencingNumber: NaN},
    {kind: 'usage-other', from: 'a'},
  ];
  for (const message of bad) {
    assert.ok(
      !isUsageMessage(message as unknown as UsagePeerMessage),
      JSON.stringify(message),
    );
  }
});

function createRecord(windowId: number, count = 1): UsageRecord {
  return {windowId, counts: {a: count}, fencingNumber: 1};
}

function createRecordStore() {
  const records: UsageRecord[] = [];
  const state = {reads: 0, losesAnswer: false};
  const store = {
    readUsage: async (from: number) => {
      state.reads++;
      return Ok({records: records.slice(from), endOffset: records.length});
    },
    appendUsage: async (added: readonly UsageRecord[], end: number) => {
      if (records.length !== end)
        return Err({...SILENT_STORE, kind: 'conflict' as const});
      records.push(...added);
      return state.losesAnswer ? Err(SILENT_STORE) : Ok(records.length);
    },
  };
  return {records, state, store};
}

test('a window has one record, whoever writes it and whichever answers are lost', async () => {
  const {records, state, store} = createRecordStore();
  const [first, second] = [createUsageLedger(store), createUsageLedger(store)];
  state.losesAnswer = true;
  assert.ok((await first.writeOnce(createRecord(1, 5))).err);
  state.losesAnswer = false;
  assert.equal(
    (await second.writeOnce(createRecord(1, 6))).unwrap().counts['a'],
    5,
  );
  assert.equal(
    (await first.writeOnce(createRecord(1, 7))).unwrap().counts['a'],
    5,
  );
  assert.equal(records.length, 1);
  const {reads} = state;
  for (let id = 2; id < 9; id++) await first.writeOnce(createRecord(id));
  assert.equal(state.reads, reads, 'a steady holder reads nothing');
});

test('records that the store lost are written again once, before the next one', async () => {
  const {records, store} = createRecordStore();
  const ledger = createUsageLedger(store);
  for (let id = 1; id < 4; id++) await ledger.writeOnce(createRecord(id));
  records.length = 1;
  ledger.handleStoreLoss();
  await ledger.writeOnce(createRecord(4));
  await ledger.writeOnce(createRecord(5));
  assert.deepEqual(
    records.map(record => record.windowId),
    [1, 2, 3, 4, 5],
  );
});

test('a record is found although another node states a later end of the topic', async () => {
  const {records, store} = createRecordStore();
  const clock = createVirtualClock({wallStartMs: START_MS});
  const windowId = START_MS / 5_000;
  const sent: unknown[] = [];
  const duty = createUsageDuty({
    nodeName: 'b',
    clock,
    logger: SILENT_LOGGER,
    authority: {
      tryAcquire: async () => Ok({fencingNumber: 7, isValid: () => true}),
      recordGrant: () => undefined,
      release: () => undefined,
    },
    client: {
      sendUsage: async report => {
        sent.push(report);
        return Ok.EMPTY;
      },
    },
    store,
    windowMs: 5_000,
    dueMs: 10_000,
    listNames: () => [],
    send: () => undefined,
    notify: () => undefined,
    getRandom: Math.random,
  });
  duty.start();
  duty.recordStart('a');
  records.push(createRecord(windowId, 9), createRecord(windowId + 1));
  await clock.advance(5_200);
  // The sender knows the first window's record, but not that its report is missing.
  duty.handle({
    kind: 'usage-done',
    from: 'a',
    windowIds: [windowId + 1],
    endOffset: 2,
    era: 0,
    fencingNumber: 6,
  });
  await clock.advance(4_000);
  duty.stop();
  assert.deepEqual(sent, [{windowId, counts: {a: 9}}]);
});

test('a window is reported when all counts are there, later by nodes that come later or know less', () => {
  const situation = {
    elapsedMs: 0,
    dueMs: 10_000,
    isReceiver: true,
    missingCount: 0,
    heardCount: 10,
    knownCount: 10,
    earlierCount: 0,
    isNew: false,
  };
  const findDelayMs = (changes: Partial<typeof situation>) => {
    for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
      const step = chooseWindowStep({...situation, ...changes, elapsedMs});
      if (step !== WindowStep.Wait) return `${step} ${elapsedMs}`;
    }
    return 'never';
  };
  assert.equal(findDelayMs({}), 'report 1000');
  assert.equal(findDelayMs({earlierCount: 1}), 'report 1700');
  assert.equal(findDelayMs({knownCount: 12}), 'report 2500');
  assert.equal(findDelayMs({missingCount: 1}), 'report 4000');
  assert.equal(findDelayMs({missingCount: 9}), 'report 7000');
  assert.equal(findDelayMs({missingCount: 9, earlierCount: 40}), 'report 8500');
  assert.equal(findDelayMs({isReceiver: false}), 'drop 10000');
});

test('answers count as runs unless they state that nothing ran or belong to another request', () => {
  const countRuns = (status: number, headers: readonly string[] = []) => {
    let runs = 0;
    const relay = createAnswerRelay({
      task: {
        exchange: {
          request: {requestId: 'r'},
          hasAnswerBegun: () => false,
          sendHead: () => undefined,
        },
      } as unknown as RequestTask,
      protocol: createBackendProtocol(),
      isErrorRetryable: () => true,
      isEventStream: false,
      onRun: () => runs++,
      onEnd: () => undefined,
      onFailure: () => undefined,
    });
    const transport = {isFramed: true, isFirst: true};
    relay.onAnswer(
      status,
      ['Anvilstack-Request-Id', 'r', ...headers],
      transport as Parameters<typeof relay.onAnswer>[2],
    );
    return runs;
  };
  for (const status of [200, 404, 500, 504, 503]) {
    assert.equal(countRuns(status), 1, String(status));
  }
  assert.equal(countRuns(503, ['Anvilstack-Not-Executed', '1']), 0);
  assert.equal(countRuns(421), 0);
});
