export {createClaimsStream} from './claims_fold';
export type {ClaimsState} from './claims_fold';
export {createClaimsLedger, getClaimKey} from './ledger';
export type {ClaimsLedgerOptions} from './ledger';
export type {
  ClaimEntry,
  ClaimOutcome,
  ClaimRequest,
  ClaimResult,
  ClaimsLedger,
  ClaimState,
  ClaimTicket,
} from './types';
