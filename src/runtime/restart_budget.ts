/** Limits the restarts of a failed task and computes the backoff before each. */
import type {RestartPolicy} from './supervisor_types';

/** Restart policy of tasks that do not set their own. */
export const DEFAULT_RESTART_POLICY: RestartPolicy = {
  mode: 'on-failure',
  maxRestarts: 5,
  windowMs: 60_000,
  firstDelayMs: 100,
  maxDelayMs: 5_000,
};

/** The remaining restarts of one task. */
export interface RestartBudget {
  /**
   * Uses up one restart and returns the delay before it, in milliseconds;
   * undefined when `maxRestarts` within `windowMs` are used up.
   */
  tryTakeDelay(nowMs: number): number | undefined;
}

/** Creates the budget of a task without restarts so far. */
export function createRestartBudget(policy: RestartPolicy): RestartBudget {
  let restartedAtMs: number[] = [];
  return {
    tryTakeDelay: nowMs => {
      restartedAtMs = restartedAtMs.filter(
        atMs => nowMs - atMs < policy.windowMs,
      );
      const count = restartedAtMs.length;
      if (count >= policy.maxRestarts) return undefined;
      restartedAtMs.push(nowMs);
      return Math.min(policy.maxDelayMs, policy.firstDelayMs * 2 ** count);
    },
  };
}
