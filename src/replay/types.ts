/** Types of replays: traces in, outcomes out. Field names of traces and outcomes are those of the files. */
import type {PlanEvent, PlannerWeights, RolePlanner} from '../planning';
import type {TraceHeader, TraceRequest} from './trace_schema';

export type {
  FaultKind,
  TraceEngine,
  TraceFault,
  TraceHeader,
  TraceRequest,
  TraceService,
} from './trace_schema';

/** A parsed trace: its requests are in order of arrival. */
export interface Trace {
  readonly header: TraceHeader;
  readonly requests: readonly TraceRequest[];
}

/** Why a trace was refused. */
export interface TraceError {
  /** Counts from 1. */
  readonly line: number;
  readonly message: string;
}

/** How requests are sent and roles are chosen. */
export const ReplayPolicy = {
  /** The routing and the role planning of this program. */
  Anvilstack: 'anvilstack',
  /** The engines in turn; no role changes. */
  RoundRobin: 'round-robin',
  /** The engine with the fewest requests in its last report; no role changes. */
  LeastLoaded: 'least-loaded',
  /** The routing of this program; no role changes. */
  StaticRoles: 'static-roles',
} as const;
export type ReplayPolicy = (typeof ReplayPolicy)[keyof typeof ReplayPolicy];

/** Settings of a replay; each has a default. */
export interface ReplaySettings {
  /** Time between two load reports of an engine, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Time between two role plans, in milliseconds. */
  readonly planIntervalMs: number;
  /** Lag of the platform's VM list, in milliseconds. */
  readonly vmListLagMs: number;
  /** Time of one way between any two processes, in milliseconds. */
  readonly oneWayMs: number;
  /** Time of one call of a plain service, in milliseconds. */
  readonly serviceMs: number;
  /** Most tokens of one answer in one event of an engine. */
  readonly tokensPerEvent: number;
  /** Length of one point of the series, in milliseconds; 0 chooses it by the trace's length. */
  readonly bucketMs: number;
  /** Collects every node's events. */
  readonly withTimeline: boolean;
}

/** What became of a replayed trace; the fields of `replay --json`. */
export interface Outcome {
  readonly requests: number;
  /** Whole answers. */
  readonly delivered: number;
  /** Whole answers within their deadline. */
  readonly in_deadline: number;
  /** Whole answers after their deadline. */
  readonly late: number;
  /** Refused as not run. */
  readonly refused: number;
  /** Failed with the verdict that they may have run, or never answered. */
  readonly may_have_run: number;
  /** Broken off after their first token, but for those whose deadline had passed. */
  readonly cut: number;
  /** Keys of non-idempotent requests that ran more than once at the backend servers. */
  readonly run_twice: number;
  /** Non-idempotent requests refused as not run that ran. */
  readonly not_run_but_ran: number;
  /** `in_deadline` by `requests`. */
  readonly goodput: number;
  /** Role changes that engines began. */
  readonly role_changes: number;
  /** Commands that took effect against one of another holder that was still being carried out. */
  readonly command_conflicts: number;
  /** Commands that took effect with a fencing number below one seen before. */
  readonly stale_commands_effective: number;
  /** Requests sent to a backend server more than 3 s after its first sign of leaving. */
  readonly new_work_after_leaving: number;
  /** Tokens generated that no caller received. */
  readonly wasted_tokens: number;
  readonly p95_first_token_ms: number;
  readonly p95_between_tokens_ms: number;
  readonly seed: number;
  readonly policy: ReplayPolicy;
}

/** Bounds of an outcome, by field. */
export type OutcomeBounds = Readonly<
  Record<string, {readonly min?: number; readonly max?: number}>
>;

/** A bound that an outcome misses. */
export interface MissedBound {
  readonly field: string;
  readonly value: number;
  readonly min?: number;
  readonly max?: number;
}

/** One point of the series: what arrived in it and how the fleet stood at its end. */
export interface SeriesPoint {
  readonly atMs: number;
  readonly arrived: number;
  /** Of those that arrived in it, answered within their deadline. */
  inDeadline: number;
  /** Prompt and output tokens of what arrived. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests waiting at engines at its end. */
  readonly waiting: number;
  readonly running: number;
  /** 95th percentile of the first-token times of what arrived, in milliseconds. */
  p95FirstTokenMs: number;
  /** Role or state of each engine at its end, in the trace's order. */
  readonly roles: readonly string[];
}

/** One event of the replay's time line. */
export interface ReplayEvent {
  readonly atMs: number;
  readonly node: string;
  readonly kind: string;
  readonly requestId?: string;
  readonly engine?: string;
  readonly cause: string;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly outcome: Outcome;
  readonly series: readonly SeriesPoint[];
  readonly timeline: readonly ReplayEvent[];
  /** Changes and declined changes of roles, each explained. */
  readonly plans: readonly PlanEvent[];
}

/** Options of a replay. */
export interface ReplayOptions {
  readonly seed?: number;
  readonly policy?: ReplayPolicy;
  readonly settings?: Partial<ReplaySettings>;
  /** Plans the roles with policy `anvilstack`; for comparisons of ways to plan. */
  readonly planRoles?: RolePlanner;
  /** Replaces parts of the deployment's planner weights. */
  readonly weights?: Partial<PlannerWeights>;
}
