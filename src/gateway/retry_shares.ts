/** This node's share of the retries that the whole fleet may send to each service. */
import {createRetryBudget, type RetryBudget} from '../routing/retry_budget';
import type {GatewayBounds} from './settings';

/** Options of the shares. */
export interface RetrySharesOptions {
  readonly bounds: GatewayBounds;
  /** Number of nodes that share the retries. */
  readonly countNodes: () => number;
}

/** Part of the fleet's retries that the nodes plan with: their counts of requests differ. */
const BUDGET_FRACTION = 0.7;
/** Nodes over which retries are shared as long as fewer are known. */
const MIN_BUDGET_NODES = 4;

/** Creates shares; the function returned gives the budget of a service. */
export function createRetryShares(
  options: RetrySharesOptions,
): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>();
  return service => {
    const known = budgets.get(service);
    if (known !== undefined) return known;
    const {retryRatio, retrySlack} = options.bounds;
    const nodes = Math.max(MIN_BUDGET_NODES, options.countNodes());
    const share = Math.max(1, (retrySlack / nodes) * BUDGET_FRACTION);
    const created = createRetryBudget({
      ratio: retryRatio * BUDGET_FRACTION,
      capacity: share,
      initial: share,
    });
    budgets.set(service, created);
    return created;
  };
}
