/** This node's share of the retry budget that the whole fleet has for each service. */
import {createRetryBudget, type RetryBudget} from '../routing/retry_budget';
import type {GatewayBounds} from './settings';

/** Options of the retry shares. */
export interface RetrySharesOptions {
  readonly bounds: GatewayBounds;
  /** Counts the nodes that share the budget, this one included. */
  readonly countNodes: () => number;
}

/** Fraction of the fleet's budget that is shared out; the reserve covers that the nodes' request counts differ. */
const BUDGET_FRACTION = 0.7;
/** Minimum number of nodes that the budget is divided by, for as long as fewer nodes are known. */
const MIN_BUDGET_NODES = 4;

/** Creates the shares; the returned function gives the budget of a service. */
export function createRetryShares(
  options: RetrySharesOptions,
): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>();
  return service => {
    const known = budgets.get(service);
    if (known !== undefined) return known;
    const {retryRatio, retrySlack} = options.bounds;
    const getShare = (): number => {
      const nodes = Math.max(MIN_BUDGET_NODES, options.countNodes());
      return Math.max(1, (retrySlack / nodes) * BUDGET_FRACTION);
    };
    const created = createRetryBudget({
      ratio: retryRatio * BUDGET_FRACTION,
      getCapacity: getShare,
      initial: getShare(),
    });
    budgets.set(service, created);
    return created;
  };
}
