/** Types of role planning: the planner's input, state and output. */
import type {EngineReport, EngineRole} from '../backends';

/** Costs and limits of role changes for a deployment. */
export interface PlannerWeights {
  /** Cost of one engine second lost to a change, relative to one engine second gained. */
  readonly lostSecondCost: number;
  /** Fixed cost of a change, in engine seconds. */
  readonly fixedChangeCost: number;
  /** Utilization above which requests begin to miss their deadlines, 0 to 1. */
  readonly targetUtilization: number;
  /** Utilization up to which an engine may be out of service for seconds, 0 to 1. */
  readonly safeUtilization: number;
  /** Largest number of engines by which the target may differ from the planned roles. */
  readonly maxTargetDistance: number;
  /** Largest number of engines that change at the same time. */
  readonly maxConcurrentChanges: number;
  /** Least time between two role changes of the same engine, in milliseconds. */
  readonly cooldownMs: number;
  /** Time over which the gain of a change is counted against its cost, in milliseconds. */
  readonly horizonMs: number;
}

/** Tokens that arrive per second, of one node or of the whole fleet. */
export interface Demand {
  /** Prompt tokens that are not in a prefix cache. */
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
}

/** Input of the planner. All of it may be seconds old. */
export interface Observation {
  /** Latest report of each reachable engine. */
  readonly reports: readonly EngineReport[];
  /**
   * Demand that the nodes have admitted lately. Its requests are running or queued, and its mix of
   * prompt and output tokens is the best estimate for the next seconds.
   */
  readonly arrivals: Demand;
  /** Target roles recorded in the control stream, by engine. */
  readonly targetRoles: ReadonlyMap<string, EngineRole>;
  /** How long an engine is unavailable during a role change, in milliseconds. */
  readonly roleChangeMs: number;
  /**
   * Typical age of a report, in milliseconds; 500 when omitted. For this long after a change, the
   * nodes still send requests to an engine that drains, and send none to one that is ready again.
   */
  readonly reportLagMs?: number;
}

/** Number of engines by role. Engines that cannot serve are not counted. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

/** State of the planner between two plans. A new holder of the lease starts with an empty state. */
export interface PlannerState {
  /** Engine seconds lost with the current roles compared with the best ones. */
  readonly regret: number;
  /** Best roles at the last plan while a change was wanted; set by the threshold strategy only. */
  readonly target: RoleCounts | undefined;
  /** Time since which the threshold strategy has wanted a change, in milliseconds. */
  readonly targetSinceMs: number;
  /** Time of the last plan, in milliseconds. */
  readonly plannedAtMs: number;
  /** Time when the last role change of each engine began, in milliseconds. */
  readonly changedAtMs: ReadonlyMap<string, number>;
  /** Demand at the last plan. */
  readonly demand: Demand | undefined;
}

/** One step of a role change. */
export interface RoleChangeStep {
  readonly kind: 'drain' | 'set-role' | 'undrain';
  readonly engine: string;
  readonly from: EngineRole;
  readonly to: EngineRole;
  /** Reason, for operators. */
  readonly cause: string;
}

/** A change of roles that would lower the overload but is not made. */
export interface DeclinedRoleChange {
  readonly from: RoleCounts;
  readonly to: RoleCounts;
  /** Reason why it is not made, for operators. */
  readonly cause: string;
}

/** Result of the planner. */
export interface RolePlan {
  readonly state: PlannerState;
  /** Steps to take now. */
  readonly changes: readonly RoleChangeStep[];
  readonly declined: readonly DeclinedRoleChange[];
  /** Demand, current roles and best roles with their utilization, in one line. */
  readonly explanation: string;
}

/** A role change step that was made, or a change that was declined. */
export interface PlanEvent {
  readonly atMs: number;
  readonly node: string;
  readonly kind: RoleChangeStep['kind'] | 'declined';
  readonly engine?: string;
  readonly cause: string;
}

/** Plans role changes. A pure function. */
export type RolePlanner = (
  state: PlannerState,
  observation: Observation,
  nowMs: number,
  weights: PlannerWeights,
) => RolePlan;
