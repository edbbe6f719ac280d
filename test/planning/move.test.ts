/** Tests of the decisions of a client account's move and of the choice of servers during it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  type AccountWindow,
  compareProgress,
  type MoveDecision,
  type MoveObservation,
  type MoveProgress,
  parseExpectedProgress,
  planMove,
  selectMoveServers,
} from '../../src/planning/move';
import type {AccountMove} from '../../src/state';
import {createTestTemplate} from '../support/template';

const MOVE_START_MS = Date.parse('2026-12-04T18:00:00Z');
const HOUR_MS = 3_600_000;
const HEALTHY_WINDOW: AccountWindow = {
  requests: 100,
  inDeadline: 99,
  failed: 0,
  openAtOrigin: 0,
};

function createMove(changes: Record<string, unknown> = {}): AccountMove {
  const sides = {
    from: {buildings: ['old']},
    to: {buildings: ['new']},
    gate: {window_s: 60, min_requests: 20},
  };
  const stages = [
    {name: 'copy', kind: 'prepare_weights', hours: 0, share: 0},
    {name: 'warm', kind: 'warm', hours: 2, share: 0.05},
    {name: 'half', kind: 'shift', hours: 14, share: 0.5},
    {name: 'all', kind: 'shift', hours: 30, share: 1},
    {name: 'drain', kind: 'drain', hours: 40, share: 1},
    {name: 'done', kind: 'done', hours: 48, share: 1},
  ].map(({hours, ...stage}) => ({
    ...sides,
    ...stage,
    starts_at: new Date(MOVE_START_MS + hours * HOUR_MS).toISOString(),
  }));
  const template = createTestTemplate({move: {stages, ...changes}});
  assert.ok(template.move !== undefined);
  return template.move;
}

function createProgress(
  stage: string,
  changes: Partial<MoveProgress> = {},
): MoveProgress {
  return {
    clientAccount: 'studio',
    templateVersion: 1,
    stage,
    enteredAtMs: MOVE_START_MS,
    isComplete: false,
    cause: '',
    ...changes,
  };
}

function planStep(changes: Partial<MoveObservation>): MoveDecision {
  return planMove({
    clientAccount: 'studio',
    templateVersion: 1,
    move: createMove(),
    progress: undefined,
    nowMs: MOVE_START_MS + HOUR_MS,
    window: HEALTHY_WINDOW,
    destination: [{engine: 'n1', missingModels: [], missingAdapters: []}],
    ...changes,
  });
}

function formatDecision(decision: MoveDecision): string {
  const stage = 'stage' in decision ? ` ${decision.stage.name}` : '';
  return `${decision.kind}${stage}: ${decision.cause}`;
}

test('planMove decides each step of a move and names what it waits for', () => {
  const unprepared = [
    {engine: 'n1', missingModels: ['small'], missingAdapters: []},
  ];
  const weak = {...HEALTHY_WINDOW, inDeadline: 80};
  const failing = {...HEALTHY_WINDOW, inDeadline: 97, failed: 3};
  const few = {...HEALTHY_WINDOW, requests: 3, inDeadline: 3};
  const late = MOVE_START_MS + 20 * HOUR_MS;
  const half = createProgress('half');
  const baseline = [
    planStep({nowMs: MOVE_START_MS - 1}),
    planStep({}),
    planStep({progress: createProgress('copy'), destination: unprepared}),
    planStep({progress: createProgress('copy'), destination: []}),
    planStep({progress: createProgress('copy')}),
    planStep({progress: createProgress('copy', {isComplete: true})}),
    planStep({
      progress: createProgress('copy', {isComplete: true}),
      nowMs: late,
      destination: unprepared,
    }),
    planStep({
      progress: createProgress('copy', {isComplete: true}),
      nowMs: late,
    }),
    planStep({progress: half, nowMs: MOVE_START_MS + 1_000}),
    planStep({progress: half, nowMs: late, window: undefined}),
    planStep({progress: half, nowMs: late, window: weak}),
    planStep({progress: half, nowMs: late, window: failing}),
    planStep({progress: half, nowMs: late}),
    planStep({
      progress: half,
      nowMs: MOVE_START_MS + 120_000,
      window: few,
    }),
    planStep({
      progress: half,
      nowMs: late,
      window: few,
    }),
    planStep({
      progress: createProgress('half', {isComplete: true}),
      nowMs: late + 20 * HOUR_MS,
      move: createMove({hold: true}),
    }),
    planStep({progress: half, move: createMove({roll_back_to: 'warm'})}),
    planStep({
      progress: createProgress('warm', {isComplete: true}),
      nowMs: late,
      move: createMove({roll_back_to: 'warm'}),
    }),
    planStep({
      progress: createProgress('drain'),
      nowMs: late + 30 * HOUR_MS,
      window: {...HEALTHY_WINDOW, openAtOrigin: 2},
    }),
    planStep({progress: createProgress('done'), nowMs: late + 40 * HOUR_MS}),
    planStep({
      progress: createProgress('done', {isComplete: true}),
      nowMs: late + 40 * HOUR_MS,
    }),
    planStep({progress: createProgress('gone')}),
  ].map(formatDecision);
  assert.deepEqual(baseline, [
    'wait: copy starts at 2026-12-04T18:00:00.000Z',
    'enter copy: its start time has come',
    'prepare copy: weights are missing at n1',
    'wait: no engine of the destination is known',
    'complete copy: every engine of the destination has the weights',
    'wait: warm starts at 2026-12-04T20:00:00.000Z',
    'prepare warm: weights are missing at n1',
    'enter warm: its start time has come',
    'wait: half must run for 60 s before its gate is checked',
    'wait: too few nodes reported their request counts',
    "wait: goodput 0.800 is below the gate's 0.95",
    "wait: error rate 0.030 is above the gate's 0.02",
    'complete half: goodput 0.990, error rate 0.000 over 100 requests',
    'wait: 3 of the 20 requests that the gate requires',
    'complete half: only 3 requests in 10 windows',
    'wait: on hold before all, set in the template',
    'enter warm: rolled back from half by the template',
    'wait: rolled back to warm by the template',
    'wait: 2 requests still run at the origin',
    'complete done: the move has ended',
    'wait: the move has ended',
    'wait: stage gone is no longer in the template',
  ]);
});

test('a stage is entered only after the previous one is complete, after its start time, and not on hold', () => {
  const order = ['copy', 'warm', 'half', 'all', 'drain', 'done'];
  fc.assert(
    fc.property(
      fc.option(fc.constantFrom(...order), {nil: undefined}),
      fc.boolean(),
      fc.boolean(),
      fc.option(fc.constantFrom(...order), {nil: undefined}),
      fc.integer({min: -5, max: 60}),
      (at, isComplete, hold, rollBackTo, hours) => {
        const move = createMove({hold, roll_back_to: rollBackTo});
        const nowMs = MOVE_START_MS + hours * HOUR_MS;
        const progress =
          at === undefined ? undefined : createProgress(at, {isComplete});
        const decision = planStep({move, progress, nowMs});
        if (decision.kind !== 'enter') return;
        const from = at === undefined ? -1 : order.indexOf(at);
        const to = order.indexOf(decision.stage.name);
        if (to < from) {
          assert.equal(decision.stage.name, rollBackTo);
          return;
        }
        assert.equal(to, from + 1);
        assert.ok(at === undefined || isComplete);
        assert.ok(!hold);
        assert.ok(nowMs >= Date.parse(decision.stage.starts_at));
      },
    ),
    {seed: 5, numRuns: 500},
  );
});

test('a rollback sends requests back to the origin before any progress is recorded', () => {
  const draw = 0.3;
  const progress = createProgress('half');
  const template = createTestTemplate({move: createMove()});
  const forward = selectMoveServers({template, progress, draw});
  const back = selectMoveServers({
    template: {...template, move: createMove({roll_back_to: 'copy'})},
    progress,
    draw,
  });
  assert.deepEqual(forward.servers.buildings, ['new']);
  assert.deepEqual(forward.fallback?.buildings, ['old']);
  assert.deepEqual(back.servers.buildings, ['old']);
});

test('the share of a stage splits the requests between the buildings, among the allowed engines', () => {
  const template = createTestTemplate({
    move: createMove(),
    engines: {buildings: ['old', 'new'], failure_domains: ['gent']},
  });
  const counts = new Map<string, number>();
  for (let step = 0; step < 1_000; step++) {
    const {servers} = selectMoveServers({
      template,
      progress: createProgress('half'),
      draw: step / 1_000,
    });
    assert.deepEqual(servers.failure_domains, ['gent']);
    const building = servers.buildings?.join() ?? '';
    counts.set(building, (counts.get(building) ?? 0) + 1);
  }
  assert.deepEqual(Object.fromEntries(counts), {new: 500, old: 500});
});

test('the progress of each account is compared with the expected progress', () => {
  const expected = parseExpectedProgress(
    ['studio', 'choir', 'school', 'label']
      .map(name => `[[client_account]]\nname = "${name}"\nstage = "done"`)
      .join('\n'),
  ).unwrap();
  const row = {
    template_version: 1,
    entered_at: null,
    next_stage: null,
    cause: 'why',
  };
  const rows = [
    {...row, client_account: 'studio', stage: 'done', is_complete: true},
    {...row, client_account: 'choir', stage: 'half', is_complete: true},
    {...row, client_account: 'school', stage: 'done', is_complete: false},
  ];
  assert.deepEqual(compareProgress(expected, rows), [
    'choir: is at half, expected done (why)',
    'school: done is not complete (why)',
    'label: has no move',
  ]);
  assert.ok(parseExpectedProgress('[[client_account]]\nname = 3').err);
  assert.ok(parseExpectedProgress('[[').err);
});
