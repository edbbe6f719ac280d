/** Model-predictive: compares the losses of staying and of changing over a horizon, by trend. */
import {computeRating} from './targets';
import {createPlanRoles, type Decision, type RoleDecision} from './plan_roles';
import {addEngines} from './fleet_roles';
import type {Work} from './capacity';
import type {RoleCounts} from './types';

const STEP_MS = 2_000;
/** Part of the horizon over which the present trend is taken to go on. */
const TREND_MS = 5_000;
const DRAIN_MS = 3_000;
/** How many engine seconds a change must gain beyond its cost. */
const MARGIN = 1;

/** Plans over a horizon. */
export const planPredictively = createPlanRoles(chooseByPrediction);

function chooseByPrediction(decision: Decision): RoleDecision {
  const {state, present, best, changeCost, weights} = decision;
  if (present.counts === best.counts) {
    return {isChange: false, cause: 'the present roles fit', state};
  }
  const stay = computeLoss(decision, present.counts);
  const change = computeLoss(decision, best.counts);
  const fixed = changeCost * weights.lostSecondCost;
  const gain = stay - change - fixed;
  const cause = `loss over the horizon ${stay.toFixed(1)} staying, ${(change + fixed).toFixed(1)} changing`;
  return {isChange: gain > MARGIN, cause, state};
}

/** Engine seconds of overload over the horizon. */
function computeLoss(decision: Decision, target: RoleCounts): number {
  const {fleet, rates, weights, roleChangeMs} = decision;
  const away = takeAway(fleet.planned, target);
  let loss = 0;
  for (let ms = 0; ms < weights.horizonMs; ms += STEP_MS) {
    const counts = ms < roleChangeMs + DRAIN_MS ? away : target;
    const work = predictWork(decision, ms);
    const rated = computeRating(counts, work, rates, weights);
    loss += (rated.overload * STEP_MS) / 1_000;
  }
  return loss;
}

/** The roles without the engines that are on their way to the target. */
function takeAway(planned: RoleCounts, target: RoleCounts): RoleCounts {
  let left = planned;
  for (const role of ['prefill', 'decode', 'mixed'] as const) {
    const surplus = Math.max(0, planned[role] - target[role]);
    left = addEngines(left, role, -surplus);
  }
  return left;
}

function predictWork(decision: Decision, afterMs: number): Work {
  const {work, state, nowMs, rates} = decision;
  const before = state.demand;
  const elapsedMs = nowMs - state.atMs;
  if (before === undefined || elapsedMs <= 0) return work;
  const factor = Math.min(afterMs, TREND_MS) / Math.max(elapsedMs, TREND_MS);
  const prefill =
    before.prefillTokensPerS / Math.max(1, rates.prefillTokensPerS);
  const decode =
    (before.decodeTokensPerS * rates.decodeStepMsPerRequest) / 1_000;
  return {
    prefill: Math.max(0, work.prefill + (work.prefill - prefill) * factor),
    decode: Math.max(0, work.decode + (work.decode - decode) * factor),
  };
}
