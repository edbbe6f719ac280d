/** Thresholds with hysteresis: a change begins when the present roles have been too full for a time. */
import {
  createRolePlanner,
  type DecisionInput,
  type RoleDecision,
} from './plan_roles';

/** How long the roles must have been too full, in milliseconds. */
const MIN_WANTED_MS = 3_000;
/** How many engines' overload a change must save. */
const MIN_GAIN = 0.5;

/** Plans by thresholds. */
export const planByThresholds = createRolePlanner(chooseByThresholds);

function chooseByThresholds(decision: DecisionInput): RoleDecision {
  const {state, nowMs, current, best} = decision;
  const isWanted = current.overload - best.overload >= MIN_GAIN;
  if (!isWanted) {
    const next = {...state, target: undefined, targetSinceMs: nowMs};
    return {
      isChange: false,
      cause: 'the gain is below the threshold',
      state: next,
    };
  }
  const wantedSinceMs =
    state.target === undefined ? nowMs : state.targetSinceMs;
  const next = {...state, target: best.counts, targetSinceMs: wantedSinceMs};
  const wantedMs = nowMs - wantedSinceMs;
  const cause = `wanted for ${wantedMs} of ${MIN_WANTED_MS} ms`;
  return {isChange: wantedMs >= MIN_WANTED_MS, cause, state: next};
}
