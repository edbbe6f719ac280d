/** The weights of each kind of deployment. */
import type {PlannerWeights} from './types';

/** Weighs goodput most: deadlines are many and varied. */
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

/** Weighs few role changes most: every second an engine is away is a caller waiting. */
export const FEW_CHANGES_WEIGHTS: PlannerWeights = {
  ...GOODPUT_WEIGHTS,
  lostSecondCost: 1.5,
  fixedChangeCost: 25,
  maxTargetDistance: 5,
  maxConcurrentChanges: 1,
  cooldownMs: 60_000,
  horizonMs: 180_000,
};

/** What a deployment's settings say of role changes. */
export interface WeightSettings {
  /** Worth of one request answered in its deadline. */
  readonly goodputWeight: number;
  /** Cost of one engine second lost to a role change. */
  readonly roleChangeWeight: number;
  /** Least part of the engines that must be serving, 0 to 1. */
  readonly safeCapacity: number;
}

/** Returns the weights for a deployment's settings and its number of engines. */
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
