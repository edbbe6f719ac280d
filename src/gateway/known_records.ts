/** The store's records that this node knows, and the offsets up to which it knows them. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {FleetState} from './fleet_state';
import type {StateMessage} from './peer_messages';
import {createRecentChanges} from './recent_changes';
import type {Snapshot} from './snapshot';
import {isStoreEra} from './store_era';
import type {BackendEntry, EntryChange, GatewayConfig} from './types';

/** The records of the configuration and of the backend servers that a node knows. */
export interface KnownRecords {
  /** Returns the version of the current configuration; 0 when there is none. */
  getConfigVersion(): number;
  /** Returns the offset up to which all configuration records are known; negative before the first read. */
  getConfigOffset(): number;
  /** Returns the offset up to which all server records are known; negative before the first read. */
  getEntryOffset(): number;
  /** Returns the era of the store to which the offsets belong; undefined before the first records. */
  getEra(): number | undefined;
  /** Drops the offsets if the era is higher than theirs, so that the next reads load everything. */
  advanceEra(era: number): void;
  /** Adds the result of reading the configuration records up to `nextOffset`, or of loading the newest one. */
  addConfig(
    config: GatewayConfig | undefined,
    nextOffset: number,
    isFullList: boolean,
    era: number,
  ): void;
  /** Adds the result of reading the server records up to `nextOffset`. */
  addEntries(
    changes: readonly EntryChange[],
    nextOffset: number,
    isFullList: boolean,
    era: number,
  ): void;
  /** Adds servers of a full list that is still being loaded, so that they can serve at once. */
  addPartialList(changes: readonly EntryChange[], era: number): void;
  /** Adds the content of a reader's state message; returns true when both nodes' lists of servers are equal. */
  addMessage(message: StateMessage, isReader: boolean): boolean;
  /** Adds another node's snapshot; returns true when its list of servers is at least as recent as this node's. */
  addSnapshot(snapshot: Snapshot): boolean;
  /** True once this node has a configuration and has had a full list of servers. */
  isComplete(): boolean;
  isConfigBehind(): boolean;
  isListBehind(): boolean;
  /** Makes the next read load the newest configuration by its key instead of reading on from the offset. */
  resetConfigOffset(): void;
  /** Lists the latest changes to servers, oldest first. */
  listRecentChanges(): readonly EntryChange[];
  getSnapshot(ageMs: number): Snapshot;
}

/** Options of the records. */
export interface KnownRecordsOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called on each change to the servers or the configuration. */
  readonly onChange: (
    changes: readonly EntryChange[],
    isConfigNew: boolean,
  ) => void;
  /** Called when the store has lost its newest records, after the offsets were dropped. */
  readonly onEraRise: (era: number) => void;
}

/** Maximum number of servers that one log line lists. */
const MAX_LOGGED_CHANGES = 100;

