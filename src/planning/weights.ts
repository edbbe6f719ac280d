/** Planner weights for the kinds of deployments. */
import type {PlannerWeights} from './types';

/** Favors goodput: for deployments with many and varied deadlines. */
export const GOODPUT_WEIGHTS: PlannerWeights = {
  lostSecondCost: 1,
  fixedChangeCost: 4,
  targetUtilization: 0.95,
  safeUtilization: 0.95,
  maxTargetDistance: 4,
  maxConcurrentChanges: 2,
  cooldownMs: 15_000,
  horizonMs: 30_000,
};

/**
 * Favors few role changes: for deployments where a caller waits whenever an engine is unavailable.
 */
export const FEW_CHANGES_WEIGHTS: PlannerWeights = {
  ...GOODPUT_WEIGHTS,
  lostSecondCost: 1.5,
  fixedChangeCost: 25,
  maxTargetDistance: 5,
  maxConcurrentChanges: 1,
  cooldownMs: 60_000,
  horizonMs: 180_000,
};

/** Settings of a deployment that concern role changes. */
export interface WeightSettings {
  /** Value of one request answered within its deadline. */
  readonly goodputWeight: number;
  /** Cost of one engine second lost to a role change. */
  readonly roleChangeWeight: number;
  /** Least fraction of the engines that must be serving, 0 to 1. */
  readonly safeCapacity: number;
}

/**
 * Returns the weights for a deployment's settings and its number of engines. `safeCapacity` limits
 * how many engines change at the same time; one always may.
 */
export function createPlannerWeights(
  settings: WeightSettings,
  engines: number,
): PlannerWeights {
  const {goodputWeight, roleChangeWeight, safeCapacity} = settings;
  const base =
    roleChangeWeight > goodputWeight ? FEW_CHANGES_WEIGHTS : GOODPUT_WEIGHTS;
  const spare = Math.floor((1 - safeCapacity) * engines);
  return {
    ...base,
    maxConcurrentChanges: Math.min(
      base.maxConcurrentChanges,
      Math.max(1, spare),
    ),
  };
}
