/** The client accounts of the current configuration, found by the digests of their API keys. */
import {createDigestIndex} from './digest_index';
import type {CallerAccount, ClientAccount} from './types';

/** Accounts by key digest. */
export interface AccountTable {
  /** Replaces the accounts; only those that differ from the previous ones are indexed again. Returns false and keeps the previous ones when the list is malformed. */
  update(accounts: readonly ClientAccount[]): boolean;
  /** Returns the account that the key belongs to; the time does not depend on the number of accounts. */
  tryFind(keyDigest: string): CallerAccount | undefined;
  /** Returns the account of this name if it has a key with which callers can authenticate. */
  tryFindByName(name: string): CallerAccount | undefined;
  /** Returns the numbers and faults of the accounts, for the log. */
  getSummary(): AccountSummary;
}

/** Numbers and faults of the accounts in a table. */
export interface AccountSummary {
  readonly accounts: number;
  readonly keys: number;
  /** Accounts that the last update added, removed or changed. */
  readonly changed: number;
  /** Entries without a usable name, and accounts without keys. */
  readonly unusable: number;
  /** Keys that several accounts have, which therefore belong to none. */
  readonly contestedKeys: number;
  /** Malformed lists, which had no effect. */
  readonly rejectedUpdates: number;
  /** Names of some of the accounts with a fault, shortened. */
  readonly faultyNames: readonly string[];
}

/** Longest name in bytes of UTF-8: a name is sent as a header, whose size servers limit. */
const MAX_NAME_BYTES = 256;
/** Control characters cannot be sent in a header. */
const CONTROL_CHARACTER = /\p{Cc}/u;
const MAX_LISTED_NAMES = 5;
const MAX_LISTED_LENGTH = 40;

/** Creates an empty table. */
export function createAccountTable(): AccountTable {
  let byName = new Map<string, ClientAccount>();
  const byDigest = createDigestIndex<ClientAccount>();
  /** Names of the accounts of each key that several accounts have. */
  const contested = new Map<string, Set<string>>();
  let changed = 0;
  let faultyNames: string[] = [];
  let unusable = 0;
  let rejectedUpdates = 0;
  return {
    update,
    tryFind: byDigest.tryFind,
    tryFindByName: name => {
      const account = byName.get(name);
      const isUsed = account?.keyDigests.some(
        digest => byDigest.tryFind(digest)?.name === name,
      );
      return isUsed ? account : undefined;
    },
    getSummary: () => ({
      accounts: byName.size,
      keys: byDigest.count(),
      changed,
      unusable,
      contestedKeys: contested.size,
      rejectedUpdates,
      faultyNames: [...faultyNames, ...listContestedNames()].slice(
        0,
        MAX_LISTED_NAMES,
      ),
    }),
  };

  function update(accounts: readonly ClientAccount[]): boolean {
    if (!isAccountList(accounts)) {
      rejectedUpdates++;
      return false;
    }
    const next = collectByName(accounts);
    const added: ClientAccount[] = [];
    changed = 0;
    for (const [name, account] of byName) {
      const successor = next.get(name);
      if (successor !== undefined && isSameAccount(account, successor)) {
        next.set(name, account);
        continue;
      }
      changed++;
      for (const digest of account.keyDigests) removeKey(digest, name);
    }
    for (const [name, account] of next) {
      const before = byName.get(name);
      if (before === account) continue;
      if (before === undefined) changed++;
      added.push(account);
    }
    byName = next;
    for (const account of added) {
      for (const digest of account.keyDigests) addKey(digest, account);
    }
    byDigest.trim();
    return true;
  }

  /** Merges entries of the same name, of which the first decides the rank. */
  function collectByName(
    accounts: readonly ClientAccount[],
  ): Map<string, ClientAccount> {
    const next = new Map<string, ClientAccount>();
    faultyNames = [];
    unusable = 0;
    for (const account of accounts) {
      const isUsable = isUsableName(account.name);
      if (!isUsable || account.keyDigests.length === 0) recordUnusable(account);
      if (!isUsable) continue;
      const first = next.get(account.name);
      next.set(
        account.name,
        first === undefined
          ? account
          : {
              ...first,
              keyDigests: [...first.keyDigests, ...account.keyDigests],
            },
      );
    }
    return next;
  }

  function recordUnusable({name}: ClientAccount): void {
    unusable++;
    if (faultyNames.length === MAX_LISTED_NAMES) return;
    faultyNames.push(name.slice(0, MAX_LISTED_LENGTH));
  }

  function listContestedNames(): string[] {
    const [names] = contested.values();
    return [...(names ?? [])].map(name => name.slice(0, MAX_LISTED_LENGTH));
  }

  function addKey(digest: string, account: ClientAccount): void {
    const names = contested.get(digest);
    if (names !== undefined) {
      names.add(account.name);
      return;
    }
    const owner = byDigest.tryFind(digest);
    if (owner === undefined || owner.name === account.name) {
      byDigest.set(digest, account);
      return;
    }
    byDigest.remove(digest);
    contested.set(digest, new Set([owner.name, account.name]));
  }

  function removeKey(digest: string, name: string): void {
    const names = contested.get(digest);
    if (names === undefined) {
      if (byDigest.tryFind(digest)?.name === name) byDigest.remove(digest);
      return;
    }
    names.delete(name);
    if (names.size > 1) return;
    contested.delete(digest);
    const [owner] = [...names].flatMap(item => byName.get(item) ?? []);
    if (owner !== undefined) byDigest.set(digest, owner);
  }
}

/** Checks what another node passes on, which is not decoded from the operator's text. */
function isAccountList(value: unknown): value is readonly ClientAccount[] {
  return Array.isArray(value) && value.every(isAccount);
}

function isAccount(value: unknown): value is ClientAccount {
  if (typeof value !== 'object' || value === null) return false;
  const {name, keyDigests, rank} = value as Partial<
    Record<keyof ClientAccount, unknown>
  >;
  return (
    typeof name === 'string' &&
    Array.isArray(keyDigests) &&
    keyDigests.every(digest => typeof digest === 'string') &&
    (rank === undefined || typeof rank === 'number')
  );
}

/** True for a name that arrives in a header as it was sent, where white space around it would be dropped. */
function isUsableName(name: string): boolean {
  return (
    name !== '' &&
    name === name.trim() &&
    Buffer.byteLength(name) <= MAX_NAME_BYTES &&
    !CONTROL_CHARACTER.test(name)
  );
}

function isSameAccount(left: ClientAccount, right: ClientAccount): boolean {
  return (
    left === right ||
    (left.rank === right.rank &&
      left.keyDigests.length === right.keyDigests.length &&
      left.keyDigests.every(
        (digest, index) => digest === right.keyDigests[index],
      ))
  );
}
