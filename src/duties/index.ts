export {createAuthority} from './authority';
export type {AuthorityOptions} from './authority';
export {createLimitedDutyClient} from './call_budget';
export type {LimitedDutyClientOptions} from './call_budget';
export {DutyKind} from './types';
export type {
  Authority,
  Denial,
  DutyCaller,
  DutyClient,
  DutyFailure,
  Grant,
  UsageReport,
} from './types';
