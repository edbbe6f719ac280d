/** Chooses the roles that best fit the demand, and selects the engines that change first. */
import {type EngineReport, EngineRole} from '../backends';
import {
  computeUtilization,
  type EngineRates,
  type OfferedLoad,
} from './capacity';
import {
  addEngines,
  countChanges,
  type FleetRoles,
  formatCounts,
} from './fleet_roles';
import type {
  PlannerState,
  PlannerWeights,
  RoleChangeStep,
  RoleCounts,
} from './types';

/** Least fraction of the fleet that must be serving. */
const MIN_SERVING_FRACTION = 0.7;
/** Typical time that an engine takes to drain before its role changes, in milliseconds. */
const TYPICAL_DRAIN_MS = 3_000;

/** Engine counts by role with their rating for the current load. */
export interface RatedCounts {
  readonly counts: RoleCounts;
  readonly utilization: number;
  /** Utilization above the target, in engines. */
  readonly overload: number;
}

/** Rates one set of role counts. */
export function computeRating(
  counts: RoleCounts,
  load: OfferedLoad,
  rates: EngineRates,
  weights: PlannerWeights,
): RatedCounts {
  const utilization = computeUtilization(counts, load, rates);
  const size = counts.prefill + counts.decode + counts.mixed;
  const overload = Math.max(0, utilization - weights.targetUtilization) * size;
  return {counts, utilization, overload};
}

/**
 * Returns the role counts with the least cost: the overload plus `changePenalty` for each engine
 * that changes. Only counts within `maxTargetDistance` changes of the planned ones are considered.
 */
export function chooseTarget(
  planned: RoleCounts,
  load: OfferedLoad,
  rates: EngineRates,
  weights: PlannerWeights,
  changePenalty: number,
): RatedCounts {
  const size = planned.prefill + planned.decode + planned.mixed;
  let best = computeRating(planned, load, rates, weights);
  let bestCost = best.overload;
  for (let prefill = 0; prefill <= size; prefill++) {
    for (let decode = 0; prefill + decode <= size; decode++) {
      const counts = {prefill, decode, mixed: size - prefill - decode};
      const changes = countChanges(planned, counts);
      if (changes === 0 || changes > weights.maxTargetDistance) continue;
      const rated = computeRating(counts, load, rates, weights);
      const cost = rated.overload + changes * changePenalty;
      if (cost < bestCost - 1e-9) {
        best = rated;
        bestCost = cost;
      }
    }
  }
  return best;
}

/** Options of `selectChanges`. */
export interface SelectOptions {
  readonly fleet: FleetRoles;
  readonly target: RoleCounts;
  readonly load: OfferedLoad;
  readonly rates: EngineRates;
  readonly weights: PlannerWeights;
  readonly state: PlannerState;
  readonly nowMs: number;
  readonly roleChangeMs: number;
  readonly cause: string;
}

/** Changes that may begin now. */
export interface SelectedChanges {
  readonly changes: readonly RoleChangeStep[];
  /** Reason why a further change must wait; undefined when none does. */
  readonly blockedReason: string | undefined;
}

/** Selects engines whose role change begins now, as far as the remaining capacity allows. */
export function selectChanges(options: SelectOptions): SelectedChanges {
  const {fleet, target, weights} = options;
  const changes: RoleChangeStep[] = [];
  let {planned, serving} = fleet;
  let eligible = fleet.eligible.filter(report => isCooledDown(report, options));
  let blockedReason: string | undefined;
  while (countChanges(planned, target) > 0) {
    if (fleet.changing + changes.length >= weights.maxConcurrentChanges) {
      blockedReason = `at most ${weights.maxConcurrentChanges} engines may change at once`;
      break;
    }
    const step = tryFindStep(eligible, planned, options);
    if (step === undefined) {
      blockedReason =
        'no engine of the role is eligible: all changed recently or are unavailable';
      break;
    }
    const {engine, to} = step;
    const remaining = addEngines(serving, engine.role, -1);
    blockedReason = tryGetUnsafeReason(remaining, serving, options);
    if (blockedReason !== undefined) break;
    const {cause} = options;
    changes.push({
      kind: 'drain',
      engine: engine.engine,
      from: engine.role,
      to,
      cause,
    });
    planned = step.counts;
    serving = remaining;
    eligible = eligible.filter(report => report !== engine);
  }
  return {changes, blockedReason};
}

