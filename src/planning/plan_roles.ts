/**
 * Plans role changes: rates the current roles and the best ones for the demand, lets a strategy
 * decide whether the change is worth its cost, and selects the engines to change. Pure functions.
 */
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

/** Input of a strategy that decides whether to change roles. */
export interface DecisionInput {
  readonly state: PlannerState;
  readonly nowMs: number;
  readonly weights: PlannerWeights;
  readonly fleet: FleetRoles;
  readonly load: OfferedLoad;
  readonly rates: EngineRates;
  /** Roles once the changes in progress are complete. */
  readonly current: RatedCounts;
  /** Roles with the least overload, with a penalty for each change spread over the horizon. */
  readonly best: RatedCounts;
  /** Cost of one role change, in engine seconds. */
  readonly changeCost: number;
  readonly roleChangeMs: number;
}

/** Result of a strategy. */
export interface RoleDecision {
  /** True when roles are to change now. */
  readonly isChange: boolean;
  /** Reason for the change, or for not changing yet. */
  readonly cause: string;
  readonly state: PlannerState;
}

const DEFAULT_REPORT_LAG_MS = 500;
/** Typical time that an engine takes to drain before its role changes, in milliseconds. */
const TYPICAL_DRAIN_MS = 3_000;

/** Returns the initial state of a planner. */
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

/** Creates a planner from a strategy that decides when the best roles are worth the change. */
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
  const lostMs = roleChangeMs + TYPICAL_DRAIN_MS + 2 * reportLagMs;
  return (lostMs / 1_000) * weights.lostSecondCost + weights.fixedChangeCost;
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
