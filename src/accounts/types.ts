/** Types of client accounts, whose callers authenticate with API keys. */

/** A client account as the operator configures it. */
export interface ClientAccount {
  /** Empty when the configuration states none; such an account is ignored. */
  readonly name: string;
  /** SHA-256 digests of the account's API keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Priority of all requests of the account, in place of their route's rank; 0 is served first. */
  readonly rank?: number;
}

/** The account of a request. */
export type CallerAccount = Pick<ClientAccount, 'name' | 'rank'>;

/** Why a request was not admitted. */
export const RefusalReason = {
  KeyMissing: 'key-missing',
  KeyUnknown: 'key-unknown',
  /** The key was valid when the request arrived, but has been removed since. */
  KeyRevoked: 'key-revoked',
  /** This node's configuration may lack a change that concerns the request. */
  StateOutdated: 'state-outdated',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Result of authenticating a request. */
export type Authentication =
  /** The configuration has no accounts. */
  | {readonly kind: 'unchecked'}
  /** `account` is absent for callers of a public route without a known key. */
  | {readonly kind: 'admitted'; readonly account?: CallerAccount}
  | {readonly kind: 'refused'; readonly reason: RefusalReason};

/** Ages of a node's state, in milliseconds, above which it limits what it decides; an absent bound is not applied. */
export interface FreshnessBounds {
  /** Time within which a new configuration takes effect. */
  readonly configApplyMs?: number;
  /** Time within which removed keys are refused even by nodes that are cut off. */
  readonly revokeMs?: number;
}
