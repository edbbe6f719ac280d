/** The servers of plain services: membership, health and load balancing. */
import type {BackendFailure, BackendServer} from '../backends';
import type {Clock} from '../runtime';
import type {ServerSelector} from '../state';
import {
  createEjector,
  createServerHealth,
  type EjectionCause,
  type EjectionOptions,
  type Ejector,
  type ServerHealth,
} from './ejection';
import {isHealthFailure} from './retrying';
import {isSelected} from './selector';
import type {ServerView} from './types';

/** State of a server of a plain service as known to this node. */
export interface ServiceEntry {
  server: BackendServer;
  readonly health: ServerHealth;
  readonly pool: ServicePool;
  /** Calls in flight from this node. */
  inFlight: number;
}

/** The servers of one service. */
export interface ServicePool {
  readonly entries: Map<string, ServiceEntry>;
  readonly ejector: Ejector;
  /** Moving average of the servers' answer times, in milliseconds; 0 before the first answer. */
  averageMs: number;
}

/** The servers of all plain services. */
export interface ServiceTable {
  /**
   * Chooses the one with fewer calls in flight of two random servers that have not been tried.
   * `getRandom` replaces the table's random numbers.
   */
  tryChoose(
    service: string,
    selector: ServerSelector,
    tried: ReadonlySet<ServiceEntry>,
    getRandom?: () => number,
  ): ServiceEntry | undefined;
  /** Lists the servers of a service, and why some of them cannot be called. */
  listViews(service: string, selector: ServerSelector): readonly ServerView[];
  recordSuccess(
    entry: ServiceEntry,
    durationMs: number,
  ): EjectionCause | undefined;
  recordFailure(
    entry: ServiceEntry,
    failure: BackendFailure,
  ): EjectionCause | undefined;
  /** Replaces the set of servers; those of other kinds are ignored. */
  updateServers(servers: readonly BackendServer[]): void;
}

/** Options of a table. */
export interface ServiceTableOptions {
  readonly clock: Clock;
  readonly getRandom: () => number;
  readonly ejection?: EjectionOptions;
}

/** Weight of one answer in the average answer time. */
const AVERAGE_WEIGHT = 0.05;

/** Creates an empty table. */
export function createServiceTable(options: ServiceTableOptions): ServiceTable {
  const {clock} = options;
  const pools = new Map<string, ServicePool>();
  return {tryChoose, listViews, recordSuccess, recordFailure, updateServers};

  function tryChoose(
    service: string,
    selector: ServerSelector,
    tried: ReadonlySet<ServiceEntry>,
    getRandom = options.getRandom,
  ): ServiceEntry | undefined {
    const pool = pools.get(service);
    if (pool === undefined) return undefined;
    const nowMs = clock.getMonotonicMs();
    const listed = [...pool.entries.values()].filter(
      entry =>
        !entry.server.isLeaving &&
        !tried.has(entry) &&
        isSelected(entry.server, selector),
    );
    const usable = listed.filter(entry =>
      pool.ejector.isUsable(entry.health, nowMs, getRandom),
    );
    // If every server is ejected, one that may fail is better than none.
    return tryChooseLessBusy(usable.length > 0 ? usable : listed, getRandom);
  }

  function listViews(
    service: string,
    selector: ServerSelector,
  ): readonly ServerView[] {
    const pool = pools.get(service);
    if (pool === undefined) return [];
    const nowMs = clock.getMonotonicMs();
    return [...pool.entries.values()].map(({server, health, inFlight}) => {
      const healthyChance = pool.ejector.getUsableChance(health, nowMs);
      const cause = findObstacle(server, selector, healthyChance);
      return {
        id: server.id,
        failureDomain: server.failureDomain,
        healthyChance,
        pausedMs: 0,
        slowdown: 1,
        openCount: inFlight,
        ...(cause === undefined ? {} : {cause}),
      };
    });
  }

  function recordSuccess(
    entry: ServiceEntry,
    durationMs: number,
  ): EjectionCause | undefined {
    const {pool, health} = entry;
    if (pool.averageMs === 0) pool.averageMs = durationMs;
    pool.averageMs += AVERAGE_WEIGHT * (durationMs - pool.averageMs);
    const ratio = durationMs / Math.max(1, pool.averageMs);
    return pool.ejector.recordSuccess(health, ratio, clock.getMonotonicMs());
  }

  function recordFailure(
    entry: ServiceEntry,
    failure: BackendFailure,
  ): EjectionCause | undefined {
    if (!isHealthFailure(failure)) return undefined;
    return entry.pool.ejector.recordFailure(
      entry.health,
      clock.getMonotonicMs(),
      failure.kind === 'unavailable',
    );
  }

  function updateServers(servers: readonly BackendServer[]): void {
    const listed = new Set<string>();
    for (const server of servers) {
      if (server.kind !== 'service' || server.service === undefined) continue;
      listed.add(server.id);
      updateServer(getPool(server.service), server);
    }
    for (const {entries} of pools.values()) {
      for (const id of entries.keys()) if (!listed.has(id)) entries.delete(id);
    }
  }

  function getPool(service: string): ServicePool {
    const known = pools.get(service);
    if (known !== undefined) return known;
    const entries = new Map<string, ServiceEntry>();
    const ejector = createEjector(
      () => [...entries.values()].map(entry => entry.health),
      options.getRandom,
      options.ejection,
    );
    const created: ServicePool = {entries, ejector, averageMs: 0};
    pools.set(service, created);
    return created;
  }
}

function findObstacle(
  server: BackendServer,
  selector: ServerSelector,
  healthyChance: number,
): string | undefined {
  if (server.isLeaving) return 'is leaving';
  if (!isSelected(server, selector)) return 'not for this client account';
  return healthyChance === 0 ? 'ejected after failures' : undefined;
}

function updateServer(pool: ServicePool, server: BackendServer): void {
  const known = pool.entries.get(server.id);
  if (known !== undefined) {
    known.server = server;
    return;
  }
  const health = createServerHealth();
  pool.entries.set(server.id, {server, health, pool, inFlight: 0});
}

function tryChooseLessBusy(
  entries: readonly ServiceEntry[],
  getRandom: () => number,
): ServiceEntry | undefined {
  if (entries.length < 2) return entries[0];
  const first = Math.floor(getRandom() * entries.length);
  const step = 1 + Math.floor(getRandom() * (entries.length - 1));
  const left = entries[first];
  const right = entries[(first + step) % entries.length];
  return right.inFlight < left.inFlight ? right : left;
}
