/** Types of client accounts, whose callers authenticate with API keys. */

/** A client account as the operator configures it. */
export interface ClientAccount {
  readonly name: string;
  /** SHA-256 digests of the account's API keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Priority of all requests of the account, in place of their route's rank; 0 is served first. */
  readonly rank?: number;
}
