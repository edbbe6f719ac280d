export {createAccountWindows, mergeWindows} from './account_windows';
export type {
  AccountWindows,
  AccountWindowsOptions,
  CountedRequest,
} from './account_windows';
export {compareProgress, parseExpectedProgress} from './expected';
export type {ExpectedProgress, ProgressRow} from './expected';
export {createMoveIndex} from './move_index';
export type {MoveIndex, MovingAccount} from './move_index';
export {planMove} from './plan_move';
export {listMoveLoads, listPreparations} from './preparation';
export type {EngineHoldings, MoveLoad} from './preparation';
export {listProgressRows} from './progress_rows';
export type {ProgressRowsOptions} from './progress_rows';
export {createMoveRunner} from './runner';
export type {MoveRunner, MoveRunnerOptions} from './runner';
export {mergeSelectors, selectMoveServers} from './select_servers';
export type {SelectMoveServersOptions} from './select_servers';
export {findStageIndex, tryGetNextStage, tryGetStageInForce} from './stage';
export {createMoveTraffic} from './traffic';
export type {EndedRequest, MoveTraffic, MoveTrafficOptions} from './traffic';
export type {
  AccountWindow,
  EnginePreparation,
  MoveDecision,
  MoveObservation,
  MoveProgress,
  MoveServers,
} from './types';
