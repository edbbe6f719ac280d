/** Types of role planning: what the planner sees, remembers and decides. */
import type {EngineReport, EngineRole} from '../backends';

/** How the deployment weighs role changes, and the limits that hold for each change. */
export interface PlannerWeights {
  /** What one engine second lost to a change costs against one of work gained. */
  readonly lostSecondCost: number;
  /** Fixed cost of a change, in engine seconds. */
  readonly fixedChangeCost: number;
  /** Utilization above which requests begin to miss their deadlines, 0 to 1. */
  readonly targetUtilization: number;
  /** Utilization below which an engine may be taken away for seconds, 0 to 1. */
  readonly safeUtilization: number;
  /** Most changes that one target is away from the planned roles. */
  readonly maxTargetDistance: number;
  /** Most engines that change at once. */
  readonly maxConcurrentChanges: number;
  /** Time that an engine is left alone after a change, in milliseconds. */
  readonly cooldownMs: number;
  /** How far ahead a model-predictive plan looks, in milliseconds. */
  readonly horizonMs: number;
}

/** Work that arrives in a second over the whole fleet. */
export interface Demand {
  /** Prompt tokens that no prefix cache holds. */
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
}

/** What the planner sees. Everything in it may be seconds old. */
export interface Observation {
  /** The last report of each engine that can be reached. */
  readonly reports: readonly EngineReport[];
  /** What the nodes have admitted lately; it runs or waits, and shows the near mix. */
  readonly arrivals: Demand;
  /** Roles that intents in the control stream name, by engine. */
  readonly targetRoles: ReadonlyMap<string, EngineRole>;
  /** How long a role change takes an engine away, in milliseconds. */
  readonly roleChangeMs: number;
  /**
   * Usual age of a report, in milliseconds; 500 when omitted. So long the nodes still
   * send to an engine that drains, and send nothing to one that is back.
   */
  readonly reportLagMs?: number;
}

/** Engines by role; those that cannot serve are in none. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

/** What the planner carries from one plan to the next. A new holder starts without it. */
export interface PlannerState {
  /** Engine seconds that the present roles have cost against the best ones. */
  readonly regret: number;
  /** Roles that the regret is counted against. */
  readonly target: RoleCounts | undefined;
  /** Since when the target has been the same, in milliseconds. */
  readonly targetSinceMs: number;
  readonly plannedAtMs: number;
  /** When each engine last changed, in milliseconds. */
  readonly changedAtMs: ReadonlyMap<string, number>;
  /** Demand of the last seconds, smoothed. */
  readonly demand: Demand | undefined;
}

/** One step of a role change. */
export interface RoleChangeStep {
  readonly kind: 'drain' | 'set-role' | 'undrain';
  readonly engine: string;
  readonly from: EngineRole;
  readonly to: EngineRole;
  /** Why, for a person. */
  readonly cause: string;
}

/** A change that would serve but is not made. */
export interface DeclinedRoleChange {
  readonly from: RoleCounts;
  readonly to: RoleCounts;
  /** Why not, for a person. */
  readonly cause: string;
}

/** What to do now. */
export interface RolePlan {
  readonly state: PlannerState;
  readonly changes: readonly RoleChangeStep[];
  readonly declined: readonly DeclinedRoleChange[];
  /** Demand, capacity and choice in one line. */
  readonly explanation: string;
}

/** A change made or declined, at its time. */
export interface PlanEvent {
  readonly atMs: number;
  readonly node: string;
  readonly kind: RoleChangeStep['kind'] | 'declined';
  readonly engine?: string;
  readonly cause: string;
}

/** Chooses role changes; pure. */
export type RolePlanner = (
  state: PlannerState,
  observation: Observation,
  nowMs: number,
  weights: PlannerWeights,
) => RolePlan;
