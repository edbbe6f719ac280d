/**
 * Keys of claims: how the log names an idempotency key, and the time stamp that a UUID of
 * version 7 carries.
 */
import {createHash} from 'node:crypto';

/**
 * How far a key's time stamp may be ahead of the log's clock, in milliseconds; the key is
 * refused beyond that.
 */
export const MAX_KEY_SKEW_MS = 300_000;

/**
 * Fraction of the log's retention that a key's window may use, so that the log still holds the
 * claim while the key is valid.
 */
const RETENTION_FRACTION = 0.9;
/** Length of the hashes of keys and requests in the log, in bytes. */
const KEY_BYTES = 16;
const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns a claim's key in the log. It covers the client account, so that equal keys of two
 * accounts are different claims.
 */
export function getClaimKey(
  clientAccount: string,
  idempotencyKey: string,
): string {
  return getShortHash(`${clientAccount}\n${idempotencyKey}`);
}

/** Returns a 128-bit hash in base64url. */
export function getShortHash(text: string): string {
  return createHash('sha256')
    .update(text)
    .digest()
    .subarray(0, KEY_BYTES)
    .toString('base64url');
}

/**
 * Returns the time stamp of a UUID of version 7, in milliseconds since the Unix epoch.
 * Any other key is opaque and has no time stamp.
 */
export function tryGetKeyTimeMs(idempotencyKey: string): number | undefined {
  const match = UUID_V7.exec(idempotencyKey);
  if (match === null) return undefined;
  return parseInt(match[1] + match[2], 16);
}

/**
 * Returns whether a key has expired or is stamped too far in the future, at `nowMs` on the log's
 * clock.
 */
export function isOutsideWindow(
  keyAtMs: number,
  windowMs: number,
  nowMs: number,
): boolean {
  return keyAtMs + windowMs <= nowMs || keyAtMs > nowMs + MAX_KEY_SKEW_MS;
}

/** Returns the longest window that a key can have under the log's retention, in milliseconds. */
export function getMaxWindowMs(logRetentionMs: number): number {
  return Math.max(1, logRetentionMs * RETENTION_FRACTION - MAX_KEY_SKEW_MS);
}
