export {createAuthority} from './authority';
export type {AuthorityOptions} from './authority';
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
