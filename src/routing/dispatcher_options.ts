/** Options of a dispatcher, and the named routing policies that replays compare. */
import type {AccountLimiter} from './account_limiter';
import {
  type ChooseEngine,
  createLeastLoadedChoice,
  createPredictedChoice,
  createRoundRobinChoice,
} from './choice';
import type {EjectionOptions} from './ejection';
import type {EngineLimits} from './estimate';
import type {RetryBudgetOptions} from './retry_budget';
import type {QueueLimits} from './pool_queues';

/** Options of a dispatcher. */
export interface DispatcherOptions {
  /** Policy that chooses the engine of an attempt. */
  readonly choose?: ChooseEngine;
  /** False to send every request at once and refuse none early, as a plain load balancer does. */
  readonly isQueueing?: boolean;
  /** Typical age of an engine's report when it arrives, in milliseconds. */
  readonly reportLagMs?: number;
  readonly engineLimits?: Partial<EngineLimits>;
  readonly queueLimits?: QueueLimits;
  readonly retries?: RetryBudgetOptions;
  readonly ejection?: EjectionOptions;
  /** Enforces the limits of client accounts; requests without limits are admitted. */
  readonly limiter?: AccountLimiter;
  /** Time to move the KV cache of one token between engines, in milliseconds. */
  readonly kvTransferMsPerToken?: number;
  /** Cost added to a plan for each millisecond of KV transfer, on top of the delay itself. */
  readonly kvTransferCostWeight?: number;
}

/** Names of the routing policies. */
export const RoutingPolicy = {
  Predicted: 'predicted',
  RoundRobin: 'round-robin',
  LeastLoaded: 'least-loaded',
} as const;
export type RoutingPolicy = (typeof RoutingPolicy)[keyof typeof RoutingPolicy];

/** Options with all defaults filled in. */
export interface ResolvedOptions extends Required<
  Omit<DispatcherOptions, 'engineLimits' | 'limiter'>
> {
  readonly engineLimits: EngineLimits;
  readonly limiter: AccountLimiter | undefined;
}

const DEFAULT_REPORT_LAG_MS = 500;
const DEFAULT_KV_TRANSFER_MS_PER_TOKEN = 0.01;
const DEFAULT_KV_TRANSFER_COST_WEIGHT = 1;
const DEFAULT_ENGINE_LIMITS: EngineLimits = {
  maxPrefillBacklogMs: 4_000,
  maxNonUrgentBatchFraction: 0.5,
  urgentFactor: 1.5,
};

/** Fills in the defaults of the options. */
export function resolveOptions(options: DispatcherOptions): ResolvedOptions {
  return {
    choose: options.choose ?? createPredictedChoice(),
    isQueueing: options.isQueueing ?? true,
    reportLagMs: options.reportLagMs ?? DEFAULT_REPORT_LAG_MS,
    engineLimits: {...DEFAULT_ENGINE_LIMITS, ...options.engineLimits},
    queueLimits: options.queueLimits ?? {},
    retries: options.retries ?? {},
    ejection: options.ejection ?? {},
    limiter: options.limiter,
    kvTransferMsPerToken:
      options.kvTransferMsPerToken ?? DEFAULT_KV_TRANSFER_MS_PER_TOKEN,
    kvTransferCostWeight:
      options.kvTransferCostWeight ?? DEFAULT_KV_TRANSFER_COST_WEIGHT,
  };
}

/** Creates the options of a named policy; the baselines do not queue. */
export function createPolicyOptions(policy: RoutingPolicy): DispatcherOptions {
  switch (policy) {
    case RoutingPolicy.Predicted:
      return {choose: createPredictedChoice()};
    case RoutingPolicy.RoundRobin:
      return {choose: createRoundRobinChoice(), isQueueing: false};
    case RoutingPolicy.LeastLoaded:
      return {choose: createLeastLoadedChoice(), isQueueing: false};
  }
}
