/** Tracks the pauses that servers requested of this node when they rejected a request. */
import type {Clock} from '../runtime/types';
import {formatProcessKey} from './process_key';
import type {BackendEntry} from './types';

/** Pauses during which this node sends a server no requests. */
export interface ServerPauses {
  /** Starts a pause of `pauseMs`, in milliseconds; it does not shorten a pause that lasts longer. */
  record(server: BackendEntry, pauseMs: number): void;
  isPaused(server: BackendEntry): boolean;
  /** Returns the time until the pause ends, in milliseconds; 0 when there is none. */
  getRemainingMs(server: BackendEntry): number;
}

/** Creates a list without any pauses. */
export function createServerPauses(clock: Clock): ServerPauses {
  /** End of each pause on the monotonic clock, in milliseconds, by server id and start time of its process. */
  const endsAtMs = new Map<string, number>();
  return {
    record,
    isPaused: server => getRemainingMs(server) > 0,
    getRemainingMs,
  };

  function record(server: BackendEntry, pauseMs: number): void {
    const nowMs = clock.getMonotonicMs();
    for (const [key, endMs] of endsAtMs) {
      if (nowMs >= endMs) endsAtMs.delete(key);
    }
    const key = formatProcessKey(server.id, server.startedAtMs);
    const endMs = Math.max(endsAtMs.get(key) ?? 0, nowMs + pauseMs);
    endsAtMs.set(key, endMs);
  }

  function getRemainingMs(server: BackendEntry): number {
    const key = formatProcessKey(server.id, server.startedAtMs);
    const endMs = endsAtMs.get(key) ?? Number.NEGATIVE_INFINITY;
    return Math.max(0, endMs - clock.getMonotonicMs());
  }
}
