/** Time factors of servers on their way between nodes. */
import type {ToldFactor} from './types';

/** Factors from other nodes, and the turn of those told to them. */
export interface ToldFactors {
  add(factors: unknown, nowMs: number): void;
  /** Returns and removes the newest factor told of a server's process. */
  tryTake(
    serverId: string,
    startedAtMs: number,
  ): {timeFactor: number; atMs: number} | undefined;
  /** Returns what `tryTake` would return. */
  tryPeek: ToldFactors['tryTake'];
  /** Selects the next `count` factors. */
  select(factors: readonly ToldFactor[], count: number): ToldFactor[];
  remove(serverId: string): void;
}

/** Maximum number of servers that are told to other nodes, and that are kept from them. */
export const MAX_TOLD_SERVERS = 100;
/** Bounds of a factor. */
const MIN_FACTOR = 1 / 16;
const MAX_FACTOR = 16;

/** Creates an empty collection. */
export function createToldFactors(): ToldFactors {
  const pending = new Map<
    string,
    {startedAtMs: number; timeFactor: number; atMs: number}
  >();
  let turn = 0;
  return {
    add: (factors, nowMs) => {
      if (!Array.isArray(factors)) return;
      for (const item of factors.slice(0, MAX_TOLD_SERVERS)) {
        if (!isToldFactor(item)) continue;
        const [id, startedAtMs, timeFactor] = item;
        // The newest are kept: the oldest may belong to servers that are not listed here.
        pending.delete(id);
        for (const oldest of pending.keys()) {
          if (pending.size < MAX_TOLD_SERVERS) break;
          pending.delete(oldest);
        }
        pending.set(id, {startedAtMs, timeFactor, atMs: nowMs});
      }
    },
    tryTake: (serverId, startedAtMs) => {
      const found = pending.get(serverId);
      if (found === undefined) return undefined;
      pending.delete(serverId);
      return found.startedAtMs === startedAtMs ? found : undefined;
    },
    tryPeek: (serverId, startedAtMs) => {
      const found = pending.get(serverId);
      return found?.startedAtMs === startedAtMs ? found : undefined;
    },
    select: (factors, count) => {
      const bounded = factors.slice(0, MAX_TOLD_SERVERS);
      if (bounded.length <= count) return bounded;
      const first = turn % bounded.length;
      turn = first + count;
      return [...bounded, ...bounded].slice(first, first + count);
    },
    remove: serverId => {
      pending.delete(serverId);
    },
  };
}

/** True for an id, a start and a factor within its bounds: anyone can send datagrams. */
export function isToldFactor(value: unknown): value is ToldFactor {
  if (!Array.isArray(value) || value.length !== 3) return false;
  const [id, startedAtMs, timeFactor] = value as unknown[];
  return (
    typeof id === 'string' &&
    typeof startedAtMs === 'number' &&
    typeof timeFactor === 'number' &&
    timeFactor >= MIN_FACTOR &&
    timeFactor <= MAX_FACTOR
  );
}
