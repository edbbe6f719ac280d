export {tryGetCandidateRank} from './candidates';
export {createCommandSender} from './command_sender';
export type {CommandSenderOptions} from './command_sender';
export {controlStream, tryGetLease} from './control_fold';
export {createControlLoop} from './control_loop';
export type {ControlLoop, ControlLoopOptions} from './control_loop';
export {createLeaseManager} from './lease_manager';
export type {LeaseManagerOptions} from './lease_manager';
export {
  CANDIDATE_STAGGER_MS,
  getChallengeWaitMs,
  LEASE_DURATION_MS,
  LEASE_RENEW_INTERVAL_MS,
  MAX_CLOCK_DRIFT,
} from './lease_timing';
export {CONTROL_STREAM, FLEET_SHARD} from './types';
export type {
  Authority,
  CommandResult,
  CommandSender,
  ControlEntry,
  ControlPolicy,
  ControlState,
  PlannedOrder,
  Intent,
  Lease,
  LeaseManager,
  MoveRecord,
  RoleTarget,
} from './types';
