export {
  createHttpLogService,
  createHttpVmList,
  createHttpWeightStore,
} from './http_clients';
export type {HttpPlatformOptions} from './http_clients';
export {PlatformFailureKind, VmState} from './types';
export type {
  LogPage,
  LogReadOptions,
  LogRecord,
  LogService,
  PlatformFailure,
  Vm,
  VmList,
  WeightStore,
  WeightTransfer,
} from './types';
