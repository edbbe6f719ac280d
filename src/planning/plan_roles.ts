/** Plans role changes: reads the fleet, predicts the demand, decides, selects engines. Pure. */
import {
  computeRates,
  computeOfferedLoad,
  type EngineRates,
  type OfferedLoad,
} from './capacity';
import {
  type FleetRoles,
  formatCounts,
  getFleetRoles,
  listPendingSteps,
} from './fleet_roles';
import {
  chooseTarget,
  computeRating,
  type RatedCounts,
  selectChanges,
} from './targets';
import type {
  Demand,
  Observation,
  PlannerState,
  PlannerWeights,
  RolePlanner,
  RolePlan,
} from './types';

/** What a way of deciding sees. */
export interface DecisionInput {
  readonly state: PlannerState;
  readonly nowMs: number;
  readonly weights: PlannerWeights;
  readonly fleet: FleetRoles;
  readonly load: OfferedLoad;
  readonly rates: EngineRates;
  /** The planned roles as they are. */
  readonly current: RatedCounts;
  /** The roles that fit best, each change charged over the horizon. */
  readonly best: RatedCounts;
  /** What one change costs, in engine seconds. */
  readonly changeCost: number;
  readonly roleChangeMs: number;
}

/** What a way of deciding answers. */
export interface RoleDecision {
  readonly isChange: boolean;
  /** Why, or why not yet. */
  readonly cause: string;
  readonly state: PlannerState;
}

const DEFAULT_REPORT_LAG_MS = 500;
/** Typical time that an engine drains before it changes, in milliseconds. */
const TYPICAL_DRAIN_MS = 3_000;

/** Returns the state of a planner that knows nothing yet. */
export function createPlannerState(nowMs: number): PlannerState {
  return {
    regret: 0,
    target: undefined,
    targetSinceMs: nowMs,
    plannedAtMs: nowMs,
    changedAtMs: new Map(),
    demand: undefined,
  };
}

/** Creates a planner with a way of deciding when the best roles are worth their changes. */
export function createRolePlanner(
  decide: (decision: DecisionInput) => RoleDecision,
): RolePlanner {
  return planRoles;

  function planRoles(
    state: PlannerState,
    observation: Observation,
    nowMs: number,
    weights: PlannerWeights,
  ): RolePlan {
    const fleet = getFleetRoles(observation);
    const rates = computeRates(observation.reports);
    const demand = observation.arrivals;
    const load = computeOfferedLoad(demand, rates);
    const changeCost = computeChangeCost(observation, weights);
    const current = computeRating(fleet.planned, load, rates, weights);
    const best = chooseTarget(
      fleet.planned,
      load,
      rates,
      weights,
      changeCost / (weights.horizonMs / 1_000),
    );
    const decision: DecisionInput = {
      state,
      nowMs,
      weights,
      fleet,
      load,
      rates,
      current,
      best,
      changeCost,
      roleChangeMs: observation.roleChangeMs,
    };
    const decided = decide(decision);
    return createPlan(observation, decision, decided, demand);
  }
}

function createPlan(
  observation: Observation,
  decision: DecisionInput,
  decided: RoleDecision,
  demand: Demand,
): RolePlan {
  const {fleet, best, current, load, rates, weights, nowMs} = decision;
  const steps = listPendingSteps(observation);
  const explanation = formatExplanation(decision, demand);
  const base = {...decided.state, plannedAtMs: nowMs, demand};
  const from = current.counts;
  const to = best.counts;
  if (from === to) {
    return {state: base, changes: steps, declined: [], explanation};
  }
  if (!decided.isChange) {
    const declined = [{from, to, cause: decided.cause}];
    return {state: base, changes: steps, declined, explanation};
  }
  const {changes, blockedReason} = selectChanges({
    fleet,
    target: to,
    load,
    rates,
    weights,
    state: decision.state,
    nowMs,
    roleChangeMs: decision.roleChangeMs,
    cause: `${explanation}; ${decided.cause}`,
  });
  const changedAtMs = new Map(decision.state.changedAtMs);
  for (const change of changes) changedAtMs.set(change.engine, nowMs);
  const isStarted = changes.length > 0;
  return {
    state: {...base, changedAtMs, regret: isStarted ? 0 : base.regret},
    changes: [...steps, ...changes],
    declined:
      blockedReason === undefined ? [] : [{from, to, cause: blockedReason}],
    explanation,
  };
}

function computeChangeCost(
  observation: Observation,
  weights: PlannerWeights,
): number {
  const {roleChangeMs, reportLagMs = DEFAULT_REPORT_LAG_MS} = observation;
  const awayMs = roleChangeMs + TYPICAL_DRAIN_MS + 2 * reportLagMs;
  return (awayMs / 1_000) * weights.lostSecondCost + weights.fixedChangeCost;
}

function formatExplanation(decision: DecisionInput, demand: Demand): string {
  const {current, best} = decision;
  const prefill = Math.round(demand.prefillTokensPerS);
  const decode = Math.round(demand.decodeTokensPerS);
  const describe = (rated: RatedCounts): string =>
    `${formatCounts(rated.counts)} at ${Math.round(rated.utilization * 100)}%`;
  const rates = `prefill ${prefill} and decode ${decode} tokens a second`;
  if (best.counts === current.counts) return `${rates}: ${describe(current)}`;
  return `${rates}: ${describe(current)}, best ${describe(best)}`;
}