/** Creates an empty set of known records. */
export function createKnownRecords(options: KnownRecordsOptions): KnownRecords {
  const {state, clock, logger} = options;
  /** Era of the offsets. */
  let knownEra: number | undefined;
  let configOffset = -1;
  let entryOffset = -1;
  /** The newest version and offset that readers announced. */
  const announced = {configVersion: 0, entryOffset: -1};
  /** False until this node has had a full list. */
  let hasList = false;
  const recentChanges = createRecentChanges(clock);
  return {
    getConfigVersion,
    getConfigOffset: () => configOffset,
    getEntryOffset: () => entryOffset,
    getEra: () => knownEra,
    advanceEra,
    addConfig,
    addEntries,
    addPartialList,
    addMessage,
    addSnapshot,
    isComplete: () => hasList && state.getConfig() !== undefined,
    isConfigBehind: () => getConfigVersion() < announced.configVersion,
    isListBehind: () => entryOffset < announced.entryOffset,
    resetConfigOffset: () => {
      configOffset = -1;
    },
    listRecentChanges: recentChanges.list,
    getSnapshot: ageMs => {
      const config = state.getConfig();
      return {
        ...(config === undefined ? {} : {config}),
        configOffset,
        entries: state.listEntries(),
        entryOffset,
        ...(knownEra === undefined ? {} : {era: knownEra}),
        ageMs,
      };
    },
  };

  function getConfigVersion(): number {
    return state.getConfig()?.version ?? 0;
  }

  function advanceEra(era: number): void {
    if (!isStoreEra(era) || era <= (knownEra ?? -1)) return;
    const previousEra = knownEra;
    knownEra = era;
    if (previousEra === undefined) return;
    logger.log('warn', 'store lost its newest records; loading all of them', {
      era,
      previousEra,
      configVersion: getConfigVersion(),
      configOffset,
      entryOffset,
    });
    configOffset = -1;
    entryOffset = -1;
    announced.entryOffset = -1;
    options.onEraRise(era);
  }

  /** Returns whether records that were read in an era can be added; changes from an offset of an earlier era cannot. */
  function canAdd(era: number, isFullList: boolean): boolean {
    const isRise = knownEra !== undefined && era > knownEra;
    advanceEra(era);
    return era === knownEra && (isFullList || !isRise);
  }

  function addConfig(
    config: GatewayConfig | undefined,
    nextOffset: number,
    isFullList: boolean,
    era: number,
  ): void {
    if (canAdd(era, isFullList)) {
      const leastOffset = isFullList ? -1 : configOffset;
      configOffset = Math.max(leastOffset, nextOffset);
    }
    applyConfig(config);
  }

  /** Applies a configuration; one that is older than that in force is not a rollback, as the store may have lost the newer one. */
  function applyConfig(config: GatewayConfig | undefined): void {
    if (config !== undefined && config.version < getConfigVersion()) {
      logger.log('info', 'older configuration ignored', {
        version: config.version,
        configVersion: getConfigVersion(),
        era: knownEra,
      });
    }
    if (config === undefined || !state.applyConfig(config)) return;
    const accounts = state.tryGetAccounts();
    logger.log('info', 'configuration applied', {
      version: config.version,
      configOffset,
      routes: config.routes.length,
      ...(accounts === undefined ? {} : {accounts: accounts.getSummary()}),
    });
    options.onChange([], true);
  }

  function addEntries(
    changes: readonly EntryChange[],
    nextOffset: number,
    isFullList: boolean,
    era: number,
  ): void {
    if (!canAdd(era, isFullList)) return;
    applyChanges(changes, isFullList);
    entryOffset = isFullList ? nextOffset : Math.max(entryOffset, nextOffset);
    hasList ||= isFullList;
  }

  function addPartialList(changes: readonly EntryChange[], era: number): void {
    if (canAdd(era, true) && entryOffset < 0) applyChanges(changes, false);
  }

  function applyChanges(
    changes: readonly EntryChange[],
    isFullList: boolean,
  ): void {
    const nowMs = clock.getMonotonicMs();
    const changed = isFullList
      ? state.replaceEntries(changes, nowMs)
      : state.applyChanges(changes, nowMs);
    if (changed.length === 0) return;
    // What a starting node loads is no change to the list. Telling it would cost each node bytes that grow with the fleet.
    if (hasList) recentChanges.add(changed);
    logger.log('info', 'backend servers changed', {
      entryOffset,
      changeCount: changed.length,
      changes: changed
        .slice(0, MAX_LOGGED_CHANGES)
        .map(({id, entry}) => formatChange(id, entry)),
    });
    options.onChange(changed, false);
  }

  function addMessage(message: StateMessage, isReader: boolean): boolean {
    advanceEra(message.era ?? 0);
    announced.configVersion = Math.max(
      announced.configVersion,
      message.configVersion,
    );
    if (getConfigVersion() >= message.configVersion) {
      configOffset = Math.max(configOffset, message.configOffset);
    }
    // This node has already read further than the sender.
    if (message.entryOffset < entryOffset) return false;
    announced.entryOffset = Math.max(
      announced.entryOffset,
      message.entryOffset,
    );
    if (!isReader) applyChanges(message.changes, false);
    const isSameList = message.digest === state.getDigest();
    if (isSameList) entryOffset = message.entryOffset;
    // Equal offsets but different lists: only loading the full list can resolve the difference.
    else if (!isReader && entryOffset === message.entryOffset) {
      entryOffset = -1;
    }
    return isSameList;
  }

  function addSnapshot(snapshot: Snapshot): boolean {
    const era = snapshot.era ?? 0;
    advanceEra(era);
    addConfig(snapshot.config, snapshot.configOffset, false, era);
    if (era !== knownEra || snapshot.entryOffset < entryOffset) return false;
    const changes = snapshot.entries.map(entry => ({id: entry.id, entry}));
    addEntries(changes, snapshot.entryOffset, true, era);
    return true;
  }
}

function formatChange(id: string, entry: BackendEntry | undefined): string {
  if (entry === undefined) return `${id} gone`;
  const stage = entry.stage === undefined ? '' : ` ${entry.stage}`;
  return `${id} ${entry.isLeaving ? 'leaving' : 'ready'}${stage}`;
}
