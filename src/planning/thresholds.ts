/**
 * Threshold strategy with hysteresis: changes roles once the gain has been above a threshold for a
 * while.
 */
import {
  createRolePlanner,
  type DecisionInput,
  type RoleDecision,
} from './plan_roles';

/** How long the gain must have been above the threshold before a change, in milliseconds. */
const MIN_WANTED_MS = 3_000;
/** Least reduction of the overload by a change, in engines. */
const MIN_GAIN = 0.5;

/** Plans roles with the threshold strategy. */
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
  const cause = `gain above the threshold for ${wantedMs} of ${MIN_WANTED_MS} ms`;
  return {isChange: wantedMs >= MIN_WANTED_MS, cause, state: next};
}
