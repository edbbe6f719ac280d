export {
  type AccountSummary,
  type AccountTable,
  createAccountTable,
} from './account_table';
export {
  authenticate,
  type AuthenticationInput,
  isStateOutdated,
} from './authenticate';
export {getKeyDigest, tryGetBearerToken} from './key_digest';
export {RefusalReason} from './types';
export type {
  Authentication,
  CallerAccount,
  ClientAccount,
  FreshnessBounds,
} from './types';
