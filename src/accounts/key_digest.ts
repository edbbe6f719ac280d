/** Digests of API keys: keys are compared and stored as digests only. */
import {hash} from 'node:crypto';

const BEARER_PATTERN = /^Bearer +([!-~]{1,512})$/i;

/** Returns the token of an `Authorization: Bearer` header, if it holds one. */
export function tryGetBearerToken(
  authorization: string | null | undefined,
): string | undefined {
  return BEARER_PATTERN.exec(authorization ?? '')?.[1];
}

/** Returns the SHA-256 of an API key or a token, in hexadecimal. */
export function getKeyDigest(key: string): string {
  // A tenth of the time of a hash object: a large configuration has tens of thousands of keys.
  return hash('sha256', key);
}
