/** What a node knows of the configuration and of the backend servers. */
import {createHash} from 'node:crypto';
import {collectBy} from '../runtime/collect_by';
import {createRouteTable, type RouteTable} from './route_table';
import type {
  BackendEntry,
  BackendService,
  EntryChange,
  GatewayConfig,
} from './types';

/** The configuration in force and the backend servers listed. */
export interface FleetState {
  getConfig(): GatewayConfig | undefined;
  getRoutes(): RouteTable;
  tryGetService(name: string): BackendService | undefined;
  /** Takes a configuration if it is newer than the one in force. */
  applyConfig(config: GatewayConfig): boolean;
  /** Takes changes in the order in which they were made; returns what differs from before. */
  applyChanges(changes: readonly EntryChange[], nowMs: number): EntryChange[];
  /** Takes the whole list; entries that are not in it are gone. */
  replaceEntries(changes: readonly EntryChange[], nowMs: number): EntryChange[];
  /** Keeps entries that vanish for a while after an outage of the store. */
  startGracePeriod(untilMs: number): void;
  /** Takes a server's own word that it leaves, whatever its entry says; returns true when it was not known. */
  recordLeaving(id: string, startedAtMs: number): boolean;
  /** Lists the servers that may be sent requests. */
  listUsable(service: string): readonly BackendEntry[];
  tryGetUsable(id: string): BackendEntry | undefined;
  listEntries(): BackendEntry[];
  /** Counts the model engines that may be sent requests. */
  countEngines(): number;
  /** Ends the grace of entries whose time is over. */
  sweep(nowMs: number): void;
  /** Identifies the list of entries; equal on nodes that know the same. */
  getDigest(): string;
}

/** Creates a state that knows nothing. */
export function createFleetState(): FleetState {
  let config: GatewayConfig | undefined;
  let routes = createRouteTable([]);
  const entries = new Map<string, BackendEntry>();
  /** Entries that vanished just after an outage, still used. */
  const vanished = new Map<string, BackendEntry>();
  /** Starts of the servers that say themselves that they leave; a later start under the same id is another server. */
  const leavingStarts = new Map<string, number>();
  let graceUntilMs = 0;
  let usable = new Map<string, BackendEntry[]>();
  let engineCount = 0;
  let digest: string | undefined;
  return {
    getConfig: () => config,
    getRoutes: () => routes,
    tryGetService: name => config?.services.find(item => item.name === name),
    applyConfig,
    applyChanges,
    replaceEntries,
    startGracePeriod: untilMs => {
      graceUntilMs = untilMs;
    },
    recordLeaving,
    listUsable: service => usable.get(service) ?? [],
    tryGetUsable: id => {
      const entry = entries.get(id) ?? vanished.get(id);
      return entry === undefined || isLeaving(entry) ? undefined : entry;
    },
    listEntries: () => [...entries.values()],
    countEngines: () => engineCount,
    sweep,
    getDigest: () => (digest ??= computeDigest(entries)),
  };

  function applyConfig(next: GatewayConfig): boolean {
    if (config !== undefined && next.version <= config.version) return false;
    config = next;
    routes = createRouteTable(next.routes);
    return true;
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
        vanished.set(change.id, before);
      }
      return true;
    }
    vanished.delete(change.id);
    if (leavingStarts.get(change.id) !== change.entry.startedAtMs) {
      leavingStarts.delete(change.id);
    }
    if (before !== undefined && isSameEntry(before, change.entry)) return false;
    entries.set(change.id, change.entry);
    return true;
  }

  function sweep(nowMs: number): void {
    if (vanished.size === 0 || nowMs < graceUntilMs) return;
    vanished.clear();
    updateUsable();
  }

  function recordLeaving(id: string, startedAtMs: number): boolean {
    if (leavingStarts.get(id) === startedAtMs) return false;
    leavingStarts.set(id, startedAtMs);
    updateUsable();
    return true;
  }

  function isLeaving(entry: BackendEntry): boolean {
    return entry.isLeaving || leavingStarts.get(entry.id) === entry.startedAtMs;
  }

  function updateUsable(): void {
    digest = undefined;
    const listed = [...entries.values(), ...vanished.values()];
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
