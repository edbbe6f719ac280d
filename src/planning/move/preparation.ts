/**
 * Determines which models and adapters the destination of a move lacks, and which engines must load
 * them.
 */
import type {BackendServer, EngineReport} from '../../backends';
import {isSelected} from '../../routing';
import type {MoveStage, Template} from '../../state';
import {computeSelectorIntersection} from './select_servers';
import {tryGetNextStage, tryGetStageInForce} from './stage';
import type {DestinationEngine, MoveProgress} from './types';

/** An order for an engine to load a model or an adapter. */
export interface MoveLoadOrder {
  readonly engine: string;
  readonly order:
    | {readonly kind: 'load-model'; readonly model: string}
    | {readonly kind: 'load-adapter'; readonly adapter: string};
  /** Reason, for operators. */
  readonly cause: string;
}

/** Backend servers, and the last report of each engine by server id. */
export interface EngineInventory {
  readonly servers: readonly BackendServer[];
  readonly reports: ReadonlyMap<string, EngineReport>;
}

/** Returns the engines of a stage's destination, each with its missing models and adapters. */
export function listDestinationEngines(
  template: Template,
  stage: MoveStage,
  {servers, reports}: EngineInventory,
): DestinationEngine[] {
  const selector = computeSelectorIntersection(template.engines, stage.to);
  return servers
    .filter(server => server.kind === 'model_engine' && !server.isLeaving)
    .filter(server => isSelected(server, selector))
    .map(server => {
      const report = reports.get(server.id);
      return {
        engine: server.id,
        missingModels: listMissing(template.models, report?.models),
        missingAdapters: listMissing(template.adapters, report?.adapters),
      };
    });
}

/**
 * Returns the load orders for the engines of an account's destination, at most one for each engine.
 */
export function listMoveLoadOrders(
  template: Template,
  progress: MoveProgress | undefined,
  nowMs: number,
  inventory: EngineInventory,
): MoveLoadOrder[] {
  const stage = tryGetStageToPrepare(template, progress, nowMs);
  if (stage === undefined) return [];
  return listDestinationEngines(template, stage, inventory).flatMap(item =>
    createLoadOrders(item, template, stage),
  );
}

/** Returns the next stage once its start time has come, and the stage in force before that. */
function tryGetStageToPrepare(
  {move}: Template,
  progress: MoveProgress | undefined,
  nowMs: number,
): MoveStage | undefined {
  if (move === undefined) return undefined;
  const inForce = tryGetStageInForce(move, progress);
  const next = tryGetNextStage(move, inForce);
  const isNextDue =
    next !== undefined && !move.hold && nowMs >= Date.parse(next.starts_at);
  return isNextDue ? next : inForce;
}

function createLoadOrders(
  item: DestinationEngine,
  template: Template,
  stage: MoveStage,
): MoveLoadOrder[] {
  const cause = `stage ${stage.name} of the move of ${template.client_account}`;
  const [model] = item.missingModels;
  if (model !== undefined) {
    const order = {kind: 'load-model' as const, model};
    return [{engine: item.engine, order, cause}];
  }
  const [adapter] = item.missingAdapters;
  if (adapter === undefined) return [];
  const order = {kind: 'load-adapter' as const, adapter};
  return [{engine: item.engine, order, cause}];
}

/**
 * Returns the wanted names that are not held. An engine without a report (`undefined`) lacks all of
 * them.
 */
function listMissing(
  wanted: readonly string[],
  held: readonly string[] | undefined,
): string[] {
  return wanted.filter(name => held?.includes(name) !== true);
}
