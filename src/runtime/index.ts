export {assertInvariant, assertNever} from './assert';
export {scheduleAfterInput} from './schedule_after_input';
export {createSystemClock} from './system_clock';
export {createVirtualClock} from './virtual_clock';
export type {VirtualClockOptions} from './virtual_clock';
export type {Clock, Timer, VirtualClock} from './types';
export {openListener} from './listener';
export type {
  Listener,
  ListenerBytes,
  ListenerLimits,
  ListenerOptions,
  TlsFiles,
} from './listener_types';
export {DEFAULT_RESTART_POLICY} from './restart_budget';
export {createSupervisor} from './supervisor';
export type {
  RestartPolicy,
  Supervisor,
  SupervisorEnd,
  SupervisorEvent,
  SupervisorOptions,
  TaskHandle,
  TaskSpec,
  TaskState,
} from './supervisor_types';
export {watchUnhandledErrors} from './unhandled_errors';
export {createTlsConnector} from './tls_files';
export {getRendezvousWeight} from './rendezvous';
