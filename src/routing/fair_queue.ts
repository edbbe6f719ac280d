/**
 * Waiting requests of equal urgency. Client accounts take turns by start-time fair
 * queueing; among those whose turn it is, priority and the time left decide.
 */

/** What the queue needs to know of a waiting request. */
export interface QueueItem {
  readonly clientAccount: string;
  readonly weight: number;
  readonly isUrgent: boolean;
  readonly priority: number;
  /** Latest time of starting that can meet the deadline, on the node's clock. */
  readonly latestStartMs: number;
  /** Engine time that it is expected to take, in milliseconds. */
  readonly costMs: number;
  readonly tokens: number;
}

/** A queue of requests. */
export interface FairQueue<T extends QueueItem> {
  add(item: T): void;
  /** Returns the request that goes next. */
  tryPeek(): T | undefined;
  /** Removes a request because it starts; its client account is charged for it. */
  take(item: T): void;
  /** Removes a request that is answered otherwise. */
  remove(item: T): boolean;
  getSize(): number;
  /** Returns the work that would go before a new request, in milliseconds of engine time. */
  getCostAhead(item: QueueItem): number;
  /** Returns the client account with the most waiting tokens for its weight, and its last request. */
  tryFindLargest(): {item: T; tokensPerWeight: number} | undefined;
}

/** Engine time for weight 1 by which a client account may be ahead of the others, in milliseconds. */
const FAIR_WINDOW_MS = 2_000;

/** Client accounts remembered beyond those that wait, before passed ones are dropped. */
const MAX_START_TAGS = 8_192;

interface AccountQueue<T> {
  readonly clientAccount: string;
  /** In the order in which they go. */
  readonly items: T[];
  /** Virtual time at which the next request starts. */
  startTag: number;
  tokens: number;
  costMs: number;
}

/** Creates an empty queue. */
export function createFairQueue<T extends QueueItem>(): FairQueue<T> {
  const accounts = new Map<string, AccountQueue<T>>();
  /** Tags of client accounts that have been served since the queue was last empty. */
  const tags = new Map<string, number>();
  let virtualTime = 0;
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
      startTag: Math.max(virtualTime, tags.get(clientAccount) ?? 0),
      tokens: 0,
      costMs: 0,
    };
    accounts.set(clientAccount, queue);
    return queue;
  }

  function tryPeek(): T | undefined {
    if (size === 0) return undefined;
    virtualTime = Math.max(virtualTime, getLeastTag());
    let best: T | undefined;
    for (const queue of accounts.values()) {
      if (queue.startTag > virtualTime + FAIR_WINDOW_MS) continue;
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
    queue.startTag += item.costMs / item.weight;
    tags.set(item.clientAccount, queue.startTag);
    if (tags.size > MAX_START_TAGS) removePassedTags();
    remove(item);
  }

  /** A tag that virtual time has passed says nothing any more. */
  function removePassedTags(): void {
    for (const [clientAccount, tag] of tags) {
      if (tag <= virtualTime) tags.delete(clientAccount);
    }
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
    // Without a backlog nobody is ahead of anybody.
    if (size === 0) {
      tags.clear();
      virtualTime = 0;
    }
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

/** Orders requests: below 0 when `left` goes first. */
export function compareItems(left: QueueItem, right: QueueItem): number {
  if (left.isUrgent !== right.isUrgent) return left.isUrgent ? -1 : 1;
  if (left.priority !== right.priority) return right.priority - left.priority;
  return left.latestStartMs - right.latestStartMs;
}
