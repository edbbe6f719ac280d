/** Signs what nodes send one another with the secret that they share. */
import {createHmac, timingSafeEqual} from 'node:crypto';

/** Header with the time of sending, in milliseconds since the Unix epoch. */
export const PEER_TIME_HEADER = 'anvilstack-peer-time';
/** Header with the signature, in hexadecimal. */
export const PEER_SIGNATURE_HEADER = 'anvilstack-peer-signature';

/** How far the clocks of two nodes may differ, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** What a signature covers. */
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

/** Returns whether the request was signed with the secret, and recently. */
export function isAuthentic(
  secret: string,
  request: SignedRequest,
  signature: string,
  nowMs: number,
): boolean {
  const skewMs = Math.abs(nowMs - request.sentAtMs);
  // A time that is not a number differs by NaN, which no comparison accepts.
  if (!(skewMs <= MAX_CLOCK_SKEW_MS)) return false;
  const expected = Buffer.from(createSignature(secret, request), 'hex');
  const actual = Buffer.from(signature, 'hex');
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}
