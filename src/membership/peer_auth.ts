/** Signs requests between nodes with their shared secret (HMAC-SHA-256) and verifies them. */
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Header with the time of sending, in milliseconds since the Unix epoch. */
export const PEER_TIME_HEADER = 'anvilstack-peer-time';
/** Header with the signature, in hexadecimal. */
export const PEER_SIGNATURE_HEADER = 'anvilstack-peer-signature';

/** Maximum difference between the sender's and the receiver's wall clock, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** The parts of a request that the signature covers. */
export interface SignedRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: string;
  /** Time of sending, in milliseconds since the Unix epoch. */
  readonly sentAtMs: number;
}

/** Returns the signature of a request, in hexadecimal. */
export function createSignature(
  secret: string,
  request: SignedRequest,
): string {
  const {method, target, body, sentAtMs} = request;
  return createHmac('sha256', secret)
    .update(`${sentAtMs}\n${method}\n${target}\n`)
    .update(body)
    .digest('hex');
}

/** Returns whether the signature is valid and the time of sending is within the permitted skew. */
export function isAuthentic(
  secret: string,
  request: SignedRequest,
  signature: string,
  nowMs: number,
): boolean {
  const skewMs = Math.abs(nowMs - request.sentAtMs);
  // Written as a negation so that a missing or malformed time (NaN) is rejected too.
  if (!(skewMs <= MAX_CLOCK_SKEW_MS)) return false;
  const expected = Buffer.from(createSignature(secret, request), 'hex');
  const actual = Buffer.from(signature, 'hex');
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}
