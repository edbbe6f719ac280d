/** The engines that a node knows, in pools by model and selector, and by role within a pool. */
import {
  type BackendServer,
  type EngineReport,
  EngineRole,
  EngineState,
} from '../backends';
import type {ServerSelector} from '../state';
import {
  createEngineLoad,
  createRoleLoad,
  type EngineLoad,
  type RoleLoad,
  setRoleLoad,
} from './engine_load';
import {createServerHealth, type ServerHealth} from './ejection';
import {isSelected} from './selector';
import type {LocalEngineWork} from './types';

/** State of an engine as known to this node. */
export interface EngineEntry {
  server: BackendServer;
  readonly load: EngineLoad;
  readonly health: ServerHealth;
  /** False once the engine is missing from the platform's VM list. */
  isListed: boolean;
  /** Until when no request is sent to it because it refused one, on the node's monotonic clock. */
  refusedUntilMs: number;
}

/** The engines that match a selector and serve a model. */
export interface EnginePool {
  readonly model: string;
  readonly selector: ServerSelector;
  /** Every ready engine of the pool. */
  all: readonly EngineEntry[];
  mixed: readonly EngineEntry[];
  prefill: readonly EngineEntry[];
  decode: readonly EngineEntry[];
  /** True when no engine is ready, but one that changes its role or loads will serve the pool. */
  hasReturningEngine: boolean;
  /** Version of the table that the lists were built from. */
  version: number;
}

/** The table of engines. */
export interface EngineTable {
  /** Returns the pool, with its lists up to date. */
  getPool(model: string, selector: ServerSelector): EnginePool;
  /** Returns the pool as `getPool` does; one that is not held is created and not retained. */
  findPool(model: string, selector: ServerSelector): EnginePool;
  /** Updates the lists of a pool if the table has changed, and returns the pool. */
  updatePool(pool: EnginePool): EnginePool;
  /** Returns whether the engine is ready and belongs to the pool. */
  isMember(pool: EnginePool, engine: EngineEntry): boolean;
  tryGet(engine: string): EngineEntry | undefined;
  list(): IterableIterator<EngineEntry>;
  /** Lists this node's work at each engine where it has requests. */
  listLocalWork(): readonly LocalEngineWork[];
  getSize(): number;
  /** Replaces the set of servers; those that are no model engines are ignored. */
  updateServers(servers: readonly BackendServer[]): void;
  /** Updates the table after a new report of an engine has replaced `previous`. */
  updateEngine(entry: EngineEntry, previous: EngineReport | undefined): void;
  /** Sets the number of live nodes, including this one. */
  setNodeCount(count: number): void;
}

/** Most pools held; all are dropped before one more is added. */
const MAX_POOLS = 4_096;

