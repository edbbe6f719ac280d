/** A budget of retries: a part of the fresh requests, so that failures do not multiply the load. */

/** A budget of retries. */
export interface RetryBudget {
  /** Takes note of a fresh request. */
  recordRequest(): void;
  /** Takes one retry from the budget; false when it is used up. */
  tryTake(): boolean;
}

/** Options of a budget. */
export interface RetryBudgetOptions {
  /** Retries for each fresh request. */
  readonly ratio?: number;
  /** Most retries saved up. */
  readonly capacity?: number;
  /** Retries at the start. */
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
