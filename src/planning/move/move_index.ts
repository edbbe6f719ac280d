/**
 * Index of the client accounts with a move in their template, so that a tick need not scan all
 * accounts.
 */
import {
  type ConfigEntry,
  type ConfigState,
  getEntryAccount,
  type StreamFollower,
  type Template,
} from '../../state';

/** A client account with a move in its template. */
export interface MovingAccount {
  readonly template: Template;
  readonly templateVersion: number;
}

/** The client accounts with a move in their template. */
export interface MoveIndex {
  isMoving(clientAccount: string): boolean;
  list(): readonly MovingAccount[];
  stop(): void;
}

/** Creates an index of the templates in force; it follows the config stream until `stop`. */
export function createMoveIndex(
  follower: StreamFollower<ConfigState, ConfigEntry>,
): MoveIndex {
  const accounts = new Set<string>();
  let state: ConfigState | undefined;
  const unsubscribe = follower.subscribe(entry => {
    if (entry.kind !== 'config-mark') updateAccount(getEntryAccount(entry));
  });
  return {isMoving, list, stop: unsubscribe};

  function isMoving(clientAccount: string): boolean {
    updateAll();
    return accounts.has(clientAccount);
  }

  function list(): MovingAccount[] {
    updateAll();
    return [...accounts].flatMap(account => {
      const known = follower.getState().templates.get(account);
      if (known === undefined) return [];
      const templateVersion = known.current.version;
      return [{template: known.template, templateVersion}];
    });
  }

  /**
   * Rebuilds the index after a snapshot from a peer: it replaces the state without notifying
   * subscribers.
   */
  function updateAll(): void {
    if (state === follower.getState()) return;
    state = follower.getState();
    accounts.clear();
    for (const account of state.templates.keys()) updateAccount(account);
  }

  function updateAccount(account: string): void {
    const template = follower.getState().templates.get(account)?.template;
    if (template?.move === undefined) accounts.delete(account);
    else accounts.add(account);
  }
}
