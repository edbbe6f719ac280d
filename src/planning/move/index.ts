export {createAccountWindows, mergeWindows} from './account_windows';
export type {
  AccountWindows,
  AccountWindowsOptions,
  CountedRequest,
} from './account_windows';
export {compareProgress, parseExpectedProgress} from './expected_progress';
export type {ExpectedProgress, ProgressRow} from './expected_progress';
export {createMoveIndex} from './move_index';
export type {MoveIndex, MovingAccount} from './move_index';
export {planMove} from './plan_move';
export {listMoveLoadOrders, listDestinationEngines} from './preparation';
export type {EngineInventory, MoveLoadOrder} from './preparation';
export {listProgressRows} from './progress_rows';
export type {ProgressRowsOptions} from './progress_rows';
export {createMoveRunner} from './runner';
export type {MoveRunner, MoveRunnerOptions} from './runner';
export {computeSelectorIntersection, selectMoveServers} from './select_servers';
export type {SelectMoveServersOptions} from './select_servers';
export {findStageIndex, tryGetNextStage, tryGetStageInForce} from './stage';
export {createMoveTraffic} from './traffic';
export type {EndedRequest, MoveTraffic, MoveTrafficOptions} from './traffic';
export type {
  AccountWindow,
  DestinationEngine,
  MoveDecision,
  MoveObservation,
  MoveProgress,
  MoveServers,
} from './types';
