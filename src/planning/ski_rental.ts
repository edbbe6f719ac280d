/**
 * Competitive ski-rental: the present roles are kept until the engine seconds that
 * they have cost against the best ones reach the cost of a change. Whatever comes
 * next, the time lost is then at most twice what full knowledge would have lost.
 */
import {createPlanRoles, type Decision, type RoleDecision} from './plan_roles';

/** How fast regret is forgotten while the present roles fit, in engine seconds a second. */
const FORGET_RATE = 1;

/** Plans by ski-rental. */
export const planBySkiRental = createPlanRoles(chooseByRegret);

function chooseByRegret(decision: Decision): RoleDecision {
  const {state, nowMs, present, best, changeCost} = decision;
  const elapsedS = Math.max(0, nowMs - state.atMs) / 1_000;
  const isBest = present.counts === best.counts;
  const lost = present.overload - best.overload;
  const regret = isBest
    ? Math.max(0, state.regret - FORGET_RATE * elapsedS)
    : state.regret + lost * elapsedS;
  const next = {...state, regret};
  const seen = `regret ${regret.toFixed(1)} of ${changeCost.toFixed(1)} engine seconds`;
  if (isBest || regret < changeCost) {
    return {isChange: false, cause: `not worth it yet: ${seen}`, state: next};
  }
  return {isChange: true, cause: seen, state: next};
}
