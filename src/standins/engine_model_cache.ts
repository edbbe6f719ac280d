/** The engine model's prefix cache: chained blocks in limited memory with LRU eviction. */
import type {CacheEvent} from '../backends';
import type {Clock} from '../runtime';

/** Options of the cache. */
export interface PrefixCacheOptions {
  readonly clock: Clock;
  /** Capacity in tokens. */
  readonly capacityTokens: number;
  /** Delay before an event is listed, in milliseconds. */
  readonly eventLagMs: number;
  /** Fraction of the events that is lost, 0 to 1. */
  readonly eventLoss: number;
  readonly getRandom: () => number;
}

/** The prefix cache of one engine. */
export interface PrefixCache {
  /** Returns how many of the prompt's leading tokens are cached, and marks them as used. */
  findCachedTokens(hashes: readonly string[], prefixTokens: number): number;
  /** Stores a prompt's leading blocks. */
  add(hashes: readonly string[], prefixTokens: number): void;
  removeAll(): void;
  listEvents(afterSequence: number): readonly CacheEvent[];
  getUsedTokens(): number;
}

/** Number of the latest events that late readers can always list. */
const MAX_EVENTS = 1_024;

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  const {clock, capacityTokens} = options;
  /** Tokens of each block by its hash, the least recently used block first. */
  const blocks = new Map<string, number>();
  let events: Array<{readonly atMs: number; readonly event: CacheEvent}> = [];
  let usedTokens = 0;
  let sequence = 0;
  return {
    findCachedTokens,
    add,
    removeAll,
    listEvents,
    getUsedTokens: () => usedTokens,
  };

  function findCachedTokens(
    hashes: readonly string[],
    prefixTokens: number,
  ): number {
    let found = 0;
    while (found < hashes.length && blocks.has(hashes[found])) found++;
    for (const hash of hashes.slice(0, found).reverse()) recordUse(hash);
    if (found === 0) return 0;
    return Math.floor((prefixTokens * found) / hashes.length);
  }

  function add(hashes: readonly string[], prefixTokens: number): void {
    if (hashes.length === 0 || prefixTokens > capacityTokens) return;
    const blockTokens = Math.ceil(prefixTokens / hashes.length);
    const added = hashes.filter(hash => !blocks.has(hash));
    for (const hash of [...hashes].reverse()) {
      if (blocks.has(hash)) recordUse(hash);
      else addBlock(hash, blockTokens);
    }
    if (added.length > 0) addEvent('stored', added);
    removeLeastRecentlyUsed();
  }

  function addBlock(hash: string, tokens: number): void {
    blocks.set(hash, tokens);
    usedTokens += tokens;
  }

  function recordUse(hash: string): void {
    const tokens = blocks.get(hash);
    if (tokens === undefined) return;
    blocks.delete(hash);
    blocks.set(hash, tokens);
  }

  function removeLeastRecentlyUsed(): void {
    const evicted: string[] = [];
    for (const [hash, tokens] of blocks) {
      if (usedTokens <= capacityTokens) break;
      blocks.delete(hash);
      usedTokens -= tokens;
      evicted.push(hash);
    }
    if (evicted.length > 0) addEvent('evicted', evicted);
  }

  function removeAll(): void {
    if (blocks.size === 0) return;
    blocks.clear();
    usedTokens = 0;
    addEvent('cleared', []);
  }

  function addEvent(kind: CacheEvent['kind'], hashes: readonly string[]): void {
    sequence++;
    if (options.getRandom() < options.eventLoss) return;
    const atMs = clock.getMonotonicMs() + options.eventLagMs;
    events.push({atMs, event: {sequence, kind, hashes}});
    if (events.length > 2 * MAX_EVENTS) events = events.slice(-MAX_EVENTS);
  }

  function listEvents(afterSequence: number): readonly CacheEvent[] {
    const nowMs = clock.getMonotonicMs();
    return events
      .filter(
        ({atMs, event}) => atMs <= nowMs && event.sequence > afterSequence,
      )
      .map(({event}) => event);
  }
}
