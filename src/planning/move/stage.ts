/** Tells which stage of a move is in force. */
import type {AccountMove, MoveStage} from '../../state';
import type {MoveProgress} from './types';

/**
 * Returns the stage in force, or undefined before the first one.
 * An amendment that rolls back holds at once on every node that has read it.
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

/** Returns whether a stage is complete only when its gate holds, which takes the nodes' counts. */
export function hasGate(stage: MoveStage): boolean {
  return stage.kind !== 'prepare_weights' && stage.kind !== 'done';
}

/** Returns a stage's index, or -1 when an amendment has taken it away. */
export function findStageIndex(move: AccountMove, name: string): number {
  return move.stages.findIndex(stage => stage.name === name);
}
