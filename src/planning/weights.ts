/** The weights of each kind of deployment. */
import type {PlannerWeights} from './types';

/** Weighs goodput most: deadlines are many and varied. */
export const GOODPUT_WEIGHTS: PlannerWeights = {
  lostSecondCost: 1,
  changeCost: 5,
  targetUtilization: 0.95,
  safeUtilization: 0.95,
  maxReach: 4,
  maxAtOnce: 2,
  restMs: 15_000,
  horizonMs: 30_000,
};

/** Weighs few role changes most: every second an engine is away is a caller waiting. */
export const FEW_CHANGES_WEIGHTS: PlannerWeights = {
  ...GOODPUT_WEIGHTS,
  lostSecondCost: 1.5,
  changeCost: 25,
  maxReach: 5,
  maxAtOnce: 2,
  restMs: 60_000,
  horizonMs: 180_000,
};
