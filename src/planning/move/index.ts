export {createAccountWindows, mergeWindows} from './account_windows';
export type {
  AccountWindows,
  AccountWindowsOptions,
  CountedRequest,
} from './account_windows';
export {compareProgress, parseExpectedProgress} from './expected';
export type {ExpectedProgress, ProgressRow} from './expected';
export {planMove} from './plan_move';
export {mergeSelectors, selectMoveServers} from './select_servers';
export type {SelectMoveServersOptions} from './select_servers';
export {findStageIndex, tryGetNextStage, tryGetStageInForce} from './stage';
export type {
  AccountWindow,
  EnginePreparation,
  MoveDecision,
  MoveObservation,
  MoveProgress,
  MoveServers,
} from './types';
