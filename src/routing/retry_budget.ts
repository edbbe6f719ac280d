/**
 * A retry budget: limits retries to a fraction of the new requests, so that failures do not
 * multiply the load.
 */

/** A retry budget. */
export interface RetryBudget {
  /** Records a new request, which adds to the budget. */
  recordRequest(): void;
  /** Takes one retry from the budget; false when it is used up. */
  tryTake(): boolean;
}

/** Options of a budget. */
export interface RetryBudgetOptions {
  /** Retries added for each new request. */
  readonly ratio?: number;
  /** Most retries saved up. */
  readonly capacity?: number;
  /** Retries available at the start. */
  readonly initial?: number;
}

const DEFAULTS = {ratio: 0.05, capacity: 8, initial: 2};

/** Creates a budget. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const {ratio, capacity, initial} = {...DEFAULTS, ...options};
  let tokens = initial;
  return {
    recordRequest: () => {
      tokens = Math.min(capacity, tokens + ratio);
    },
    tryTake: () => {
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
  };
}
