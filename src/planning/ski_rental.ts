/**
 * Ski-rental strategy: keeps the current roles until the engine seconds that they have lost compared
 * with the best roles (the regret) reach the cost of a change. The algorithm is 2-competitive:
 * whatever the demand does next, the loss is at most twice that of a plan that knows the future.
 */
import {
  createRolePlanner,
  type DecisionInput,
  type RoleDecision,
} from './plan_roles';

/**
 * Decrease of the regret while the current roles are the best ones, in engine seconds per second.
 */
const REGRET_DECAY_RATE = 1;

/** Plans roles with the ski-rental strategy. */
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
