/**
 * Tests of whole account moves on virtual time: killed lease holders, a log outage, late answers,
 * template amendments.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTestTemplate} from '../support/template';
import {
  createMoveSimulation,
  type MoveSimulation,
  SIMULATION_START_MS,
} from '../support/move_simulation';

/**
 * Virtual time of one minute of the schedule, shortened so that the tests simulate less. The log
 * outage lasts a full hour.
 */
const SCHEDULE_MINUTE_MS = 20_000;
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
          SIMULATION_START_MS + minutes * SCHEDULE_MINUTE_MS,
        ).toISOString(),
      })),
      ...changes,
    },
  });
}

/**
 * Publishes the template with the move, or amends it, through the first process; fails unless it is
 * accepted.
 */
async function publishMove(
  simulation: MoveSimulation,
  changes: Record<string, unknown> = {},
): Promise<void> {
  const [process] = simulation.processes;
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
  await simulation.clock.advance(2_000);
  const answer = await written;
  assert.ok(answer.ok && answer.val.kind === 'accepted');
}

async function startSimulation(): Promise<MoveSimulation> {
  const simulation = createMoveSimulation([ACCOUNT]);
  await simulation.clock.advance(1_000);
  await publishMove(simulation);
  return simulation;
}

function runToScheduleMinute(
  simulation: MoveSimulation,
  minute: number,
): Promise<void> {
  return simulation.clock.runUntil(minute * SCHEDULE_MINUTE_MS);
}

function countBuildings(simulation: MoveSimulation): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {building} of simulation.requests) {
    counts[building] = (counts[building] ?? 0) + 1;
  }
  return counts;
}

test('a move without faults enters its stages at their start times and completes', async () => {
  const simulation = await startSimulation();
  await runToScheduleMinute(simulation, 9);
  assert.deepEqual(simulation.entered, []);
  await runToScheduleMinute(simulation, 59);
  assert.deepEqual(simulation.entered, [`${ACCOUNT}:copy`]);
  await runToScheduleMinute(simulation, 240);
  assert.deepEqual(simulation.entered, ALL_ENTERED);
  assert.ok(simulation.isComplete(ACCOUNT));
  assert.equal(countBuildings(simulation)['none'], undefined);
  const late = simulation.requests.filter(
    request => request.atMs > 110 * SCHEDULE_MINUTE_MS,
  );
  assert.ok(late.every(request => request.building === 'new'));
});

test('a move completes although the lease holder is killed whenever a stage is entered or completed', async () => {
  const simulation = await startSimulation();
  let kills = 0;
  while (simulation.clock.getMonotonicMs() < 260 * SCHEDULE_MINUTE_MS) {
    await simulation.clock.advance(500);
    const holder = simulation.processes.find(process => process.isHolder());
    if (simulation.getTransitionCount() === kills || holder === undefined)
      continue;
    holder.kill();
    simulation.startProcess(holder.id);
    kills++;
  }
  assert.equal(kills, 2 * STAGES.length);
  assert.ok(simulation.isComplete(ACCOUNT));
  assert.deepEqual(simulation.entered, ALL_ENTERED);
  assert.equal(countBuildings(simulation)['none'], undefined);
});

test('a log outage of one hour stops the move but affects no request', async () => {
  const simulation = await startSimulation();
  await runToScheduleMinute(simulation, 90);
  const before = simulation.getStage(ACCOUNT);
  simulation.log.setDown(true);
  const served = simulation.requests.length;
  await simulation.clock.advance(HOUR_MS);
  assert.equal(simulation.getStage(ACCOUNT), before);
  assert.equal(before, 'half');
  const during = simulation.requests.slice(served);
  assert.ok(during.length > 5_000);
  assert.ok(during.every(request => request.building !== 'none'));
  simulation.log.setDown(false);
  await simulation.clock.advance(60 * SCHEDULE_MINUTE_MS);
  assert.deepEqual(simulation.entered, ALL_ENTERED);
  assert.ok(simulation.isComplete(ACCOUNT));
});

test('a destination that misses deadlines blocks the move until it has recovered', async () => {
  const simulation = await startSimulation();
  simulation.setLatePercent('new', 40);
  await runToScheduleMinute(simulation, 150);
  assert.equal(simulation.getStage(ACCOUNT), 'half');
  assert.ok(!simulation.isComplete(ACCOUNT));
  assert.ok(
    simulation.events.some(event => /goodput 0\.\d+ is below/.test(event)),
  );
  simulation.setLatePercent('new', 0);
  await runToScheduleMinute(simulation, 300);
  assert.ok(simulation.isComplete(ACCOUNT));
  assert.deepEqual(simulation.entered, ALL_ENTERED);
});

test('an operator rolls back a move, puts it on hold and resumes it by amending the template', async () => {
  const simulation = await startSimulation();
  await runToScheduleMinute(simulation, 90);
  await publishMove(simulation, {roll_back_to: 'copy'});
  const after = simulation.requests.length;
  await runToScheduleMinute(simulation, 110);
  const rolledBack = simulation.requests.slice(after);
  assert.ok(rolledBack.length > 1_000);
  assert.ok(rolledBack.every(request => request.building === 'old'));
  await publishMove(simulation, {hold: true});
  await runToScheduleMinute(simulation, 140);
  assert.equal(simulation.getStage(ACCOUNT), 'copy');
  await publishMove(simulation);
  await runToScheduleMinute(simulation, 320);
  assert.ok(simulation.isComplete(ACCOUNT));
  assert.deepEqual(simulation.entered, [
    ...['copy', 'warm', 'half'].map(stage => `${ACCOUNT}:${stage}`),
    ...ALL_ENTERED,
  ]);
});

test('weights that are copied late delay the shift but no requests', async () => {
  const simulation = await startSimulation();
  simulation.setLoadMs(50 * SCHEDULE_MINUTE_MS);
  await runToScheduleMinute(simulation, 100);
  assert.equal(simulation.getStage(ACCOUNT), 'copy');
  assert.deepEqual(Object.keys(countBuildings(simulation)), ['old']);
  await runToScheduleMinute(simulation, 320);
  assert.ok(simulation.isComplete(ACCOUNT));
});
