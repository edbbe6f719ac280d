/**
 * Keeps the configuration and the list of backend servers up to date. One node
 * reads the store and tells the others; a node that hears nothing reads itself.
 */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import type {FleetState} from './fleet_state';
import type {StateMessage} from './peer_messages';
import type {Peers} from './peers';
import type {
  BackendEntry,
  EntryChange,
  FleetStore,
  GatewayConfig,
  StoreFailure,
} from './types';

/** What a node knows, for one that catches up. */
export interface Snapshot {
  readonly config?: GatewayConfig;
  readonly configOffset: number;
  readonly entries: readonly BackendEntry[];
  readonly entryOffset: number;
  /** How long ago the store was asked for this, in milliseconds. */
  readonly ageMs: number;
}

/** Follows the store, by itself or through another node. */
export interface StoreFollower {
  start(): void;
  /** Takes what the reading node says. */
  handleState(message: StateMessage): void;
  getSnapshot(): Snapshot;
  /** How long ago the state was known to be current, in milliseconds. */
  getAgeMs(): number;
  /** True when this node reads the store for the others. */
  isReader(): boolean;
  /** True while calls to the store fail. */
  isStoreLost(): boolean;
  stop(): void;
}

/** Options of the follower. */
export interface StoreFollowerOptions {
  readonly nodeName: string;
  readonly store: FleetStore;
  readonly state: FleetState;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Fetches what another node knows; undefined when it does not answer. */
  readonly fetchSnapshot: (nodeName?: string) => Promise<Snapshot | undefined>;
  /** Called with each change of the servers or the configuration. */
  readonly onChange: (
    changes: readonly EntryChange[],
    isConfigNew: boolean,
  ) => void;
}

/** Interval of reading the list of servers, in milliseconds: a quarter of the shortest drain bound. */
const POLL_INTERVAL_MS = 500;
/** Interval at which duties are checked, in milliseconds. */
const TICK_MS = 50;
/** Age of the state at which a node begins to read the store itself, in milliseconds: two lost polls. */
const TAKEOVER_AGE_MS = 1_150;
/** Spread of the takeover over the nodes, in milliseconds. */
const TAKEOVER_SPREAD_MS = 350;
/** How long one read waits for a configuration, in milliseconds: a silent connection is noticed after it. */
const CONFIG_WAIT_MS = 1_500;
/** Pause after a failed call, in milliseconds. */
const FAILURE_PAUSE_MS = 200;
/** How long another reader's message keeps this node from reading, in milliseconds. */
const READER_MEMORY_MS = 1_100;
/** How long vanished entries are used after an outage, in milliseconds: live servers are back by then. */
const GRACE_MS = 2_200;
/** Length of failing calls that counts as an outage, in milliseconds. */
const OUTAGE_MS = 1_000;
/** How long a change is repeated to the other nodes, in milliseconds: three polls. */
const REPEAT_MS = 1_600;
/** Most changes in one message, so that it fits a datagram. */
const MAX_CHANGES = 5;

