/** Determines which stage of a move is in force. */
import type {AccountMove, MoveStage} from '../../state';
import type {MoveProgress} from './types';

/**
 * Returns the stage in force, or undefined before the first one. A rollback in an amended template
 * applies as soon as a node has read it, before the rollback is recorded as progress.
 */
export function tryGetStageInForce(
  move: AccountMove,
  progress: MoveProgress | undefined,
): MoveStage | undefined {
  if (progress === undefined) return undefined;
  const entered = findStageIndex(move, progress.stage);
  if (move.roll_back_to === undefined) return move.stages[entered];
  const limit = findStageIndex(move, move.roll_back_to);
  return move.stages[limit < 0 ? entered : Math.min(entered, limit)];
}

/** Returns the stage after the one in force, or undefined at the end. */
export function tryGetNextStage(
  move: AccountMove,
  inForce: MoveStage | undefined,
): MoveStage | undefined {
  if (inForce === undefined) return move.stages[0];
  return move.stages[findStageIndex(move, inForce.name) + 1];
}

/**
 * Returns whether a stage completes only when its gate passes, which needs the request counts of
 * the nodes.
 */
export function hasGate(stage: MoveStage): boolean {
  return stage.kind !== 'prepare_weights' && stage.kind !== 'done';
}

/** Returns the index of a stage, or -1 when an amendment has removed it. */
export function findStageIndex(move: AccountMove, name: string): number {
  return move.stages.findIndex(stage => stage.name === name);
}
