/** Model-predictive: compares the losses of staying and of changing over a horizon, by trend. */
import {computeRating} from './targets';
import {
  createRolePlanner,
  type DecisionInput,
  type RoleDecision,
} from './plan_roles';
import {addEngines} from './fleet_roles';
import type {OfferedLoad} from './capacity';
import type {RoleCounts} from './types';

const STEP_MS = 2_000;
/** Part of the horizon over which the present trend is taken to go on. */
const TREND_MS = 5_000;
const TYPICAL_DRAIN_MS = 3_000;
/** How many engine seconds a change must gain beyond its cost. */
const MIN_GAIN = 1;

/** Plans over a horizon. */
export const planPredictively = createRolePlanner(chooseByPrediction);

function chooseByPrediction(decision: DecisionInput): RoleDecision {
  const {state, current, best, changeCost, weights} = decision;
  if (current.counts === best.counts) {
    return {isChange: false, cause: 'the present roles fit', state};
  }
  const stayLoss = computeLoss(decision, current.counts);
  const changeLoss = computeLoss(decision, best.counts);
  const changePenalty = changeCost * weights.lostSecondCost;
  const gain = stayLoss - changeLoss - changePenalty;
  const cause = `loss over the horizon ${stayLoss.toFixed(1)} staying, ${(changeLoss + changePenalty).toFixed(1)} changing`;
  return {isChange: gain > MIN_GAIN, cause, state};
}

/** Engine seconds of overload over the horizon. */
function computeLoss(decision: DecisionInput, target: RoleCounts): number {
  const {fleet, rates, weights, roleChangeMs} = decision;
  const away = removeChangingEngines(fleet.planned, target);
  let totalLoss = 0;
  for (let ms = 0; ms < weights.horizonMs; ms += STEP_MS) {
    const counts = ms < roleChangeMs + TYPICAL_DRAIN_MS ? away : target;
    const load = predictLoad(decision, ms);
    const rated = computeRating(counts, load, rates, weights);
    totalLoss += (rated.overload * STEP_MS) / 1_000;
  }
  return totalLoss;
}

/** The roles without the engines that are on their way to the target. */
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