/** Creates an empty table. */
export function createEngineTable(): EngineTable {
  const engines = new Map<string, EngineEntry>();
  const pools = new Map<string, EnginePool>();
  const keys = new WeakMap<ServerSelector, string>();
  const roleLoads: Readonly<Record<EngineRole, RoleLoad>> = {
    [EngineRole.Prefill]: createRoleLoad(),
    [EngineRole.Decode]: createRoleLoad(),
    [EngineRole.Mixed]: createRoleLoad(),
  };
  let version = 1;
  return {
    getPool,
    findPool,
    updatePool,
    isMember: (pool, engine) => isEligible(engine, pool),
    tryGet: engine => engines.get(engine),
    list: () => engines.values(),
    listLocalWork,
    getSize: () => engines.size,
    updateServers,
    updateEngine,
    setNodeCount,
  };

  function listLocalWork(): readonly LocalEngineWork[] {
    const busy = [...engines.values()].filter(
      entry => entry.load.localWork.current.requests > 0,
    );
    return busy.map(({server, load}) => {
      const {requests, prefillTokens, decodeTokens} = load.localWork.current;
      return {engine: server.id, requests, prefillTokens, decodeTokens};
    });
  }

  function getPool(model: string, selector: ServerSelector): EnginePool {
    const key = getPoolKey(model, selector);
    const known = pools.get(key);
    if (known !== undefined) return updatePool(known);
    if (pools.size >= MAX_POOLS) pools.clear();
    const pool = createPool(model, selector);
    pools.set(key, pool);
    return updatePool(pool);
  }

  function findPool(model: string, selector: ServerSelector): EnginePool {
    const known = pools.get(getPoolKey(model, selector));
    return updatePool(known ?? createPool(model, selector));
  }

  function getPoolKey(model: string, selector: ServerSelector): string {
    return `${model}\n${getSelectorKey(selector)}`;
  }

  function getSelectorKey(selector: ServerSelector): string {
    const known = keys.get(selector);
    if (known !== undefined) return known;
    const {buildings, failure_domains, ids} = selector;
    const key = JSON.stringify([buildings, failure_domains, ids]);
    keys.set(selector, key);
    return key;
  }

  function updatePool(pool: EnginePool): EnginePool {
    if (pool.version === version) return pool;
    pool.all = [...engines.values()].filter(entry => isEligible(entry, pool));
    pool.mixed = selectRole(pool.all, EngineRole.Mixed);
    pool.prefill = selectRole(pool.all, EngineRole.Prefill);
    pool.decode = selectRole(pool.all, EngineRole.Decode);
    pool.hasReturningEngine = pool.all.length === 0 && isAnyReturning(pool);
    pool.version = version;
    return pool;
  }

  function isAnyReturning(pool: EnginePool): boolean {
    for (const entry of engines.values()) {
      if (isReturning(entry, pool)) return true;
    }
    return false;
  }

  function updateServers(servers: readonly BackendServer[]): void {
    const listed = new Set<string>();
    for (const server of servers) {
      if (server.kind !== 'model_engine') continue;
      listed.add(server.id);
      updateServer(server);
    }
    for (const entry of engines.values()) {
      if (listed.has(entry.server.id)) continue;
      if (entry.isListed) version++;
      entry.isListed = false;
      setRoleLoad(entry.load, undefined);
      if (entry.load.localWork.current.requests === 0)
        engines.delete(entry.server.id);
    }
  }

  function updateServer(server: BackendServer): void {
    const known = engines.get(server.id);
    if (known === undefined) {
      engines.set(server.id, createEntry(server));
      version++;
      return;
    }
    if (!known.isListed || !isSameServer(known.server, server)) version++;
    known.isListed = true;
    known.server = server;
  }

  function updateEngine(
    entry: EngineEntry,
    previous: EngineReport | undefined,
  ): void {
    const after = entry.load.report;
    if (after === undefined) return;
    setRoleLoad(entry.load, roleLoads[after.role]);
    if (previous === undefined || !isSameCapability(previous, after)) version++;
  }

  function setNodeCount(count: number): void {
    for (const roleLoad of Object.values(roleLoads)) roleLoad.nodeCount = count;
  }
}

function createEntry(server: BackendServer): EngineEntry {
  return {
    server,
    load: createEngineLoad(),
    health: createServerHealth(),
    isListed: true,
    refusedUntilMs: 0,
  };
}

function createPool(model: string, selector: ServerSelector): EnginePool {
  return {
    model,
    selector,
    all: [],
    mixed: [],
    prefill: [],
    decode: [],
    hasReturningEngine: false,
    version: 0,
  };
}

function isEligible(entry: EngineEntry, pool: EnginePool): boolean {
  return (
    entry.load.report?.state === EngineState.Ready && isSuitable(entry, pool)
  );
}

/** Returns whether an engine will serve the pool once it has changed its role or finished loading. */
function isReturning(entry: EngineEntry, pool: EnginePool): boolean {
  const state = entry.load.report?.state;
  if (state !== EngineState.ChangingRole && state !== EngineState.Loading) {
    return false;
  }
  return isSuitable(entry, pool);
}

function isSuitable(entry: EngineEntry, pool: EnginePool): boolean {
  const {report} = entry.load;
  if (!entry.isListed || entry.server.isLeaving) return false;
  if (report === undefined || !report.models.includes(pool.model)) return false;
  return isSelected(entry.server, pool.selector);
}

function selectRole(
  entries: readonly EngineEntry[],
  role: EngineRole,
): readonly EngineEntry[] {
  return entries.filter(entry => entry.load.report?.role === role);
}

function isSameServer(left: BackendServer, right: BackendServer): boolean {
  return (
    left.isLeaving === right.isLeaving &&
    left.address === right.address &&
    left.failureDomain === right.failureDomain &&
    left.building === right.building
  );
}

function isSameCapability(left: EngineReport, right: EngineReport): boolean {
  return (
    left.state === right.state &&
    left.role === right.role &&
    left.models.length === right.models.length &&
    left.models.every((model, index) => model === right.models[index])
  );
}
