/** Decides the next step of a client account's move. Pure functions. */
import {assertNever} from '../../runtime';
import type {MoveStage} from '../../state';
import {findStageIndex, tryGetNextStage, tryGetStageInForce} from './stage';
import type {MoveDecision, MoveObservation} from './types';

/**
 * Number of windows after which a gate passes with fewer requests than it requires, so that an
 * account with little traffic does not stay in a stage forever.
 */
const MAX_GATE_WINDOWS = 10;

/** Returns the next step, or what the move waits for. */
export function planMove(observation: MoveObservation): MoveDecision {
  const {move, progress} = observation;
  const inForce = tryGetStageInForce(move, progress);
  if (progress !== undefined && inForce === undefined) {
    return createWait(`stage ${progress.stage} is no longer in the template`);
  }
  if (inForce !== undefined && progress?.stage !== inForce.name) {
    return {
      kind: 'enter',
      stage: inForce,
      cause: `rolled back from ${progress?.stage} by the template`,
    };
  }
  if (inForce !== undefined && progress?.isComplete !== true) {
    return planCompletion(inForce, observation);
  }
  return planEntry(tryGetNextStage(move, inForce), observation);
}

function planEntry(
  next: MoveStage | undefined,
  observation: MoveObservation,
): MoveDecision {
  const {move, nowMs} = observation;
  if (next === undefined) return createWait('the move has ended');
  if (move.hold)
    return createWait(`on hold before ${next.name}, set in the template`);
  if (isBeyondRollbackLimit(next, observation)) {
    return createWait(`rolled back to ${move.roll_back_to} by the template`);
  }
  if (nowMs < Date.parse(next.starts_at)) {
    return createWait(`${next.name} starts at ${next.starts_at}`);
  }
  if (hasDestinationTraffic(next)) {
    const unprepared = listUnprepared(observation);
    if (unprepared.length > 0 || observation.destination.length === 0) {
      return planPreparation(next, observation);
    }
  }
  return {kind: 'enter', stage: next, cause: 'its start time has come'};
}

function isBeyondRollbackLimit(
  next: MoveStage,
  {move}: MoveObservation,
): boolean {
  if (move.roll_back_to === undefined) return false;
  const limit = findStageIndex(move, move.roll_back_to);
  return limit >= 0 && findStageIndex(move, next.name) > limit;
}

function planCompletion(
  stage: MoveStage,
  observation: MoveObservation,
): MoveDecision {
  switch (stage.kind) {
    case 'prepare_weights':
      if (listUnprepared(observation).length > 0) {
        return planPreparation(stage, observation);
      }
      if (observation.destination.length === 0) {
        return createWait('no engine of the destination is known');
      }
      return createCompletion(
        stage,
        'every engine of the destination has the weights',
      );
    case 'warm':
    case 'shift':
      return planGate(stage, observation);
    case 'drain':
      return planDrain(stage, observation);
    case 'done':
      return createCompletion(stage, 'the move has ended');
    default:
      return assertNever(stage.kind);
  }
}

function planDrain(
  stage: MoveStage,
  observation: MoveObservation,
): MoveDecision {
  const open = observation.window?.openAtOrigin ?? 0;
  if (open > 0) return createWait(`${open} requests still run at the origin`);
  return planGate(stage, observation);
}

/**
 * Returns whether a stage sends requests to the destination, so that its engines need the models.
 */
function hasDestinationTraffic(stage: MoveStage): boolean {
  return stage.share > 0 || stage.kind === 'drain' || stage.kind === 'done';
}

function planPreparation(
  stage: MoveStage,
  observation: MoveObservation,
): MoveDecision {
  const unprepared = listUnprepared(observation);
  if (unprepared.length === 0)
    return createWait('no engine of the destination is known');
  const names = unprepared.map(item => item.engine).join(', ');
  return {
    kind: 'prepare',
    stage,
    engines: unprepared,
    cause: `weights are missing at ${names}`,
  };
}

function planGate(
  stage: MoveStage,
  {window, progress, nowMs}: MoveObservation,
): MoveDecision {
  const {gate} = stage;
  const timeInStageMs = nowMs - (progress?.enteredAtMs ?? nowMs);
  if (timeInStageMs < gate.window_s * 1_000) {
    return createWait(
      `${stage.name} must run for ${gate.window_s} s before its gate is checked`,
    );
  }
  if (window === undefined)
    return createWait('too few nodes reported their request counts');
  if (window.requests < gate.min_requests) {
    return planFewRequests(stage, window.requests, timeInStageMs);
  }
  const goodput = window.inDeadline / Math.max(1, window.requests);
  const errorRate = window.failed / Math.max(1, window.requests);
  if (goodput < gate.min_goodput) {
    return createWait(
      `goodput ${goodput.toFixed(3)} is below the gate's ${gate.min_goodput}`,
    );
  }
  if (errorRate > gate.max_error_rate) {
    return createWait(
      `error rate ${errorRate.toFixed(3)} is above the gate's ${gate.max_error_rate}`,
    );
  }
  return createCompletion(
    stage,
    `goodput ${goodput.toFixed(3)}, error rate ${errorRate.toFixed(3)} over ${window.requests} requests`,
  );
}

function planFewRequests(
  stage: MoveStage,
  requests: number,
  timeInStageMs: number,
): MoveDecision {
  const {gate} = stage;
  const limitMs = MAX_GATE_WINDOWS * gate.window_s * 1_000;
  if (timeInStageMs >= limitMs) {
    return createCompletion(
      stage,
      `only ${requests} requests in ${MAX_GATE_WINDOWS} windows`,
    );
  }
  return createWait(
    `${requests} of the ${gate.min_requests} requests that the gate requires`,
  );
}

function listUnprepared(
  observation: MoveObservation,
): MoveObservation['destination'] {
  return observation.destination.filter(
    item => item.missingModels.length + item.missingAdapters.length > 0,
  );
}

function createCompletion(stage: MoveStage, cause: string): MoveDecision {
  return {kind: 'complete', stage, cause};
}

function createWait(cause: string): MoveDecision {
  return {kind: 'wait', cause};
}