/** Creates a follower. */
export function createStoreFollower(
  options: StoreFollowerOptions,
): StoreFollower {
  const {store, state, peers, clock, logger} = options;
  let configOffset = -1;
  let entryOffset = -1;
  let currentAtMs = Number.NEGATIVE_INFINITY;
  let otherReader: {name: string; heardAtMs: number} | undefined;
  let failingSinceMs: number | undefined;
  let lastPollMs = Number.NEGATIVE_INFINITY;
  let graceUntilMs = 0;
  let isPolling = false;
  let isWaiting = false;
  let isCatchingUp = false;
  let isReading = false;
  let isStopped = false;
  let timer: Timer | undefined;
  let recent: Array<{change: EntryChange; atMs: number}> = [];
  return {
    start: () => {
      isReading = true;
      runDuties();
    },
    handleState,
    getSnapshot,
    getAgeMs: () => clock.getMonotonicMs() - currentAtMs,
    isReader: () => isReading,
    isStoreLost: () => failingSinceMs !== undefined,
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };

  function runDuties(): void {
    if (isStopped) return;
    const nowMs = clock.getMonotonicMs();
    updateDuty(nowMs);
    state.sweep(nowMs);
    const isDue = nowMs - lastPollMs >= POLL_INTERVAL_MS;
    if (isReading && !isPolling && isDue) void readStore();
    if (isReading && !isWaiting && configOffset >= 0) void waitForConfig();
    if (state.getConfig() === undefined) void loadState(undefined);
    timer = clock.schedule(TICK_MS, runDuties);
  }

  /** The node with the lowest name among those that read goes on reading. */
  function updateDuty(nowMs: number): void {
    if (isReading) {
      const isOtherFresh =
        otherReader !== undefined &&
        nowMs - otherReader.heardAtMs < READER_MEMORY_MS &&
        (otherReader.name < options.nodeName || failingSinceMs !== undefined);
      if (isOtherFresh && state.getConfig() !== undefined) {
        setReading(false, otherReader?.name ?? '');
      }
      return;
    }
    if (nowMs - currentAtMs > TAKEOVER_AGE_MS + getTakeoverDelayMs()) {
      setReading(true, `state is ${Math.round(nowMs - currentAtMs)} ms old`);
    }
  }

  function setReading(next: boolean, cause: string): void {
    isReading = next;
    logger.log(
      'info',
      next ? 'begins to read the store' : 'leaves reading the store to a node',
      {cause, configVersion: state.getConfig()?.version ?? 0},
    );
  }

  function getTakeoverDelayMs(): number {
    const names = peers.list().map(node => node.name);
    const lower = names.filter(name => name < options.nodeName).length;
    return (TAKEOVER_SPREAD_MS * lower) / (names.length + 1);
  }

  async function readStore(): Promise<void> {
    isPolling = true;
    const askedAtMs = clock.getMonotonicMs();
    lastPollMs = askedAtMs;
    const [hasEntries, hasConfig] = await Promise.all([
      readEntries(),
      configOffset < 0 ? loadConfig() : true,
    ]);
    isPolling = false;
    if (!hasEntries || !hasConfig || isStopped) return;
    currentAtMs = Math.max(currentAtMs, askedAtMs);
    sendState();
  }

  async function readEntries(): Promise<boolean> {
    if (entryOffset < 0) return loadEntries();
    const page = await store.readEntries(entryOffset);
    if (page.err) {
      if (page.val.kind !== 'expired') return recordFailure(page.val);
      logger.log('info', 'records of servers are gone; loads the whole list', {
        offset: entryOffset,
      });
      return loadEntries();
    }
    recordSuccess();
    applyChanges(page.val.changes, page.val.nextOffset, false);
    return true;
  }

  async function loadEntries(): Promise<boolean> {
    const page = await store.loadEntries();
    if (page.err) return recordFailure(page.val);
    recordSuccess();
    applyChanges(page.val.changes, page.val.nextOffset, true);
    return true;
  }

  async function loadConfig(): Promise<boolean> {
    const page = await store.loadConfig();
    if (page.err) return recordFailure(page.val);
    recordSuccess();
    configOffset = page.val.nextOffset;
    applyConfig(page.val.config);
    return true;
  }

  async function waitForConfig(): Promise<void> {
    isWaiting = true;
    const page = await store.waitForConfig(configOffset, CONFIG_WAIT_MS);
    if (page.ok) {
      configOffset = Math.max(configOffset, page.val.nextOffset);
      applyConfig(page.val.config);
    } else if (page.val.kind === 'expired') {
      configOffset = -1;
      await loadConfig();
    } else {
      recordFailure(page.val);
      await clock.sleep(FAILURE_PAUSE_MS);
    }
    isWaiting = false;
  }

  function applyConfig(config: GatewayConfig | undefined): void {
    if (config === undefined || !state.applyConfig(config)) return;
    logger.log('info', 'configuration is in force', {
      version: config.version,
      configOffset,
      routes: config.routes.length,
    });
    options.onChange([], true);
    if (isReading) sendState();
  }

  function applyChanges(
    changes: readonly EntryChange[],
    nextOffset: number,
    isWhole: boolean,
  ): void {
    const nowMs = clock.getMonotonicMs();
    const different = isWhole
      ? state.replaceEntries(changes, nowMs)
      : state.applyChanges(changes, nowMs);
    entryOffset = Math.max(entryOffset, nextOffset);
    if (different.length === 0) return;
    recent.push(...different.map(change => ({change, atMs: nowMs})));
    logger.log('info', 'backend servers changed', {
      entryOffset,
      changes: different.map(({id, entry}) => formatChange(id, entry)),
    });
    options.onChange(different, false);
  }

  function recordSuccess(): void {
    if (failingSinceMs === undefined) return;
    const nowMs = clock.getMonotonicMs();
    const outageMs = nowMs - failingSinceMs;
    failingSinceMs = undefined;
    logger.log('info', 'store answers again', {outageMs});
    if (outageMs < OUTAGE_MS) return;
    graceUntilMs = nowMs + GRACE_MS;
    state.startGrace(graceUntilMs);
  }

  function recordFailure(failure: StoreFailure): false {
    if (failingSinceMs === undefined) {
      failingSinceMs = clock.getMonotonicMs();
      logger.log('warn', 'store does not answer', {reason: failure.message});
    }
    return false;
  }

  function sendState(): void {
    const nowMs = clock.getMonotonicMs();
    recent = recent.filter(item => nowMs - item.atMs < REPEAT_MS);
    peers.notify({
      kind: 'state',
      from: options.nodeName,
      configVersion: state.getConfig()?.version ?? 0,
      configOffset,
      entryOffset,
      digest: state.getDigest(),
      changes: recent.slice(-MAX_CHANGES).map(item => item.change),
      ageMs: nowMs - currentAtMs,
      graceMs: Math.max(0, graceUntilMs - nowMs),
    });
  }

  function handleState(message: StateMessage): void {
    const nowMs = clock.getMonotonicMs();
    const isLower =
      otherReader === undefined ||
      message.from <= otherReader.name ||
      nowMs - otherReader.heardAtMs > READER_MEMORY_MS;
    if (isLower) otherReader = {name: message.from, heardAtMs: nowMs};
    if (message.entryOffset < entryOffset) return;
    if (message.graceMs > 0) {
      graceUntilMs = Math.max(graceUntilMs, nowMs + message.graceMs);
      state.startGrace(graceUntilMs);
    }
    if (!isReading) applyChanges(message.changes, message.entryOffset, false);
    const isConfigKnown =
      message.configVersion <= (state.getConfig()?.version ?? -1);
    const isListKnown = message.digest === state.getDigest();
    if (!isConfigKnown || (!isListKnown && !isReading)) {
      void loadState(message.from);
      return;
    }
    configOffset = Math.max(configOffset, message.configOffset);
    if (isListKnown) currentAtMs = Math.max(currentAtMs, nowMs - message.ageMs);
  }

  /** Fetches what another node knows, at the start or after lost messages. */
  async function loadState(nodeName: string | undefined): Promise<void> {
    if (isCatchingUp) return;
    isCatchingUp = true;
    const snapshot = await options.fetchSnapshot(nodeName);
    if (snapshot === undefined) await clock.sleep(FAILURE_PAUSE_MS);
    else applySnapshot(snapshot);
    isCatchingUp = false;
  }

  function applySnapshot(snapshot: Snapshot): void {
    const nowMs = clock.getMonotonicMs();
    applyConfig(snapshot.config);
    configOffset = Math.max(configOffset, snapshot.configOffset);
    if (snapshot.entryOffset < entryOffset) return;
    const changes = snapshot.entries.map(entry => ({id: entry.id, entry}));
    applyChanges(changes, snapshot.entryOffset, true);
    currentAtMs = Math.max(currentAtMs, nowMs - snapshot.ageMs);
  }

  function getSnapshot(): Snapshot {
    const config = state.getConfig();
    return {
      ...(config === undefined ? {} : {config}),
      configOffset,
      entries: state.listEntries(),
      entryOffset,
      ageMs: Math.min(
        Number.MAX_SAFE_INTEGER,
        clock.getMonotonicMs() - currentAtMs,
      ),
    };
  }
}

function formatChange(id: string, entry: BackendEntry | undefined): string {
  if (entry === undefined) return `${id} gone`;
  const stage = entry.stage === undefined ? '' : ` ${entry.stage}`;
  return `${id} ${entry.isLeaving ? 'leaving' : 'ready'}${stage}`;
}
