export {createAuthority} from './authority';
export type {AuthorityOptions} from './authority';
export {createLimitedDutyClient} from './call_budget';
export type {LimitedDutyClientOptions} from './call_budget';
export {createDutyGrant} from './duty_grant';
export type {DutyGrant, DutyGrantOptions} from './duty_grant';
export {DutyKind} from './types';
export type {
  Authority,
  Denial,
  DutyCaller,
  DutyClient,
  DutyFailure,
  Grant,
  UsagePage,
  UsageRecord,
  UsageReport,
  UsageStore,
} from './types';
export {createUsageDuty} from './usage_duty';
export type {UsageDuty, UsageDutyOptions} from './usage_duty';
export type {UsagePeerMessage} from './usage_messages';
