export {tryGetRank} from './candidates';
export {createCommandSender} from './command_sender';
export type {CommandSenderOptions} from './command_sender';
export {controlStream, tryGetLease} from './control_fold';
export {createControlLoop} from './control_loop';
export type {ControlLoop, ControlLoopOptions} from './control_loop';
export {createLeaseHolder} from './lease_holder';
export type {LeaseHolderOptions} from './lease_holder';
export {
  CANDIDATE_STAGGER_MS,
  getChallengeWaitMs,
  LEASE_HOLD_MS,
  LEASE_RENEW_MS,
  MAX_CLOCK_DRIFT,
} from './lease_timing';
export {CONTROL_STREAM, FLEET_SHARD} from './types';
export type {
  Authority,
  CommandResult,
  CommandSender,
  ControlEntry,
  ControlHost,
  ControlState,
  EngineOrders,
  Intent,
  Lease,
  LeaseHolder,
  MoveRecord,
  RoleTarget,
} from './types';
