export {
  getClaimKey,
  getMaxWindowMs,
  MAX_KEY_SKEW_MS,
  tryGetKeyTimeMs,
} from './claim_key';
export {createClaimsStream, tryGetLiveClaim} from './claims_fold';
export type {ClaimsState, ClaimsStreamOptions} from './claims_fold';
export {createClaimsLedger} from './ledger';
export type {ClaimsLedgerOptions} from './ledger';
export {ClaimRefusal} from './types';
export type {
  ClaimEntry,
  ClaimOutcome,
  ClaimRequest,
  ClaimResult,
  ClaimsLedger,
  ClaimState,
  ClaimTicket,
} from './types';
