/** Authenticates requests: maps an API key to its client account. */
import {createHash} from 'node:crypto';
import type {ConfigState, TemplateState} from '../state';

const BEARER_PATTERN = /^Bearer +([!-~]{1,512})$/i;

/** Returns the template of the client account that the API key belongs to, if any. */
export function tryGetAccount(
  config: ConfigState,
  authorization: string | null,
): TemplateState | undefined {
  const key = tryGetBearerToken(authorization);
  if (key === undefined) return undefined;
  const account = config.accountByKeyHash.get(getKeyHash(key));
  return account === undefined ? undefined : config.templates.get(account);
}

/** Returns the token of an `Authorization: Bearer` header, if it holds one. */
export function tryGetBearerToken(
  authorization: string | null,
): string | undefined {
  return BEARER_PATTERN.exec(authorization ?? '')?.[1];
}

/** Returns the SHA-256 of an API key or a token, in hexadecimal. */
export function getKeyHash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
