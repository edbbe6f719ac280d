/** A bounded index of which engines probably hold which prompt prefixes in their prefix caches. */
import type {CacheEvent} from '../backends';

/** An engine that probably holds leading blocks of a prompt. */
export interface PrefixMatch {
  readonly engine: string;
  /** Prompt tokens expected in the cache; halved if events of the engine were missed since. */
  readonly cachedTokens: number;
}

/** Counts of cache events. */
export interface PrefixCounts {
  applied: number;
  /** Events that arrived twice or after a later one. */
  stale: number;
  /** Gaps in an engine's event sequence. */
  gaps: number;
}

/** The index. */
export interface PrefixIndex {
  /**
   * Lists engines that probably hold the prefix, longest match first. `hashes` cover
   * `prefixTokens` tokens in equal blocks.
   */
  listMatches(
    hashes: readonly string[],
    prefixTokens: number,
  ): readonly PrefixMatch[];
  /** Records that an engine has just prefilled a prompt. */
  recordPrefilled(engine: string, hashes: readonly string[]): void;
  /** Applies cache events of an engine; stale ones are ignored. */
  applyEvents(engine: string, events: readonly CacheEvent[]): void;
  /** Invalidates all entries of an engine that has restarted, and resets its event sequence. */
  removeEngine(engine: string): void;
  /** Returns the sequence of the last event applied; 0 when none. */
  getLastSequence(engine: string): number;
  /** Returns the number of hashes held. */
  getSize(): number;
  getCounts(): Readonly<PrefixCounts>;
}

/** Options of an index. */
export interface PrefixIndexOptions {
  /** Most hashes held; the least recently stored is removed first. */
  readonly capacity?: number;
}

/** An engine that probably holds a block. */
interface Holder {
  readonly engine: string;
  /** The engine's epoch when the entry was last confirmed. */
  epoch: number;
}

interface EngineCacheState {
  lastSequence: number;
  /** Incremented when events were missed or the cache was cleared; older entries are uncertain. */
  epoch: number;
  /** Entries of epochs before this one are no longer in the cache. */
  clearedEpoch: number;
}

const DEFAULT_CAPACITY = 50_000;
const MAX_HOLDERS_PER_HASH = 4;
const MAX_MATCHES = 4;
/** Most leading blocks of a prompt that are looked up or recorded. */
const MAX_BLOCKS = 64;
/** Factor of the expected cached tokens for entries from before a gap in the events. */
const GAP_CONFIDENCE = 0.5;

const NO_MATCHES: readonly PrefixMatch[] = [];

/** Creates an empty index. */
export function createPrefixIndex(
  options: PrefixIndexOptions = {},
): PrefixIndex {
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const holders = new Map<string, Holder[]>();
  const engineStates = new Map<string, EngineCacheState>();
  const counts: PrefixCounts = {applied: 0, stale: 0, gaps: 0};
  return {
    listMatches,
    recordPrefilled,
    applyEvents,
    removeEngine,
    getLastSequence: engine => engineStates.get(engine)?.lastSequence ?? 0,
    getSize: () => holders.size,
    getCounts: () => counts,
  };

  function listMatches(
    hashes: readonly string[],
    prefixTokens: number,
  ): readonly PrefixMatch[] {
    if (hashes.length === 0) return NO_MATCHES;
    const blockTokens = prefixTokens / hashes.length;
    const matches: PrefixMatch[] = [];
    const last = Math.min(hashes.length, MAX_BLOCKS) - 1;
    for (let block = last; block >= 0; block--) {
      for (const holder of holders.get(hashes[block]) ?? []) {
        const confidence = getConfidence(holder);
        if (confidence === 0) continue;
        if (matches.some(match => match.engine === holder.engine)) continue;
        const cachedTokens = Math.floor((block + 1) * blockTokens * confidence);
        matches.push({engine: holder.engine, cachedTokens});
        if (matches.length === MAX_MATCHES) return matches;
      }
    }
    return matches;
  }

  function getConfidence(holder: Holder): number {
    const state = engineStates.get(holder.engine);
    if (state === undefined || holder.epoch === state.epoch) return 1;
    return holder.epoch < state.clearedEpoch ? 0 : GAP_CONFIDENCE;
  }

  function recordPrefilled(engine: string, hashes: readonly string[]): void {
    const {epoch} = getState(engine);
    const count = Math.min(hashes.length, MAX_BLOCKS);
    for (let block = 0; block < count; block++) {
      addHolder(hashes[block], engine, epoch);
    }
  }

  function addHolder(hash: string, engine: string, epoch: number): void {
    const list = holders.get(hash);
    if (list === undefined) {
      holders.set(hash, [{engine, epoch}]);
      if (holders.size > capacity) removeOldest();
      return;
    }
    // Moves the hash to the end of the map, as the most recently stored.
    holders.delete(hash);
    holders.set(hash, list);
    const known = list.find(holder => holder.engine === engine);
    if (known !== undefined) {
      known.epoch = epoch;
      return;
    }
    list.push({engine, epoch});
    if (list.length > MAX_HOLDERS_PER_HASH) list.shift();
  }

  function removeOldest(): void {
    const oldest = holders.keys().next();
    if (!oldest.done) holders.delete(oldest.value);
  }

  function applyEvents(engine: string, events: readonly CacheEvent[]): void {
    const state = getState(engine);
    for (const event of events) {
      if (event.sequence <= state.lastSequence) {
        counts.stale++;
        continue;
      }
      const isGap =
        state.lastSequence > 0 && event.sequence > state.lastSequence + 1;
      if (isGap) {
        counts.gaps++;
        state.epoch++;
      }
      state.lastSequence = event.sequence;
      counts.applied++;
      applyEvent(engine, state, event);
    }
  }

  function applyEvent(
    engine: string,
    state: EngineCacheState,
    event: CacheEvent,
  ): void {
    switch (event.kind) {
      case 'stored':
        for (const hash of event.hashes) addHolder(hash, engine, state.epoch);
        return;
      case 'evicted':
        for (const hash of event.hashes) removeHolder(hash, engine);
        return;
      case 'cleared':
        state.epoch++;
        state.clearedEpoch = state.epoch;
        return;
    }
  }

  function removeHolder(hash: string, engine: string): void {
    const list = holders.get(hash);
    const index = list?.findIndex(holder => holder.engine === engine) ?? -1;
    if (list === undefined || index < 0) return;
    list.splice(index, 1);
    if (list.length === 0) holders.delete(hash);
  }

  function removeEngine(engine: string): void {
    const state = getState(engine);
    state.lastSequence = 0;
    state.epoch++;
    state.clearedEpoch = state.epoch;
  }

  function getState(engine: string): EngineCacheState {
    const known = engineStates.get(engine);
    if (known !== undefined) return known;
    const created = {lastSequence: 0, epoch: 0, clearedEpoch: 0};
    engineStates.set(engine, created);
    return created;
  }
}
