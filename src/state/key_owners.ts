/** Sets and removes templates, and maintains the map from API keys to client accounts. */
import type {ConfigState} from './config_types';
import type {StoredTemplate} from './stored_template';

/** Removes a client account's template; its shared keys pass to other accounts that name them. */
export function removeTemplate(state: ConfigState, account: string): void {
  const known = state.templates.get(account);
  if (known === undefined) return;
  state.templates.delete(account);
  for (const hash of known.template.api_key_sha256) {
    const accounts = state.sharedKeys.get(hash);
    if (accounts === undefined) {
      state.accountByKeyHash.delete(hash);
      continue;
    }
    accounts.delete(account);
    updateSharedKey(state, hash, accounts);
  }
}

/** Sets a client account's template and registers its API keys. */
export function setTemplate(state: ConfigState, stored: StoredTemplate): void {
  const {template} = stored;
  const account = template.client_account;
  removeTemplate(state, account);
  state.templates.set(account, stored);
  for (const hash of new Set(template.api_key_sha256)) {
    const owner = state.accountByKeyHash.get(hash);
    if (owner === undefined) {
      state.accountByKeyHash.set(hash, account);
      continue;
    }
    const accounts = state.sharedKeys.get(hash) ?? new Set([owner]);
    accounts.add(account);
    updateSharedKey(state, hash, accounts);
  }
}

/** Assigns a key to the account that was published first among those that name it. */
function updateSharedKey(
  state: ConfigState,
  hash: string,
  accounts: Set<string>,
): void {
  if (accounts.size > 1) state.sharedKeys.set(hash, accounts);
  else state.sharedKeys.delete(hash);
  const [owner] = [...accounts].sort(
    (left, right) =>
      getPublishedVersion(state, left) - getPublishedVersion(state, right),
  );
  state.accountByKeyHash.set(hash, owner);
}

function getPublishedVersion(state: ConfigState, account: string): number {
  return state.templates.get(account)?.publishedVersion ?? 0;
}
