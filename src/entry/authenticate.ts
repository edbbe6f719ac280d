/** Tells which client account a request belongs to. */
import {createHash} from 'node:crypto';
import type {ConfigState, TemplateState} from '../state';

const BEARER_PATTERN = /^Bearer +([!-~]{1,512})$/i;

/** Returns the template of the client account that the API key names, if any. */
export function tryGetAccount(
  config: ConfigState,
  authorization: string | null,
): TemplateState | undefined {
  const match = BEARER_PATTERN.exec(authorization ?? '');
  if (match === null) return undefined;
  const account = config.accountByKeyHash.get(getKeyHash(match[1]));
  return account === undefined ? undefined : config.templates.get(account);
}

/** Returns the SHA-256 of an API key, in hexadecimal. */
export function getKeyHash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
