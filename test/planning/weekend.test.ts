/** The weekend move under kills, a log outage and amendments, on virtual time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTestTemplate} from '../support/template';
import {
  createWeekend,
  type Weekend,
  WEEKEND_START_MS,
} from '../support/weekend';

/** The weekend's minutes last 20 s, but for the log's outage, which lasts an hour. */
const MINUTE_MS = 20_000;
const HOUR_MS = 3_600_000;
const ACCOUNT = 'studio';
const STAGES = [
  {name: 'copy', kind: 'prepare_weights', minutes: 10, share: 0},
  {name: 'warm', kind: 'warm', minutes: 60, share: 0.05},
  {name: 'half', kind: 'shift', minutes: 80, share: 0.5},
  {name: 'all', kind: 'shift', minutes: 100, share: 1},
  {name: 'drain', kind: 'drain', minutes: 200, share: 1},
  {name: 'done', kind: 'done', minutes: 210, share: 1},
];
const ALL_ENTERED = STAGES.map(stage => `${ACCOUNT}:${stage.name}`);

function createMovingTemplate(changes: Record<string, unknown> = {}): unknown {
  return createTestTemplate({
    move: {
      stages: STAGES.map(({minutes, ...stage}) => ({
        ...stage,
        from: {buildings: ['old']},
        to: {buildings: ['new']},
        gate: {window_s: 20, min_requests: 20},
        starts_at: new Date(
          WEEKEND_START_MS + minutes * MINUTE_MS,
        ).toISOString(),
      })),
      ...changes,
    },
  });
}

/** Publishes or amends through the first process; resolves with the version. */
async function publishMove(
  weekend: Weekend,
  changes: Record<string, unknown> = {},
): Promise<void> {
  const [process] = weekend.processes;
  const template = createMovingTemplate(changes) as ReturnType<
    typeof createTestTemplate
  >;
  const known = process.config.getState().templates.get(ACCOUNT);
  const written = process.configWriter.write(
    known === undefined
      ? {kind: 'template-publish', operator: 'anna', template}
      : {
          kind: 'template-amend',
          operator: 'anna',
          baseVersion: known.current.version,
          template,
        },
    30_000,
  );
  await weekend.clock.advance(2_000);
  const answer = await written;
  assert.ok(answer.ok && answer.val.kind === 'accepted');
}

async function startWeekend(): Promise<Weekend> {
  const weekend = createWeekend([ACCOUNT]);
  await weekend.clock.advance(1_000);
  await publishMove(weekend);
  return weekend;
}

function runToMinute(weekend: Weekend, minute: number): Promise<void> {
  return weekend.clock.runUntil(minute * MINUTE_MS);
}

function countBuildings(weekend: Weekend): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {building} of weekend.requests) {
    counts[building] = (counts[building] ?? 0) + 1;
  }
  return counts;
}

test('a calm weekend goes through its stages at their times and ends', async () => {
  const weekend = await startWeekend();
  await runToMinute(weekend, 9);
  assert.deepEqual(weekend.entered, []);
  await runToMinute(weekend, 59);
  assert.deepEqual(weekend.entered, [`${ACCOUNT}:copy`]);
  await runToMinute(weekend, 240);
  assert.deepEqual(weekend.entered, ALL_ENTERED);
  assert.ok(weekend.isComplete(ACCOUNT));
  assert.equal(countBuildings(weekend)['none'], undefined);
  const late = weekend.requests.filter(
    request => request.atMs > 110 * MINUTE_MS,
  );
  assert.ok(late.every(request => request.building === 'new'));
});

test('the holder is killed at every stage boundary and the move goes on', async () => {
  const weekend = await startWeekend();
  let kills = 0;
  while (weekend.clock.getMonotonicMs() < 260 * MINUTE_MS) {
    await weekend.clock.advance(500);
    const holder = weekend.processes.find(process => process.isHolder());
    if (weekend.getBoundaries() === kills || holder === undefined) continue;
    holder.kill();
    weekend.startProcess(holder.id);
    kills++;
  }
  assert.equal(kills, 2 * STAGES.length);
  assert.ok(weekend.isComplete(ACCOUNT));
  assert.deepEqual(weekend.entered, ALL_ENTERED);
  assert.equal(countBuildings(weekend)['none'], undefined);
});

test('the log is out for an hour and no request notices', async () => {
  const weekend = await startWeekend();
  await runToMinute(weekend, 90);
  const before = weekend.getStage(ACCOUNT);
  weekend.log.setDown(true);
  const served = weekend.requests.length;
  await weekend.clock.advance(HOUR_MS);
  assert.equal(weekend.getStage(ACCOUNT), before);
  assert.equal(before, 'half');
  const during = weekend.requests.slice(served);
  assert.ok(during.length > 5_000);
  assert.ok(during.every(request => request.building !== 'none'));
  weekend.log.setDown(false);
  await weekend.clock.advance(60 * MINUTE_MS);
  assert.deepEqual(weekend.entered, ALL_ENTERED);
  assert.ok(weekend.isComplete(ACCOUNT));
});

test('a destination that answers late holds the move until it has recovered', async () => {
  const weekend = await startWeekend();
  weekend.setLatePercent('new', 40);
  await runToMinute(weekend, 150);
  assert.equal(weekend.getStage(ACCOUNT), 'half');
  assert.ok(!weekend.isComplete(ACCOUNT));
  assert.ok(
    weekend.events.some(event => /goodput 0\.\d+ is below/.test(event)),
  );
  weekend.setLatePercent('new', 0);
  await runToMinute(weekend, 300);
  assert.ok(weekend.isComplete(ACCOUNT));
  assert.deepEqual(weekend.entered, ALL_ENTERED);
});

test('an operator holds, rolls back and goes on again in the middle of the move', async () => {
  const weekend = await startWeekend();
  await runToMinute(weekend, 90);
  await publishMove(weekend, {roll_back_to: 'copy'});
  const after = weekend.requests.length;
  await runToMinute(weekend, 110);
  const rolledBack = weekend.requests.slice(after);
  assert.ok(rolledBack.length > 1_000);
  assert.ok(rolledBack.every(request => request.building === 'old'));
  await publishMove(weekend, {hold: true});
  await runToMinute(weekend, 140);
  assert.equal(weekend.getStage(ACCOUNT), 'copy');
  await publishMove(weekend);
  await runToMinute(weekend, 320);
  assert.ok(weekend.isComplete(ACCOUNT));
  assert.deepEqual(weekend.entered, [
    ...['copy', 'warm', 'half'].map(stage => `${ACCOUNT}:${stage}`),
    ...ALL_ENTERED,
  ]);
});

test('weights that arrive late hold back the shift, not the requests', async () => {
  const weekend = await startWeekend();
  weekend.setLoadMs(50 * MINUTE_MS);
  await runToMinute(weekend, 100);
  assert.equal(weekend.getStage(ACCOUNT), 'copy');
  assert.deepEqual(Object.keys(countBuildings(weekend)), ['old']);
  await runToMinute(weekend, 320);
  assert.ok(weekend.isComplete(ACCOUNT));
});
