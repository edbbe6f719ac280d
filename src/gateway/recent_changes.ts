/** Latest changes to the list of backend servers, which are repeated in messages to the other nodes. */
import type {Clock} from '../runtime/types';
import type {EntryChange} from './types';

/** The latest changes. */
export interface RecentChanges {
  add(changes: readonly EntryChange[]): void;
  /** Lists the latest changes that fit into a message, oldest first. */
  list(): readonly EntryChange[];
}

/** How long a change is repeated in messages to the other nodes, in milliseconds: three polls. */
const CHANGE_REPEAT_MS = 1_600;
/** Maximum size of the changes in one message before its compression, in bytes: about 100 servers, which take some 3,000 bytes. Each node that loses the datagram, or for which the changes do not fit, must read the store. */
const MAX_CHANGE_BYTES = 20_000;

/** Creates an empty list of changes. */
export function createRecentChanges(
  clock: Pick<Clock, 'getMonotonicMs'>,
): RecentChanges {
  let recentChanges: Array<{change: EntryChange; atMs: number}> = [];
  return {
    add: changes => {
      const atMs = clock.getMonotonicMs();
      expireChanges();
      recentChanges.push(...changes.map(change => ({change, atMs})));
    },
    list,
  };

  function list(): readonly EntryChange[] {
    expireChanges();
    let bytes = 0;
    let index = recentChanges.length;
    while (index > 0) {
      bytes += JSON.stringify(recentChanges[index - 1].change).length;
      if (bytes > MAX_CHANGE_BYTES) break;
      index--;
    }
    return recentChanges.slice(index).map(item => item.change);
  }

  function expireChanges(): void {
    const sinceMs = clock.getMonotonicMs() - CHANGE_REPEAT_MS;
    recentChanges = recentChanges.filter(item => item.atMs > sinceMs);
  }
}
