/**
 * Tests of role planning: stability under noise, minimum capacity, change of the lease holder,
 * reaction to a shift of the load.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type EngineReport, EngineRole, EngineState} from '../../src/backends';
import {
  createPlannerState,
  type Demand,
  FEW_CHANGES_WEIGHTS,
  GOODPUT_WEIGHTS,
  planBySkiRental,
  type PlannerState,
  type PlannerWeights,
} from '../../src/planning';
import {createTestReport} from '../support/report';

const ENGINES = 13;
const TICK_MS = 500;
const ROLE_CHANGE_MS = 4_000;
/** Many prompt tokens and few output tokens, and the reverse. */
const PREFILL_HEAVY: Demand = {
  prefillTokensPerS: 150_000,
  decodeTokensPerS: 900,
};
const DECODE_HEAVY: Demand = {
  prefillTokensPerS: 14_000,
  decodeTokensPerS: 8_500,
};

function createReport(index: number, role: EngineRole): EngineReport {
  return createTestReport(`e${index}`, {
    role,
    prefillTokensPerS: 16_000,
    decodeStepMs: 12,
    decodeStepMsPerRequest: 0.8,
    maxRunning: 48,
  });
}

/** Creates a fleet that carries out the planner's steps, and whose lease holder can change. */
function createPlannedFleet(weights: PlannerWeights, drainMs = 2_000) {
  let reports = Array.from({length: ENGINES}, (_, index) =>
    createReport(index, EngineRole.Mixed),
  );
  const targetRoles = new Map<string, EngineRole>();
  const busyUntilMs = new Map<string, number>();
  let state: PlannerState = createPlannerState(0);
  let nowMs = 0;
  let drainCount = 0;
  return {
    run,
    changeHolder: () => {
      state = createPlannerState(nowMs);
    },
    getReports: () => reports,
    getDrainCount: () => drainCount,
    getNowMs: () => nowMs,
    countServing: () =>
      reports.filter(report => report.state === EngineState.Ready).length,
  };

  function run(demand: Demand): void {
    nowMs += TICK_MS;
    settleChanges();
    const plan = planBySkiRental(
      state,
      {
        reports,
        arrivals: demand,
        targetRoles,
        roleChangeMs: ROLE_CHANGE_MS,
        reportLagMs: 500,
      },
      nowMs,
      weights,
    );
    state = plan.state;
    for (const {kind, engine, to} of plan.changes) {
      if (kind === 'drain') {
        if (targetRoles.get(engine) !== to) drainCount++;
        targetRoles.set(engine, to);
        setReport(engine, {state: EngineState.Draining, running: 1});
        busyUntilMs.set(engine, nowMs + drainMs);
      } else if (kind === 'set-role') {
        setReport(engine, {state: EngineState.ChangingRole});
        busyUntilMs.set(engine, nowMs + ROLE_CHANGE_MS);
      } else {
        setReport(engine, {state: EngineState.Ready});
      }
    }
  }

  function settleChanges(): void {
    for (const report of reports) {
      if ((busyUntilMs.get(report.engine) ?? 0) > nowMs) continue;
      const role = targetRoles.get(report.engine);
      if (report.state === EngineState.Draining) {
        setReport(report.engine, {running: 0});
      } else if (report.state === EngineState.ChangingRole && role) {
        setReport(report.engine, {state: EngineState.Ready, role});
        targetRoles.delete(report.engine);
      }
    }
  }

  function setReport(engine: string, change: Partial<EngineReport>): void {
    reports = reports.map(report =>
      report.engine === engine ? {...report, ...change} : report,
    );
  }
}

test('a steady load with bursts and lulls causes no role change', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(
          fc.double({min: 0.5, max: 1.35, noNaN: true}),
          fc.double({min: 0.5, max: 1.35, noNaN: true}),
        ),
        {
          minLength: 300,
          maxLength: 600,
        },
      ),
      fc.constantFrom(GOODPUT_WEIGHTS, FEW_CHANGES_WEIGHTS),
      (factors, weights) => {
        const fleet = createPlannedFleet(weights);
        for (const [prefill, decode] of factors) {
          // About 60% of the capacity of 13 mixed engines, on average.
          fleet.run({
            prefillTokensPerS: 38_000 * prefill,
            decodeTokensPerS: 3_600 * decode,
          });
        }
        assert.equal(fleet.getDrainCount(), 0);
      },
    ),
    {seed: 11, numRuns: 30},
  );
});

