/** This node's copy of the configuration and of the list of backend servers. */
import {createHash} from 'node:crypto';
import {type AccountTable, createAccountTable} from '../accounts';
import {collectBy} from '../runtime/collect_by';
import {createRouteTable, type RouteTable} from './route_table';
import type {
  BackendEntry,
  BackendService,
  EntryChange,
  GatewayConfig,
} from './types';

/** The current configuration and the listed backend servers. */
export interface FleetState {
  getConfig(): GatewayConfig | undefined;
  getRoutes(): RouteTable;
  /** Returns the client accounts, or undefined when the configuration has none, so that callers need no keys. */
  tryGetAccounts(): AccountTable | undefined;
  tryGetService(name: string): BackendService | undefined;
  /** Applies a configuration if it is newer than the current one; returns whether it was applied. */
  applyConfig(config: GatewayConfig): boolean;
  /** Applies changes, oldest first; returns those that had an effect. */
  applyChanges(changes: readonly EntryChange[], nowMs: number): EntryChange[];
  /** Applies a full list and removes the entries that are not in it; returns the effective changes. */
  replaceEntries(changes: readonly EntryChange[], nowMs: number): EntryChange[];
  /** Starts a grace period after an outage of the store: entries removed before its end stay in use until then, except those of draining servers. */
  startGracePeriod(untilMs: number): void;
  /** Keeps the servers that are draining now out of use until a time, whatever their entries state: the store may have lost the entries that say so. */
  retainLeaving(untilMs: number): void;
  /** Marks a server as draining because it reported so itself, regardless of its entry; returns true when this is new. */
  recordLeaving(id: string, startedAtMs: number): boolean;
  /** Lists the servers of a service that accept new requests. */
  listUsable(service: string): readonly BackendEntry[];
  tryGetUsable(id: string): BackendEntry | undefined;
  /** Returns the size of an engine's KV cache, in tokens; 0 when it is unknown. */
  getKvTokens(id: string): number;
  listEntries(): BackendEntry[];
  /** Counts the model engines that accept new requests. */
  countEngines(): number;
  /** Drops the entries kept by a grace period once it is over. */
  sweep(nowMs: number): void;
  /** Returns a digest of the list of entries; nodes with equal lists have equal digests. */
  getDigest(): string;
}

