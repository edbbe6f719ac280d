/** Decides whether a task that failed starts again, and when. */
import type {RestartPolicy} from './supervisor_types';

/** Restarts that a task has unless its policy says otherwise. */
export const DEFAULT_RESTART_POLICY: RestartPolicy = {
  mode: 'on-failure',
  maxRestarts: 5,
  windowMs: 60_000,
  firstDelayMs: 100,
  maxDelayMs: 5_000,
};

/** The restarts of one task. */
export interface RestartBudget {
  /** Returns the delay before the next start, or undefined when the budget is spent. */
  tryTakeDelay(nowMs: number): number | undefined;
}

/** Creates the budget of a task that has not failed yet. */
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