test('a shift of the load starts role changes within 10 s and ends with prefill and decode engines', () => {
  const fleet = createPlannedFleet(GOODPUT_WEIGHTS);
  for (let tick = 0; tick < 60; tick++) fleet.run(DECODE_HEAVY);
  assert.equal(fleet.getDrainCount(), 0);
  const swingMs = fleet.getNowMs();
  while (fleet.getDrainCount() === 0) fleet.run(PREFILL_HEAVY);
  assert.ok(
    fleet.getNowMs() - swingMs <= 10_000,
    `${fleet.getNowMs() - swingMs}`,
  );
  for (let tick = 0; tick < 240; tick++) fleet.run(PREFILL_HEAVY);
  const roles = fleet.getReports().map(report => report.role);
  assert.ok(roles.filter(role => role === EngineRole.Prefill).length >= 2);
  assert.ok(roles.includes(EngineRole.Decode));
});

const demandArbitrary = fc.record({
  prefillTokensPerS: fc.integer({min: 0, max: 300_000}),
  decodeTokensPerS: fc.integer({min: 0, max: 20_000}),
});

test('at least 70% of the engines serve, and both stages have one, whatever the demand', () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(demandArbitrary, fc.integer({min: 1, max: 60})), {
        minLength: 1,
        maxLength: 12,
      }),
      fc.constantFrom(GOODPUT_WEIGHTS, FEW_CHANGES_WEIGHTS),
      (phases, weights) => {
        const fleet = createPlannedFleet(weights, 6_000);
        for (const [demand, ticks] of phases) {
          for (let tick = 0; tick < ticks; tick++) {
            fleet.run(demand);
            assert.ok(fleet.countServing() >= Math.ceil(0.7 * ENGINES));
            assert.ok(
              ENGINES - fleet.countServing() <= weights.maxConcurrentChanges,
            );
            const serving = fleet
              .getReports()
              .filter(report => report.state === EngineState.Ready)
              .map(report => report.role);
            assert.ok(serving.some(role => role !== EngineRole.Decode));
            assert.ok(serving.some(role => role !== EngineRole.Prefill));
          }
        }
      },
    ),
    {seed: 12, numRuns: 60},
  );
});

test('a new lease holder finishes the role changes of its predecessor', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 20}), {minLength: 1, maxLength: 8}),
      gaps => {
        const fleet = createPlannedFleet(GOODPUT_WEIGHTS);
        while (fleet.getDrainCount() === 0) fleet.run(PREFILL_HEAVY);
        const first = fleet
          .getReports()
          .filter(report => report.state !== EngineState.Ready)
          .map(report => report.engine);
        for (const gap of gaps) {
          fleet.changeHolder();
          for (let tick = 0; tick < gap; tick++) fleet.run(PREFILL_HEAVY);
        }
        for (let tick = 0; tick < 400; tick++) fleet.run(DECODE_HEAVY);
        for (const report of fleet.getReports()) {
          assert.equal(report.state, EngineState.Ready, report.engine);
        }
        assert.ok(first.length > 0);
      },
    ),
    {seed: 13, numRuns: 40},
  );
});

test('an engine that drains without a target role is put back into service', () => {
  const report = {
    ...createReport(0, EngineRole.Mixed),
    state: EngineState.Draining,
  };
  const plan = planBySkiRental(
    createPlannerState(0),
    {
      reports: [report, createReport(1, EngineRole.Mixed)],
      arrivals: DECODE_HEAVY,
      targetRoles: new Map(),
      roleChangeMs: ROLE_CHANGE_MS,
      reportLagMs: 500,
    },
    1_000,
    GOODPUT_WEIGHTS,
  );
  assert.deepEqual(
    plan.changes.map(change => [change.kind, change.engine]),
    [['undrain', 'e0']],
  );
});
