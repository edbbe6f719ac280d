/** How much slower than their links the engines move KV caches, learned from streams' beginnings. */

/** Slowdowns of engines' transfers; 1 is the speed of the link. */
export interface TransferSpeeds {
  /** Takes a transfer that took `observedMs` until the first event and should take `expectedMs` by itself. */
  record(
    sourceId: string,
    targetId: string,
    observedMs: number,
    expectedMs: number,
  ): void;
  /** Slowdown of transfers from an engine. */
  getFrom(serverId: string): number;
  /** Slowdown of transfers to an engine. */
  getTo(serverId: string): number;
  remove(serverId: string): void;
}

/** Time from the end of a transfer to the first event, in milliseconds: an event holds some tokens. */
const FIRST_EVENT_MS = 40;
/** Shortest transfer that says something about a link, in milliseconds. */
const MIN_EXPECTED_MS = 8;
const NEWEST_WEIGHT = 0.3;
const MAX_SLOWDOWN = 10;

/** Creates speeds that know no engine. */
export function createTransferSpeeds(): TransferSpeeds {
  const from = new Map<string, number>();
  const to = new Map<string, number>();
  return {
    record: (sourceId, targetId, observedMs, expectedMs) => {
      if (expectedMs < MIN_EXPECTED_MS) return;
      const plain = (observedMs - FIRST_EVENT_MS) / expectedMs;
      const slowdown = Math.min(MAX_SLOWDOWN, Math.max(1, plain));
      updateAverage(from, sourceId, slowdown);
      updateAverage(to, targetId, slowdown);
    },
    getFrom: serverId => from.get(serverId) ?? 1,
    getTo: serverId => to.get(serverId) ?? 1,
    remove: serverId => {
      from.delete(serverId);
      to.delete(serverId);
    },
  };
}

function updateAverage(
  averages: Map<string, number>,
  serverId: string,
  slowdown: number,
): void {
  const before = averages.get(serverId) ?? 1;
  averages.set(serverId, before + NEWEST_WEIGHT * (slowdown - before));
}
