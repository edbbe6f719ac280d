/** Servers that want nothing from this node for a while, as they said when they turned a request away. */
import type {Clock} from '../runtime/types';
import type {BackendEntry} from './types';

/** Pauses that servers have asked this node for. */
export interface ServerPauses {
  /** Notes that the server wants nothing for `pauseMs` from now on; a shorter pause doesn't end a longer one. */
  record(server: BackendEntry, pauseMs: number): void;
  isPaused(server: BackendEntry): boolean;
  /** Returns the time until the first of the servers may be sent requests, in milliseconds; undefined unless all are paused. */
  tryGetShortestRemainingMs(
    servers: readonly BackendEntry[],
  ): number | undefined;
}

/** Creates an empty list of pauses. */
export function createServerPauses(clock: Clock): ServerPauses {
  /** Ends of the pauses on the monotonic clock, by server and start of its process. */
  const endsAtMs = new Map<string, number>();
  return {
    record,
    isPaused: server => getRemainingMs(server) > 0,
    tryGetShortestRemainingMs: servers => {
      if (servers.length === 0) return undefined;
      const shortestMs = Math.min(...servers.map(getRemainingMs));
      return shortestMs > 0 ? shortestMs : undefined;
    },
  };

  function record(server: BackendEntry, pauseMs: number): void {
    const nowMs = clock.getMonotonicMs();
    for (const [key, endMs] of endsAtMs) {
      if (nowMs >= endMs) endsAtMs.delete(key);
    }
    const key = formatKey(server);
    const endMs = Math.max(endsAtMs.get(key) ?? 0, nowMs + pauseMs);
    endsAtMs.set(key, endMs);
  }

  function getRemainingMs(server: BackendEntry): number {
    const endMs = endsAtMs.get(formatKey(server)) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, endMs - clock.getMonotonicMs());
  }
}

/** A server that starts again under its id has asked for nothing. */
function formatKey(server: BackendEntry): string {
  return `${server.id} ${server.startedAtMs}`;
}
