/** Estimates the streams that each decode engine runs for all nodes, and the wait for a free slot. */

/** Estimated streams by decode engine. */
export interface StreamCounts {
  /** Adds a stream; it counts until it is removed, at the latest until `untilMs`. */
  add(serverId: string, streamId: string, untilMs: number): void;
  remove(serverId: string, streamId: string): void;
  count(serverId: string, nowMs: number): number;
  /** Returns how long a new stream would wait for one of the engine's slots, in milliseconds. */
  getWaitMs(serverId: string, slots: number, nowMs: number): number;
  removeServer(serverId: string): void;
}

/** Creates counts without any streams. */
export function createStreamCounts(): StreamCounts {
  const servers = new Map<string, Map<string, number>>();
  return {
    add: (serverId, streamId, untilMs) => {
      const streams = servers.get(serverId) ?? new Map<string, number>();
      servers.set(serverId, streams);
      streams.set(streamId, untilMs);
    },
    remove: (serverId, streamId) => {
      servers.get(serverId)?.delete(streamId);
    },
    count: (serverId, nowMs) => sweep(serverId, nowMs).size,
    getWaitMs: (serverId, slots, nowMs) => {
      const streams = sweep(serverId, nowMs);
      if (streams.size < slots) return 0;
      const ends = [...streams.values()].sort((left, right) => left - right);
      return ends[streams.size - slots] - nowMs;
    },
    removeServer: serverId => {
      servers.delete(serverId);
    },
  };

  function sweep(serverId: string, nowMs: number): ReadonlyMap<string, number> {
    const streams = servers.get(serverId);
    if (streams === undefined) return new Map();
    for (const [id, untilMs] of streams) {
      if (nowMs >= untilMs) streams.delete(id);
    }
    return streams;
  }
}