/** Creates a state without a configuration or entries. */
export function createFleetState(): FleetState {
  let config: GatewayConfig | undefined;
  let routes = createRouteTable([]);
  let accounts: AccountTable | undefined;
  const entries = new Map<string, BackendEntry>();
  /** Entries that were removed during a grace period and are still in use. */
  const retained = new Map<string, BackendEntry>();
  /** Process start times of the servers that reported that they are leaving, by id; another start time under the same id means another process. */
  const leavingStarts = new Map<string, number>();
  /** Process start times of the servers that were draining when the store lost its newest records, by id. */
  const retainedLeaving = new Map<string, number>();
  let retainLeavingUntilMs = 0;
  let graceUntilMs = 0;
  let usable = new Map<string, BackendEntry[]>();
  let engineCount = 0;
  let digest: string | undefined;
  return {
    getConfig: () => config,
    getRoutes: () => routes,
    tryGetAccounts: () => accounts,
    tryGetService,
    applyConfig,
    applyChanges,
    replaceEntries,
    startGracePeriod: untilMs => {
      graceUntilMs = untilMs;
    },
    retainLeaving,
    recordLeaving,
    listUsable: service => usable.get(service) ?? [],
    tryGetUsable,
    getKvTokens: id => {
      const service = tryGetUsable(id)?.service;
      return service === undefined
        ? 0
        : (tryGetService(service)?.engine?.kvTokens ?? 0);
    },
    listEntries: () => [...entries.values()],
    countEngines: () => engineCount,
    sweep,
    getDigest: () => (digest ??= computeDigest(entries)),
  };

  function tryGetService(name: string): BackendService | undefined {
    return config?.services.find(item => item.name === name);
  }

  function tryGetUsable(id: string): BackendEntry | undefined {
    const entry = entries.get(id) ?? retained.get(id);
    return entry === undefined || isLeaving(entry) ? undefined : entry;
  }

  function applyConfig(next: GatewayConfig): boolean {
    if (config !== undefined && next.version <= config.version) return false;
    config = next;
    routes = createRouteTable(next.routes);
    updateAccounts();
    return true;
  }

  function updateAccounts(): void {
    if (config?.accounts === undefined) {
      accounts = undefined;
      return;
    }
    accounts ??= createAccountTable();
    accounts.update(config.accounts);
  }

  function applyChanges(
    changes: readonly EntryChange[],
    nowMs: number,
  ): EntryChange[] {
    const changed = changes.filter(change => applyChange(change, nowMs));
    if (changed.length > 0) updateUsable();
    return changed;
  }

  function replaceEntries(
    changes: readonly EntryChange[],
    nowMs: number,
  ): EntryChange[] {
    const listed = new Set(
      changes.filter(item => item.entry !== undefined).map(item => item.id),
    );
    const gone = [...entries.keys()].filter(id => !listed.has(id));
    return applyChanges([...changes, ...gone.map(id => ({id}))], nowMs);
  }

  function applyChange(change: EntryChange, nowMs: number): boolean {
    const before = entries.get(change.id);
    if (change.entry === undefined) {
      if (before === undefined) return false;
      entries.delete(change.id);
      if (nowMs < graceUntilMs && !before.isLeaving) {
        retained.set(change.id, before);
      }
      return true;
    }
    retained.delete(change.id);
    if (leavingStarts.get(change.id) !== change.entry.startedAtMs) {
      leavingStarts.delete(change.id);
    }
    if (before !== undefined && isSameEntry(before, change.entry)) return false;
    entries.set(change.id, change.entry);
    return true;
  }

  function sweep(nowMs: number): void {
    const isGraceOver = retained.size > 0 && nowMs >= graceUntilMs;
    const isLeavingOver =
      retainedLeaving.size > 0 && nowMs >= retainLeavingUntilMs;
    if (isGraceOver) retained.clear();
    if (isLeavingOver) retainedLeaving.clear();
    if (isGraceOver || isLeavingOver) updateUsable();
  }

  function retainLeaving(untilMs: number): void {
    retainLeavingUntilMs = untilMs;
    for (const entry of entries.values()) {
      if (entry.isLeaving) retainedLeaving.set(entry.id, entry.startedAtMs);
    }
  }

  function recordLeaving(id: string, startedAtMs: number): boolean {
    if (leavingStarts.get(id) === startedAtMs) return false;
    leavingStarts.set(id, startedAtMs);
    updateUsable();
    return true;
  }

  function isLeaving(entry: BackendEntry): boolean {
    return (
      entry.isLeaving ||
      leavingStarts.get(entry.id) === entry.startedAtMs ||
      retainedLeaving.get(entry.id) === entry.startedAtMs
    );
  }

  function updateUsable(): void {
    digest = undefined;
    const listed = [...entries.values(), ...retained.values()];
    const active = listed.filter(entry => !isLeaving(entry));
    usable = collectBy(active, entry => entry.service);
    engineCount = active.filter(({stage}) => stage !== undefined).length;
  }
}

function isSameEntry(left: BackendEntry, right: BackendEntry): boolean {
  return formatEntry(left) === formatEntry(right);
}

function formatEntry(entry: BackendEntry): string {
  return [
    entry.id,
    entry.service,
    entry.host,
    entry.port,
    entry.failureDomain,
    entry.maxRunning,
    entry.isLeaving,
    entry.stage ?? '',
    entry.startedAtMs,
  ].join('|');
}

function computeDigest(entries: ReadonlyMap<string, BackendEntry>): string {
  const lines = [...entries.values()].map(formatEntry).sort();
  return createHash('sha1').update(lines.join('\n')).digest('base64url');
}
