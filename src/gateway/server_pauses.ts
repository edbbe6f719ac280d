/** Tracks the pauses that servers requested of this node when they rejected a request. */
import type {Clock} from '../runtime/types';
import type {BackendEntry} from './types';

/** Pauses during which this node sends a server no requests. */
export interface ServerPauses {
  /** Starts a pause of `pauseMs`, in milliseconds; it does not shorten a pause that lasts longer. */
  record(server: BackendEntry, pauseMs: number): void;
  isPaused(server: BackendEntry): boolean;
  /** Returns the time until the first pause ends, in milliseconds; undefined unless all of the servers are paused. */
  tryGetShortestRemainingMs(
    servers: readonly BackendEntry[],
  ): number | undefined;
}

/** Creates a list without any pauses. */
export function createServerPauses(clock: Clock): ServerPauses {
  /** End of each pause on the monotonic clock, in milliseconds, by server id and start time of its process. */
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

/** The key includes the start time: a pause does not apply to a server that restarted under the same id. */
function formatKey(server: BackendEntry): string {
  return `${server.id} ${server.startedAtMs}`;
}
