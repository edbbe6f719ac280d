/** Tells what the destination of a move lacks, and which engines are to load it. */
import type {BackendServer, EngineReport} from '../../backends';
import {isSelected} from '../../routing';
import type {MoveStage, Template} from '../../state';
import {computeSelectorIntersection} from './select_servers';
import {tryGetNextStage, tryGetStageInForce} from './stage';
import type {DestinationEngine, MoveProgress} from './types';

/** A model or an adapter that an engine is to load. */
export interface MoveLoadOrder {
  readonly engine: string;
  readonly order:
    | {readonly kind: 'load-model'; readonly model: string}
    | {readonly kind: 'load-adapter'; readonly adapter: string};
  /** Why, for a person. */
  readonly cause: string;
}

/** What the engines hold, as last reported. */
export interface EngineInventory {
  readonly servers: readonly BackendServer[];
  readonly reports: ReadonlyMap<string, EngineReport>;
}

/** Returns the engines of a stage's destination with what each lacks. */
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

/** Returns what the engines of an account's destination are to load now, one item for each engine. */
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

/** The stage in force, or the next one once its time has come. */
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

/** An engine that has not reported lacks everything. */
function listMissing(
  wanted: readonly string[],
  held: readonly string[] | undefined,
): string[] {
  return wanted.filter(name => held?.includes(name) !== true);
}
