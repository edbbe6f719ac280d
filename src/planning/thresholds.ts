/** Thresholds with hysteresis: a change begins when the present roles have been too full for a time. */
import {createPlanRoles, type Decision, type RoleDecision} from './plan_roles';

/** How long the roles must have been too full, in milliseconds. */
const HOLD_MS = 3_000;
/** How many engines' overload a change must save. */
const MIN_GAIN = 0.5;

/** Plans by thresholds. */
export const planByThresholds = createPlanRoles(chooseByThresholds);

function chooseByThresholds(decision: Decision): RoleDecision {
  const {state, nowMs, present, best} = decision;
  const isWanted = present.overload - best.overload >= MIN_GAIN;
  if (!isWanted) {
    const next = {...state, target: undefined, targetSinceMs: nowMs};
    return {
      isChange: false,
      cause: 'the gain is below the threshold',
      state: next,
    };
  }
  const sinceMs = state.target === undefined ? nowMs : state.targetSinceMs;
  const next = {...state, target: best.counts, targetSinceMs: sinceMs};
  const heldMs = nowMs - sinceMs;
  const cause = `wanted for ${heldMs} of ${HOLD_MS} ms`;
  return {isChange: heldMs >= HOLD_MS, cause, state: next};
}