function isCooledDown(report: EngineReport, options: SelectOptions): boolean {
  const changedAtMs = options.state.changedAtMs.get(report.engine);
  if (changedAtMs === undefined) return true;
  return options.nowMs - changedAtMs >= options.weights.cooldownMs;
}

/**
 * Returns the role change that lowers the utilization most, with the engine that has the least
 * load.
 */
function tryFindStep(
  eligible: readonly EngineReport[],
  planned: RoleCounts,
  options: SelectOptions,
): CandidateStep | undefined {
  const {target, load, rates} = options;
  let best: CandidateStep | undefined;
  for (const from of Object.values(EngineRole)) {
    if (planned[from] <= target[from]) continue;
    const engine = tryFindLeastLoaded(eligible, from);
    if (engine === undefined) continue;
    for (const to of Object.values(EngineRole)) {
      if (planned[to] >= target[to]) continue;
      const counts = addEngines(addEngines(planned, from, -1), to, 1);
      const utilization = computeUtilization(counts, load, rates);
      if (best !== undefined && utilization >= best.utilization) continue;
      best = {engine, to, counts, utilization};
    }
  }
  return best;
}

interface CandidateStep {
  readonly engine: EngineReport;
  readonly to: EngineRole;
  /** Planned role counts after the change. */
  readonly counts: RoleCounts;
  readonly utilization: number;
}

function tryFindLeastLoaded(
  eligible: readonly EngineReport[],
  role: EngineRole,
): EngineReport | undefined {
  let best: EngineReport | undefined;
  for (const report of eligible) {
    if (report.role !== role) continue;
    if (best === undefined || getDrainCost(report) < getDrainCost(best)) {
      best = report;
    }
  }
  return best;
}

function getDrainCost(report: EngineReport): number {
  return report.running + report.waiting + report.decodeTokens / 1_000;
}

/**
 * Returns why the serving engines may not be reduced to `remaining`, or undefined when they may.
 */
function tryGetUnsafeReason(
  remaining: RoleCounts,
  serving: RoleCounts,
  options: SelectOptions,
): string | undefined {
  const {fleet, load, rates, weights} = options;
  const count = remaining.prefill + remaining.decode + remaining.mixed;
  const minServing = Math.ceil(fleet.size * MIN_SERVING_FRACTION);
  if (count < minServing)
    return `${minServing} of ${fleet.size} engines must keep serving`;
  if (remaining.prefill + remaining.mixed === 0)
    return 'no engine would prefill';
  if (remaining.decode + remaining.mixed === 0) return 'no engine would decode';
  const utilization = computeUtilization(remaining, load, rates);
  if (utilization <= weights.safeUtilization) return undefined;
  if (isPaidBack(utilization, serving, options)) return undefined;
  return `${formatCounts(remaining)} would run at ${Math.round(utilization * 100)}%`;
}

/**
 * Returns whether the gain of a change over the horizon outweighs the capacity lost while the
 * engine is unavailable. `utilization` is that without the engine.
 */
function isPaidBack(
  utilization: number,
  serving: RoleCounts,
  options: SelectOptions,
): boolean {
  const {target, load, rates, weights, fleet} = options;
  const now = computeUtilization(serving, load, rates);
  const planned = computeUtilization(fleet.planned, load, rates);
  const after = computeUtilization(target, load, rates);
  const changes = Math.max(1, countChanges(fleet.planned, target));
  const unavailableMs = options.roleChangeMs + TYPICAL_DRAIN_MS;
  const lost = (utilization - now) * unavailableMs;
  const gained = ((planned - after) / changes) * weights.horizonMs;
  return lost <= gained;
}
