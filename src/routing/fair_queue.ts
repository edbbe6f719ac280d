/**
 * A queue of requests of the same urgency class, by start-time fair queueing over client
 * accounts. Each account has a start tag in virtual time (milliseconds of engine time per
 * weight), which grows as its requests start. Among the accounts whose tags lie within a
 * window of the virtual time, the request with the highest priority goes next, then the one
 * with the earliest latest start time.
 */
import {createStartTags} from '../shares';

/** The properties of a queued request that its order depends on. */
export interface QueueItem {
  readonly clientAccount: string;
  /** Weight of the client account in fair sharing. */
  readonly weight: number;
  readonly isUrgent: boolean;
  /** Higher goes first. */
  readonly priority: number;
  /** Latest start time that can still meet the deadline, on the node's monotonic clock. */
  readonly latestStartMs: number;
  /** Engine time that the request is expected to take, in milliseconds. */
  readonly costMs: number;
  /** Prompt tokens and expected output tokens. */
  readonly tokens: number;
}

/** A queue that is fair among client accounts. */
export interface FairQueue<T extends QueueItem> {
  add(item: T): void;
  /** Returns the next request without removing it. */
  tryPeek(): T | undefined;
  /** Removes a request that starts, and charges its cost to its client account. */
  take(item: T): void;
  /** Removes a request that does not start, without charge; false if it is not queued. */
  remove(item: T): boolean;
  getSize(): number;
  /**
   * Returns the engine time of the work expected to start before a new request, in
   * milliseconds.
   */
  getCostAhead(item: QueueItem): number;
  /**
   * Returns the last request of the client account with the most queued tokens per weight, and
   * that amount.
   */
  tryFindLargest(): {item: T; tokensPerWeight: number} | undefined;
}

/**
 * Virtual time by which an eligible client account may be ahead of the others; engine time of
 * an account with weight 1, in milliseconds.
 */
const FAIR_WINDOW_MS = 2_000;

interface AccountQueue<T> {
  readonly clientAccount: string;
  /** Sorted by `compareItems`: the next request first. */
  readonly items: T[];
  /** Virtual start time of the account's next request. */
  startTag: number;
  tokens: number;
  costMs: number;
}

/** Creates an empty queue. */
export function createFairQueue<T extends QueueItem>(): FairQueue<T> {
  const accounts = new Map<string, AccountQueue<T>>();
  const tags = createStartTags();
  let size = 0;
  return {
    add,
    tryPeek,
    take,
    remove,
    getSize: () => size,
    getCostAhead,
    tryFindLargest,
  };

  function add(item: T): void {
    const queue = getAccount(item.clientAccount);
    const {items} = queue;
    let index = items.length;
    while (index > 0 && compareItems(item, items[index - 1]) < 0) index--;
    items.splice(index, 0, item);
    queue.tokens += item.tokens;
    queue.costMs += item.costMs;
    size++;
  }

  function getAccount(clientAccount: string): AccountQueue<T> {
    const known = accounts.get(clientAccount);
    if (known !== undefined) return known;
    const queue: AccountQueue<T> = {
      clientAccount,
      items: [],
      startTag: tags.getStartTag(clientAccount),
      tokens: 0,
      costMs: 0,
    };
    accounts.set(clientAccount, queue);
    return queue;
  }

  function tryPeek(): T | undefined {
    if (size === 0) return undefined;
    tags.advance(getLeastTag());
    const latestTag = tags.getVirtualTime() + FAIR_WINDOW_MS;
    let best: T | undefined;
    for (const queue of accounts.values()) {
      if (queue.startTag > latestTag) continue;
      const item = queue.items[0];
      if (best === undefined || compareItems(item, best) < 0) best = item;
    }
    return best;
  }

  function getLeastTag(): number {
    let least = Infinity;
    for (const queue of accounts.values()) {
      if (queue.startTag < least) least = queue.startTag;
    }
    return least;
  }

  function take(item: T): void {
    const queue = accounts.get(item.clientAccount);
    if (queue === undefined) return;
    queue.startTag = tags.add(
      item.clientAccount,
      queue.startTag,
      item.costMs / item.weight,
    );
    remove(item);
  }

  function remove(item: T): boolean {
    const queue = accounts.get(item.clientAccount);
    const index = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.items.splice(index, 1);
    queue.tokens -= item.tokens;
    queue.costMs -= item.costMs;
    size--;
    if (queue.items.length === 0) accounts.delete(item.clientAccount);
    // Once the queue is empty, no account is ahead of another.
    if (size === 0) tags.clear();
    return true;
  }

  function getCostAhead(item: QueueItem): number {
    const ownQueue = accounts.get(item.clientAccount);
    const ownCostPerWeight = (ownQueue?.costMs ?? 0) / item.weight;
    let costMs = 0;
    for (const queue of accounts.values()) {
      const head = queue.items[0];
      const share = (ownCostPerWeight + FAIR_WINDOW_MS) * head.weight;
      costMs +=
        queue === ownQueue ? queue.costMs : Math.min(queue.costMs, share);
    }
    return costMs;
  }

  function tryFindLargest(): {item: T; tokensPerWeight: number} | undefined {
    let largest: {item: T; tokensPerWeight: number} | undefined;
    for (const queue of accounts.values()) {
      const item = queue.items[queue.items.length - 1];
      const tokensPerWeight = queue.tokens / item.weight;
      if (largest !== undefined && tokensPerWeight <= largest.tokensPerWeight) {
        continue;
      }
      largest = {item, tokensPerWeight};
    }
    return largest;
  }
}

/** Compares two requests for sorting; negative if `left` goes first. */
export function compareItems(left: QueueItem, right: QueueItem): number {
  if (left.isUrgent !== right.isUrgent) return left.isUrgent ? -1 : 1;
  if (left.priority !== right.priority) return right.priority - left.priority;
  return left.latestStartMs - right.latestStartMs;
}
