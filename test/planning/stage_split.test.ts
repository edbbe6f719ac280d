/** Tests of the prefill/decode split of a service's engines under loads whose mix shifts. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createStageDemandMeter,
  NO_STAGE_DEMAND,
  planSplit,
  type SplitInput,
  type StageLoad,
} from '../../src/planning';
import {createVirtualClock} from '../../src/runtime';

const ENGINES = 13;

function plan(load: StageLoad, more: Partial<SplitInput> = {}) {
  return planSplit({
    load,
    engines: ENGINES,
    currentDecode: 3,
    defaultDecode: 3,
    minDecode: 2,
    ...more,
  });
}

test('the default split is kept when it is the best one or when no stage is busy', () => {
  const busy = {prefillEngines: 8, decodeEngines: 1.7};
  assert.equal(plan(busy).generating, 3);
  assert.equal(plan(busy).cause, 'the default split fits the load');
  const calm = {prefillEngines: 1, decodeEngines: 0.9};
  assert.equal(plan(calm).cause, 'no stage is busy');
});

test('a shift of the mix changes only a fraction of the engines at once', () => {
  const outputs = plan({prefillEngines: 2, decodeEngines: 5});
  assert.equal(outputs.best, 9);
  assert.equal(outputs.generating, 5);
  const prompts = plan(
    {prefillEngines: 9, decodeEngines: 0.5},
    {currentDecode: 6, defaultDecode: 6},
  );
  assert.equal(prompts.best, 2);
  assert.equal(prompts.generating, 4);
});

test('a small gain causes no change', () => {
  const declined = plan({prefillEngines: 9.5, decodeEngines: 1.2});
  assert.equal(declined.best, 2);
  assert.equal(declined.generating, 3);
  assert.equal(declined.cause, 'another split gains too little');
});

test('the split returns to the default one when no stage is short of engines', () => {
  const load = {prefillEngines: 5, decodeEngines: 0.1};
  for (const currentDecode of [0, 1, 6, ENGINES]) {
    assert.equal(plan(load, {currentDecode}).generating, 3);
  }
});

test('short bursts cause no stage change; a lasting shift of the load is followed', async () => {
  const clock = createVirtualClock();
  const meter = createStageDemandMeter(clock);
  let generating = 3;
  let changes = 0;

  /**
   * Records one second of load, given as the number of engines it keeps busy, and plans every 250
   * ms.
   */
  async function run(prefillEngines: number, decodeEngines: number) {
    for (let quarter = 0; quarter < 4; quarter++) {
      meter.record('llm', {
        ...NO_STAGE_DEMAND,
        readMs: prefillEngines * 250,
        slotMs: decodeEngines * 250,
        memoryTokenMs: 0,
        moveMs: 0,
      });
      await clock.advance(250);
      const [{demand}] = meter.list();
      const load = {
        prefillEngines: demand.readMs / 1_000,
        decodeEngines: demand.slotMs / 1_000,
      };
      const planned = plan(load, {currentDecode: generating}).generating;
      if (planned !== generating) changes++;
      generating = planned;
    }
  }

  for (let second = 0; second < 60; second++) {
    const isBurst = second % 6 < 3;
    await run(isBurst ? 7 : 5, isBurst ? 1.2 : 2.4);
  }
  assert.equal(changes, 0);
  for (let second = 0; second < 60; second++) await run(3, 5);
  // DECODE_HEADROOM is 1.2.
  assert.ok(generating >= 1.2 * 5, `${generating} generate`);
  const after = changes;
  for (let second = 0; second < 60; second++) await run(9, 0.8);
  assert.ok(generating <= 3, `${generating} generate`);
  assert.ok(changes - after <= 5, `${changes - after} changes`);
});

test('a load that shifts each minute is served at least 95% as well as by the best fixed split in hindsight', async () => {
  const phases: StageLoad[] = [
    {prefillEngines: 9, decodeEngines: 1},
    {prefillEngines: 3, decodeEngines: 5},
  ];
  /** Returns the fraction of the load of both stages that a split serves. */
  const serve = ({prefillEngines, decodeEngines}: StageLoad, count: number) =>
    (Math.min(prefillEngines, ENGINES - count) +
      Math.min(decodeEngines, count)) /
    (prefillEngines + decodeEngines);
  const clock = createVirtualClock();
  const meter = createStageDemandMeter(clock);
  const fixed = Array.from({length: ENGINES}, () => 0);
  let followed = 0;
  let generating = 3;
  /** Engines are unavailable for some seconds during a change. */
  let unavailableUntilMs = 0;
  for (let second = 0; second < 240; second++) {
    const load = phases[Math.floor(second / 60) % 2];
    meter.record('llm', {
      ...NO_STAGE_DEMAND,
      readMs: load.prefillEngines * 1_000,
      slotMs: load.decodeEngines * 1_000,
      memoryTokenMs: 0,
      moveMs: 0,
    });
    await clock.advance(1_000);
    for (let count = 1; count < ENGINES; count++) {
      fixed[count] += serve(load, count);
    }
    const nowMs = clock.getMonotonicMs();
    followed +=
      serve(load, generating) * (nowMs < unavailableUntilMs ? 0.85 : 1);
    const [{demand}] = meter.list();
    const planned = plan(
      {
        prefillEngines: demand.readMs / 1_000,
        decodeEngines: demand.slotMs / 1_000,
      },
      {currentDecode: generating},
    ).generating;
    if (planned === generating || nowMs < unavailableUntilMs) continue;
    generating = planned;
    unavailableUntilMs = nowMs + 3_000;
  }
  const best = Math.max(...fixed);
  assert.ok(followed >= 0.95 * best, `${followed} of ${best}`);
});
