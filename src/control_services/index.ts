export {
  createHttpLogService,
  createHttpVmList,
  createHttpWeightStore,
} from './http_platform';
export type {HttpPlatformOptions} from './http_platform';
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
