export {DutyKind} from './types';
export type {DutyCaller, DutyClient, DutyFailure, UsageReport} from './types';
