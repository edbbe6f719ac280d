/**
 * Model-predictive strategy: extrapolates the trend of the demand over a horizon and compares the
 * loss with the current roles to the loss with the best ones.
 */
import {computeRating} from './targets';
import {
  createRolePlanner,
  type DecisionInput,
  type RoleDecision,
} from './plan_roles';
import {addEngines} from './fleet_roles';
import type {OfferedLoad} from './capacity';
import type {RoleCounts} from './types';

/** Step of the simulation over the horizon, in milliseconds. */
const STEP_MS = 2_000;
/**
 * How long the current trend is assumed to continue, in milliseconds; the load is constant after
 * that.
 */
const TREND_MS = 5_000;
/** Typical time that an engine takes to drain before its role changes, in milliseconds. */
const TYPICAL_DRAIN_MS = 3_000;
/** Least gain of a change beyond its cost, in engine seconds. */
const MIN_GAIN = 1;

/** Plans roles with the model-predictive strategy. */
export const planPredictively = createRolePlanner(chooseByPrediction);

function chooseByPrediction(decision: DecisionInput): RoleDecision {
  const {state, current, best, changeCost, weights} = decision;
  if (current.counts === best.counts) {
    return {isChange: false, cause: 'the current roles fit', state};
  }
  const stayLoss = computeLoss(decision, current.counts);
  const changeLoss = computeLoss(decision, best.counts);
  const changePenalty = changeCost * weights.lostSecondCost;
  const gain = stayLoss - changeLoss - changePenalty;
  const cause = `predicted loss: ${stayLoss.toFixed(1)} engine seconds without the change, ${(changeLoss + changePenalty).toFixed(1)} with it`;
  return {isChange: gain > MIN_GAIN, cause, state};
}

/** Returns the overload over the horizon, in engine seconds. */
function computeLoss(decision: DecisionInput, target: RoleCounts): number {
  const {fleet, rates, weights, roleChangeMs} = decision;
  const countsDuringChange = removeChangingEngines(fleet.planned, target);
  let totalLoss = 0;
  for (let ms = 0; ms < weights.horizonMs; ms += STEP_MS) {
    const counts =
      ms < roleChangeMs + TYPICAL_DRAIN_MS ? countsDuringChange : target;
    const load = predictLoad(decision, ms);
    const rated = computeRating(counts, load, rates, weights);
    totalLoss += (rated.overload * STEP_MS) / 1_000;
  }
  return totalLoss;
}

/** Returns the role counts without the engines that are unavailable while they change role. */
function removeChangingEngines(
  planned: RoleCounts,
  target: RoleCounts,
): RoleCounts {
  let remaining = planned;
  for (const role of ['prefill', 'decode', 'mixed'] as const) {
    const surplus = Math.max(0, planned[role] - target[role]);
    remaining = addEngines(remaining, role, -surplus);
  }
  return remaining;
}

function predictLoad(decision: DecisionInput, afterMs: number): OfferedLoad {
  const {load, state, nowMs, rates} = decision;
  const previous = state.demand;
  const elapsedMs = nowMs - state.plannedAtMs;
  if (previous === undefined || elapsedMs <= 0) return load;
  const factor = Math.min(afterMs, TREND_MS) / Math.max(elapsedMs, TREND_MS);
  const prefill =
    previous.prefillTokensPerS / Math.max(1, rates.prefillTokensPerS);
  const decode =
    (previous.decodeTokensPerS * rates.decodeStepMsPerRequest) / 1_000;
  return {
    prefill: Math.max(0, load.prefill + (load.prefill - prefill) * factor),
    decode: Math.max(0, load.decode + (load.decode - decode) * factor),
  };
}
