/** Tracks which prompt parts each engine is expected to have cached in its KV memory. */
import type {PromptPart} from './types';

/** Estimated contents of the engines' prefix caches. */
export interface PrefixDirectory {
  /** Returns how many leading tokens of a prompt the engine has cached. */
  getCachedTokens(serverId: string, parts: readonly PromptPart[]): number;
  /** True when any engine has cached the part. */
  isCached(partId: string): boolean;
  /** True when an engine other than this one has cached the part. */
  isCachedElsewhere(serverId: string, partId: string): boolean;
  /** Records that the engine prefills the parts, which evicts the least recently used ones beyond its capacity. */
  recordPrefill(serverId: string, parts: readonly PromptPart[]): void;
  /** Removes an engine that is gone, together with its cache. */
  remove(serverId: string): void;
}

/** Creates an empty directory; `getCapacity` returns the size of an engine's KV memory, in tokens. */
export function createPrefixDirectory(
  getCapacity: (serverId: string) => number,
): PrefixDirectory {
  interface EngineCache {
    /** Tokens by part id, least recently used first. */
    readonly parts: Map<string, number>;
    tokens: number;
  }
  const engines = new Map<string, EngineCache>();
  /** Number of engines that have cached each part. */
  const engineCounts = new Map<string, number>();
  return {
    getCachedTokens,
    isCached: partId => engineCounts.has(partId),
    isCachedElsewhere,
    recordPrefill,
    remove,
  };

  function getCachedTokens(
    serverId: string,
    parts: readonly PromptPart[],
  ): number {
    const cache = engines.get(serverId);
    if (cache === undefined) return 0;
    let tokens = 0;
    for (const part of parts) {
      if (!cache.parts.has(part.id)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  function isCachedElsewhere(serverId: string, partId: string): boolean {
    const ownCount = engines.get(serverId)?.parts.has(partId) === true ? 1 : 0;
    return (engineCounts.get(partId) ?? 0) > ownCount;
  }

  function recordPrefill(serverId: string, parts: readonly PromptPart[]): void {
    const cache = engines.get(serverId) ?? {parts: new Map(), tokens: 0};
    engines.set(serverId, cache);
    for (const part of parts) {
      removePart(cache, part.id);
      cache.parts.set(part.id, part.tokens);
      cache.tokens += part.tokens;
      engineCounts.set(part.id, (engineCounts.get(part.id) ?? 0) + 1);
    }
    const capacity = getCapacity(serverId);
    for (const id of cache.parts.keys()) {
      if (cache.tokens <= capacity) break;
      removePart(cache, id);
    }
  }

  function removePart(cache: EngineCache, id: string): void {
    const tokens = cache.parts.get(id);
    if (tokens === undefined) return;
    cache.parts.delete(id);
    cache.tokens -= tokens;
    const remainingCount = (engineCounts.get(id) ?? 1) - 1;
    if (remainingCount > 0) engineCounts.set(id, remainingCount);
    else engineCounts.delete(id);
  }

  function remove(serverId: string): void {
    const cache = engines.get(serverId);
    if (cache === undefined) return;
    for (const id of [...cache.parts.keys()]) removePart(cache, id);
    engines.delete(serverId);
  }
}
