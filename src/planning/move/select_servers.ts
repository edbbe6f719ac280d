/** Selects the servers that may serve a request during the move of its client account. */
import {assertNever} from '../../runtime';
import type {ServerSelector, Template} from '../../state';
import {tryGetStageInForce} from './stage';
import type {MoveProgress, MoveServers} from './types';

/** Options of `selectMoveServers`. */
export interface SelectMoveServersOptions {
  readonly template: Template;
  /** Undefined while no stage has been entered. */
  readonly progress: MoveProgress | undefined;
  /** Random number of the request, 0 <= draw < 1. */
  readonly draw: number;
}

/**
 * Returns the servers of the origin or of the destination, according to the stage and its share.
 */
export function selectMoveServers(
  options: SelectMoveServersOptions,
): MoveServers {
  const {template, progress, draw} = options;
  const {move, engines} = template;
  if (move === undefined) return {servers: engines};
  const stage = tryGetStageInForce(move, progress);
  if (stage === undefined) {
    return {servers: computeSelectorIntersection(engines, move.stages[0].from)};
  }
  const origin = computeSelectorIntersection(engines, stage.from);
  const destination = computeSelectorIntersection(engines, stage.to);
  switch (stage.kind) {
    case 'prepare_weights':
      return {servers: origin};
    case 'warm':
    case 'shift':
      return draw < stage.share
        ? {servers: destination, fallback: origin}
        : {servers: origin, fallback: destination};
    case 'drain':
    case 'done':
      return {servers: destination};
    default:
      return assertNever(stage.kind);
  }
}

/** Returns a selector of the servers that both selectors select. */
export function computeSelectorIntersection(
  left: ServerSelector,
  right: ServerSelector,
): ServerSelector {
  return {
    buildings: computeListIntersection(left.buildings, right.buildings),
    failure_domains: computeListIntersection(
      left.failure_domains,
      right.failure_domains,
    ),
    ids: computeListIntersection(left.ids, right.ids),
  };
}

function computeListIntersection(
  left: string[] | undefined,
  right: string[] | undefined,
): string[] | undefined {
  if (left === undefined) return right;
  if (right === undefined) return left;
  return left.filter(item => right.includes(item));
}
