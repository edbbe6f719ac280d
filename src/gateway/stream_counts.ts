/** Streams that each decode engine is believed to run, from all nodes, and the wait for a slot. */

/** Counts of streams. */
export interface StreamCounts {
  /** Notes a stream that runs until `untilMs` at the latest. */
  add(serverId: string, streamId: string, untilMs: number): void;
  remove(serverId: string, streamId: string): void;
  count(serverId: string, nowMs: number): number;
  /** Returns how long a stream that comes now waits for one of the engine's slots, in milliseconds. */
  getWaitMs(serverId: string, slots: number, nowMs: number): number;
  removeServer(serverId: string): void;
}

/** Creates empty counts. */
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
