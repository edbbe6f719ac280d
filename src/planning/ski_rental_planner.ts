/**
 * Competitive ski-rental: the present roles are kept until the engine seconds that
 * they have cost against the best ones reach the cost of a change. Whatever comes
 * next, the time lost is then at most twice what full knowledge would have lost.
 */
import {
  createRolePlanner,
  type DecisionInput,
  type RoleDecision,
} from './plan_roles';

/** How fast regret is forgotten while the present roles fit, in engine seconds a second. */
const REGRET_DECAY_RATE = 1;

/** Plans by ski-rental. */
export const planBySkiRental = createRolePlanner(chooseByRegret);

function chooseByRegret(decision: DecisionInput): RoleDecision {
  const {state, nowMs, current, best, changeCost} = decision;
  const elapsedS = Math.max(0, nowMs - state.plannedAtMs) / 1_000;
  const isCurrentBest = current.counts === best.counts;
  const lost = current.overload - best.overload;
  const regret = isCurrentBest
    ? Math.max(0, state.regret - REGRET_DECAY_RATE * elapsedS)
    : state.regret + lost * elapsedS;
  const next = {...state, regret};
  const regretText = `regret ${regret.toFixed(1)} of ${changeCost.toFixed(1)} engine seconds`;
  if (isCurrentBest || regret < changeCost) {
    return {
      isChange: false,
      cause: `not worth it yet: ${regretText}`,
      state: next,
    };
  }
  return {isChange: true, cause: regretText, state: next};
}
