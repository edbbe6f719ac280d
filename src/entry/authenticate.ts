/** Authenticates requests: maps an API key to its client account. */
import {getKeyDigest, tryGetBearerToken} from '../accounts';
import type {ConfigState, TemplateState} from '../state';

/** Returns the template of the client account that the API key belongs to, if any. */
export function tryGetAccount(
  config: ConfigState,
  authorization: string | null,
): TemplateState | undefined {
  const key = tryGetBearerToken(authorization);
  if (key === undefined) return undefined;
  const account = config.accountByKeyHash.get(getKeyDigest(key));
  return account === undefined ? undefined : config.templates.get(account);
}
