/** Types of trace replays. The field names of traces and outcomes are those of their files. */
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

/** A parsed trace; its requests are sorted by arrival time. */
export interface Trace {
  readonly header: TraceHeader;
  readonly requests: readonly TraceRequest[];
}

/** An invalid line of a trace. */
export interface TraceError {
  /** Line number, from 1. */
  readonly line: number;
  readonly message: string;
}

/** How requests are routed to engines and how engine roles are chosen. */
export const ReplayPolicy = {
  /** Anvilstack's own routing and role planning. */
  Anvilstack: 'anvilstack',
  /** Round robin over the engines; no role changes. */
  RoundRobin: 'round-robin',
  /** The engine with the fewest requests in its last report; no role changes. */
  LeastLoaded: 'least-loaded',
  /** Anvilstack's own routing; no role changes. */
  StaticRoles: 'static-roles',
} as const;
export type ReplayPolicy = (typeof ReplayPolicy)[keyof typeof ReplayPolicy];

/** Settings of a replay; each has a default. */
export interface ReplaySettings {
  /** Interval between load reports of an engine, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Interval between runs of the role planner, in milliseconds. */
  readonly planIntervalMs: number;
  /** Delay before the platform's VM list shows a change, in milliseconds. */
  readonly vmListLagMs: number;
  /** One-way network latency between any two processes, in milliseconds. */
  readonly oneWayMs: number;
  /** Time that a plain service takes to answer a call, in milliseconds. */
  readonly serviceMs: number;
  /** Maximum tokens of an answer that an engine sends in one event. */
  readonly tokensPerEvent: number;
  /** Time span of one point of the series, in milliseconds; 0 derives it from the trace's length. */
  readonly bucketMs: number;
  /** Whether the events of the nodes and callers are collected in the result's `timeline`. */
  readonly withTimeline: boolean;
}

/** Counts and latencies of a replayed trace; `replay --json` prints them under these names. */
export interface Outcome {
  readonly requests: number;
  /** Requests that received a complete answer. */
  readonly delivered: number;
  /** Complete answers within their deadline. */
  readonly in_deadline: number;
  /** Complete answers after their deadline. */
  readonly late: number;
  /** Requests refused with verdict `not-run`. */
  readonly refused: number;
  /** Requests that failed with verdict `may-have-run`, or were never answered. */
  readonly may_have_run: number;
  /** Answers broken off after their first token; failures after the deadline do not count. */
  readonly cut: number;
  /** Keys of non-idempotent requests that ran more than once at the backend servers. */
  readonly run_twice: number;
  /** Refusals with verdict `not-run` of requests that a backend server did run. */
  readonly not_run_but_ran: number;
  /** `in_deadline` divided by `requests`, to 5 decimal places. */
  readonly goodput: number;
  /** Role changes that engines began. */
  readonly role_changes: number;
  /** `set-role` commands that took effect while the engine was carrying out another role ordered with a higher fencing number. */
  readonly command_conflicts: number;
  /** Commands that took effect with a fencing number below one that the engine had seen before. */
  readonly stale_commands_effective: number;
  /** Requests sent to a backend server more than 3 s after it began to leave. */
  readonly new_work_after_leaving: number;
  /** Generated tokens that are not part of a complete answer. */
  readonly wasted_tokens: number;
  readonly p95_first_token_ms: number;
  readonly p95_between_tokens_ms: number;
  readonly seed: number;
  readonly policy: ReplayPolicy;
}

/** Inclusive bounds on an outcome, by field name. */
export type OutcomeBounds = Readonly<
  Record<string, {readonly min?: number; readonly max?: number}>
>;

/** A bound that an outcome violates, and the value that violates it. */
export interface ViolatedBound {
  readonly field: string;
  readonly value: number;
  readonly min?: number;
  readonly max?: number;
}

/** One point of the time series: the requests that arrived in its time span, and the fleet at its end. */
export interface SeriesPoint {
  readonly atMs: number;
  readonly arrived: number;
  /** Arrivals that were answered within their deadline. */
  inDeadline: number;
  /** Prompt and output tokens of the arrivals. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests that wait at engines at its end; `running` counts those in a batch. */
  readonly waiting: number;
  readonly running: number;
  /** 95th percentile of the arrivals' time to first token, in milliseconds. */
  p95FirstTokenMs: number;
  /** Role or state of each engine at its end, in the trace's order. */
  readonly roles: readonly string[];
}

/** One event of a node, a caller or a fault. */
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
  /** Role changes and declined role changes, each with its cause. */
  readonly plans: readonly PlanEvent[];
}

/** Options of a replay. */
export interface ReplayOptions {
  readonly seed?: number;
  readonly policy?: ReplayPolicy;
  readonly settings?: Partial<ReplaySettings>;
  /** Role planner for policy `anvilstack`, so that benchmarks can compare planners. */
  readonly planRoles?: RolePlanner;
  /** Overrides for the planner weights of the trace's deployment. */
  readonly weights?: Partial<PlannerWeights>;
}
