/** Health of backend servers as this node sees it from their answers. */
import {
  createEjector,
  createServerHealth,
  type ServerHealth,
} from '../routing/ejection';
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {BackendEntry} from './types';

/** Health of all backend servers. */
export interface HealthTracker {
  /** Lists the servers that may be sent a request; all of them when none may. */
  listHealthy(servers: readonly BackendEntry[]): readonly BackendEntry[];
  /** Takes a failure; `isCertain` when one is enough to know that the server is down. */
  recordFailure(serverId: string, reason: string, isCertain?: boolean): void;
  /** Takes another node's word that a server does not answer, unless it has just answered this node. */
  recordSuspicion(serverId: string, reason: string): void;
  /** Notes that a server has just answered this or another node. */
  recordResponse(serverId: string): void;
  /** True when a server has answered some node a short time ago. */
  hasRecentResponse(serverId: string): boolean;
  /** Takes a complete answer and its observed over expected time. */
  recordSuccess(serverId: string, ratio: number): void;
  /** Observed over expected time of a server, averaged; 1 when unknown. */
  getSlowdown(serverId: string): number;
  remove(serverId: string): void;
}

/** Options of the book. */
export interface HealthTrackerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getRandom: () => number;
  /** Called when this node takes a server out of the choice. */
  readonly onEjected: (serverId: string, reason: string) => void;
}

/** A server in trouble is tried again after this time, in milliseconds; crashes last a few seconds. */
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 6_000;
/** Time over which a server comes back to its full share, in milliseconds. */
const RAMP_MS = 2_000;
/** An answer this recent outweighs another node's suspicion, in milliseconds. */
const RECENT_RESPONSE_MS = 500;
const MIN_SLOWDOWN = 0.5;
const MAX_SLOWDOWN = 4;

/** Creates a book that knows no server. */
export function createHealthTracker(
  options: HealthTrackerOptions,
): HealthTracker {
  const servers = new Map<string, ServerHealth>();
  const lastResponseMs = new Map<string, number>();
  const ejector = createEjector(() => servers.values(), options.getRandom, {
    baseEjectionMs: BASE_EJECTION_MS,
    maxEjectionMs: MAX_EJECTION_MS,
    rampMs: RAMP_MS,
  });
  return {
    listHealthy,
    recordFailure,
    recordSuspicion,
    recordResponse,
    hasRecentResponse,
    recordSuccess: (serverId, ratio) => {
      recordResponse(serverId);
      const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio));
      ejector.recordSuccess(
        getHealth(serverId),
        bounded,
        options.clock.getMonotonicMs(),
      );
    },
    getSlowdown: serverId => servers.get(serverId)?.slowdown ?? 1,
    remove: serverId => {
      servers.delete(serverId);
      lastResponseMs.delete(serverId);
    },
  };

  function listHealthy(list: readonly BackendEntry[]): readonly BackendEntry[] {
    const nowMs = options.clock.getMonotonicMs();
    const healthy = list.filter(server =>
      ejector.isUsable(getHealth(server.id), nowMs),
    );
    return healthy.length > 0 ? healthy : list;
  }

  function recordFailure(
    serverId: string,
    reason: string,
    isCertain = false,
  ): void {
    const cause = ejector.recordFailure(
      getHealth(serverId),
      options.clock.getMonotonicMs(),
      isCertain,
    );
    if (cause === undefined) return;
    options.logger.log('warn', 'backend server is not chosen for a while', {
      serverId,
      reason,
    });
    options.onEjected(serverId, reason);
  }

  function recordSuspicion(serverId: string, reason: string): void {
    const isBelieved = !hasRecentResponse(serverId);
    if (isBelieved) {
      const nowMs = options.clock.getMonotonicMs();
      ejector.recordFailure(getHealth(serverId), nowMs, true);
    }
    options.logger.log('info', 'a node suspects a backend server', {
      serverId,
      reason,
      isBelieved,
    });
  }

  function recordResponse(serverId: string): void {
    lastResponseMs.set(serverId, options.clock.getMonotonicMs());
  }

  function hasRecentResponse(serverId: string): boolean {
    const answered = lastResponseMs.get(serverId) ?? Number.NEGATIVE_INFINITY;
    return options.clock.getMonotonicMs() - answered < RECENT_RESPONSE_MS;
  }

  function getHealth(serverId: string): ServerHealth {
    const known = servers.get(serverId);
    if (known !== undefined) return known;
    const created = createServerHealth();
    servers.set(serverId, created);
    return created;
  }
}
