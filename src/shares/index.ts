export {
  type AccountShares,
  type AccountSharesOptions,
  createAccountShares,
} from './account_shares';
export {computeSharePlan, MAX_SHARES} from './plan_shares';
export type {KnownShare, SharePool} from './share_pool';
export {computeSpreadRetryMs} from './retry_after';
export {createStartTags, type StartTags} from './start_tags';
export {
  type CallerAttempt,
  createToldCallers,
  type KnownReturn,
  type ToldCallers,
} from './told_callers';
export type {AccountShare, AccountWork, SharePlan, ShareReport} from './types';
