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
  /** Returns the most retries that may be saved up, which may vary. */
  readonly getCapacity?: () => number;
  /** Retries available at the start. */
  readonly initial?: number;
}

const DEFAULTS = {ratio: 0.05, getCapacity: () => 8, initial: 2};

/** Creates a budget. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const {ratio, getCapacity, initial} = {...DEFAULTS, ...options};
  let tokens = initial;
  return {
    recordRequest: () => {
      tokens = Math.min(getCapacity(), tokens + ratio);
    },
    tryTake: () => {
      tokens = Math.min(getCapacity(), tokens);
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
  };
}
