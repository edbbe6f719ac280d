/** Decides whether a request may be sent, by its API key. */
import type {AccountTable} from './account_table';
import {
  type Authentication,
  type FreshnessBounds,
  RefusalReason,
} from './types';

/** What a decision depends on. */
export interface AuthenticationInput {
  /** Undefined when the configuration has no accounts. */
  readonly accounts: Pick<AccountTable, 'tryFind'> | undefined;
  /** True when callers of the route need no key. */
  readonly isPublic: boolean;
  /** Absent when the request carries no key. */
  readonly keyDigest?: string;
  /** Time since this node's state was last known to be current, in milliseconds. */
  readonly stateAgeMs: number;
  readonly bounds: FreshnessBounds;
  /** True when the key was found before, so that its absence means that it was removed. */
  readonly wasFound?: boolean;
}

/** Authenticates a request. */
export function authenticate(input: AuthenticationInput): Authentication {
  const {accounts, keyDigest, stateAgeMs, bounds} = input;
  if (accounts === undefined) return {kind: 'unchecked'};
  const hasKey = keyDigest !== undefined;
  // The key may have been removed without this node's knowledge.
  if (hasKey && isOlder(stateAgeMs, bounds.revokeMs)) return refuseOutdated();
  const account = hasKey ? accounts.tryFind(keyDigest) : undefined;
  if (account !== undefined) return {kind: 'admitted', account};
  if (input.isPublic) return {kind: 'admitted'};
  // A newer configuration may have the key, or a public route.
  if (isStateOutdated(stateAgeMs, bounds)) return refuseOutdated();
  if (!hasKey) return {kind: 'refused', reason: RefusalReason.KeyMissing};
  const reason = input.wasFound
    ? RefusalReason.KeyRevoked
    : RefusalReason.KeyUnknown;
  return {kind: 'refused', reason};
}

/** True when a newer configuration may be in force elsewhere, so that a missing key or route proves nothing. */
export function isStateOutdated(
  stateAgeMs: number,
  bounds: FreshnessBounds,
): boolean {
  return isOlder(stateAgeMs, bounds.configApplyMs);
}

function isOlder(ageMs: number, boundMs: number | undefined): boolean {
  return boundMs !== undefined && ageMs > boundMs;
}

function refuseOutdated(): Authentication {
  return {kind: 'refused', reason: RefusalReason.StateOutdated};
}
