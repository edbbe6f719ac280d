/** How many streams each decode engine is believed to run, from all nodes. */

/** Counts of streams. */
export interface StreamCounts {
  /** Notes a stream that runs until `untilMs` at the latest. */
  add(serverId: string, streamId: string, untilMs: number): void;
  remove(serverId: string, streamId: string): void;
  count(serverId: string, nowMs: number): number;
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
    count: (serverId, nowMs) => {
      const streams = servers.get(serverId);
      if (streams === undefined) return 0;
      for (const [id, untilMs] of streams) {
        if (nowMs >= untilMs) streams.delete(id);
      }
      return streams.size;
    },
    removeServer: serverId => {
      servers.delete(serverId);
    },
  };
}
