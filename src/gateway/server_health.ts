/** Tracks the health of backend servers from their responses and failures and from other nodes' reports. */
import {
  createEjector,
  createServerHealth,
  type ServerHealth,
} from '../routing/ejection';
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {BackendEntry} from './types';

/** Tracks the health of all backend servers. */
export interface HealthTracker {
  /** Lists the servers that are healthy enough for a request; returns all of them when none is. */
  listHealthy(servers: readonly BackendEntry[]): readonly BackendEntry[];
  /** Returns the probability that a server is healthy enough for a request, 0 to 1; between them while it returns after an ejection. */
  getUsableChance(serverId: string): number;
  /** Records a failure; with `isCertain` a single one proves that the server is down. */
  recordFailure(serverId: string, reason: string, isCertain?: boolean): void;
  /** Records another node's report that a server does not respond; ignored if the server has just responded to any node. */
  recordSuspicion(serverId: string, reason: string): void;
  /** Records that a server has just responded to this node or another one. */
  recordResponse(serverId: string): void;
  /** True when a server has recently responded to any node. */
  hasRecentResponse(serverId: string): boolean;
  /** Records a complete response. Slow servers are not ejected: placement gives them less. */
  recordSuccess(serverId: string): void;
  remove(serverId: string): void;
}

/** Options of the tracker. */
export interface HealthTrackerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getRandom: () => number;
  /** Called when this node ejects a server because of failures that it observed itself. */
  readonly onEjected: (serverId: string, reason: string) => void;
}

/** Length of the first ejection and of the longest, in milliseconds: a crashed server is usually back after a few seconds. */
const BASE_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 6_000;
/** Time over which a server returns to its full share of requests after an ejection, in milliseconds. */
const RAMP_MS = 2_000;
/** Maximum age of a response that overrides another node's suspicion, in milliseconds. */
const RECENT_RESPONSE_MS = 500;
/** Ratio of observed to expected time with which no server is ejected as slow. */
const EVEN_RATIO = 1;

/** Returns the usable servers, or all of them when none is usable. */
export function selectHealthy(
  servers: readonly BackendEntry[],
  isUsable: (server: BackendEntry) => boolean,
): readonly BackendEntry[] {
  const healthy = servers.filter(isUsable);
  return healthy.length > 0 ? healthy : servers;
}

/** Creates a tracker without any servers. */
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
    getUsableChance: serverId => {
      const health = servers.get(serverId);
      if (health === undefined) return 1;
      return ejector.getUsableChance(health, options.clock.getMonotonicMs());
    },
    recordFailure,
    recordSuspicion,
    recordResponse,
    hasRecentResponse,
    recordSuccess: serverId => {
      recordResponse(serverId);
      const nowMs = options.clock.getMonotonicMs();
      ejector.recordSuccess(getHealth(serverId), EVEN_RATIO, nowMs);
    },
    remove: serverId => {
      servers.delete(serverId);
      lastResponseMs.delete(serverId);
    },
  };

  function listHealthy(list: readonly BackendEntry[]): readonly BackendEntry[] {
    const nowMs = options.clock.getMonotonicMs();
    return selectHealthy(list, server =>
      ejector.isUsable(getHealth(server.id), nowMs),
    );
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
    options.logger.log('warn', 'backend server ejected', {
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
    options.logger.log('info', 'another node suspects a backend server', {
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
