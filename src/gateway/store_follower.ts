/**
 * Keeps the configuration and the list of backend servers up to date. One node,
 * the reader, polls the store and sends its state to the others; a node that
 * receives no recent state becomes a reader itself.
 */
import type {ServerCapacities} from '../capacity';
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import type {EngineSpeedEstimator} from './engine_speed_estimator';
import type {FleetState} from './fleet_state';
import {createKnownRecords} from './known_records';
import {
  createCatchUpLoader,
  type CatchUpLoaderOptions,
} from './catch_up_loader';
import type {QuarantineEntry} from './part_quarantine';
import type {StateMessage} from './peer_messages';
import type {Peers} from './peers';
import type {Snapshot} from './snapshot';
import {createReaderRole} from './reader_role';
import {createStoreReader} from './store_reader';
import type {EntryChange, FleetStore} from './types';

/** Follows the store, directly or through another node. */
export interface StoreFollower {
  start(): void;
  /** Handles a state message of a reader. */
  handleState(message: StateMessage): void;
  getSnapshot(): Snapshot;
  /** Returns the time since this node's state was last known to be current, in milliseconds. */
  getAgeMs(): number;
  /** True when this node is a reader: it polls the store for the others. */
  isReader(): boolean;
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
  readonly speeds: Pick<EngineSpeedEstimator, 'listEstimates' | 'addEstimates'>;
  readonly capacities: Pick<ServerCapacities, 'listFactors' | 'addFactors'>;
  readonly fetchSnapshot: CatchUpLoaderOptions['fetchSnapshot'];
  /** Lists the prompt parts that are kept away from engines, for the other nodes. */
  readonly listQuarantine: () => readonly QuarantineEntry[];
  readonly getRandom: () => number;
  /** Called on each change to the servers or the configuration. */
  readonly onChange: (
    changes: readonly EntryChange[],
    isConfigNew: boolean,
  ) => void;
  /** Called when the store has lost its newest records. */
  readonly onEraRise: (era: number) => void;
}

/** Interval at which the reader polls the list of servers, in milliseconds: a quarter of the shortest drain bound. */
const POLL_INTERVAL_MS = 500;
/** Interval of the periodic tasks, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/** How long one long-poll read waits for a configuration, in milliseconds: it bounds the time until an unresponsive connection is noticed. */
const CONFIG_WAIT_MS = 1_500;
/** Delay after a failed call, in milliseconds. */
const FAILURE_PAUSE_MS = 200;
/** How long entries removed after an outage stay in use, in milliseconds: live servers are listed again by then. */
const GRACE_PERIOD_MS = 2_200;
/** The same after the store lost its newest records, in milliseconds: servers write their entries again within about 2 s, which the next poll finds. */
const ERA_GRACE_PERIOD_MS = 3_000;
/** Minimum time of failing calls that counts as an outage, in milliseconds. */
const MIN_OUTAGE_MS = 1_000;

/** Number of servers' factors in one state message: about 0.6 KB; they take turns. */
const FACTORS_PER_MESSAGE = 16;

/** Creates a follower. */
export function createStoreFollower(
  options: StoreFollowerOptions,
): StoreFollower {
  const {state, peers, clock, logger} = options;
  let currentAsOfMs = Number.NEGATIVE_INFINITY;
  let lastPollMs = Number.NEGATIVE_INFINITY;
  let graceUntilMs = 0;
  let isPolling = false;
  let isAwaitingConfig = false;
  let isStopped = false;
  let timer: Timer | undefined;
  const records = createKnownRecords({
    state,
    clock,
    logger,
    onChange: (changes, isConfigNew) => {
      options.onChange(changes, isConfigNew);
      if (isConfigNew && role.isReader()) sendState();
    },
    onEraRise: handleEraRise,
  });
  const reader = createStoreReader({
    store: options.store,
    clock,
    logger,
    getOffsetEra: records.getEra,
    onConfig: records.addConfig,
    onEntries: records.addEntries,
    onPartialList: records.addPartialList,
    onOutageEnd: outageMs => {
      if (outageMs < MIN_OUTAGE_MS || !role.isReader()) return;
      startGracePeriod(GRACE_PERIOD_MS);
    },
  });
  const role = createReaderRole({
    nodeName: options.nodeName,
    peers,
    clock,
    logger,
    getConfigVersion: records.getConfigVersion,
    isStoreFailing: () => reader.getFailingSinceMs() !== undefined,
    onAnnounce: sendState,
  });
  const loader = createCatchUpLoader({
    records,
    reader,
    peers,
    clock,
    logger,
    getRandom: options.getRandom,
    isReader: role.isReader,
    fetchSnapshot: options.fetchSnapshot,
    onLoaded: setStateAge,
  });
  return {
    start: () => {
      role.start();
      runTick();
    },
    handleState,
    getSnapshot: () =>
      records.getSnapshot(Math.min(Number.MAX_SAFE_INTEGER, getAgeMs())),
    getAgeMs,
    isReader: role.isReader,
    stop: () => {
      isStopped = true;
      timer?.cancel();
      role.stop();
    },
  };

  function handleEraRise(era: number): void {
    options.store.observeEra(era);
    startGracePeriod(ERA_GRACE_PERIOD_MS);
    state.retainLeaving(graceUntilMs);
    lastPollMs = Number.NEGATIVE_INFINITY;
    options.onEraRise(era);
  }

  function getAgeMs(): number {
    return clock.getMonotonicMs() - currentAsOfMs;
  }

  function setStateAge(ageMs: number): void {
    currentAsOfMs = Math.max(currentAsOfMs, clock.getMonotonicMs() - ageMs);
  }

  function startGracePeriod(graceMs: number): void {
    graceUntilMs = Math.max(graceUntilMs, clock.getMonotonicMs() + graceMs);
    state.startGracePeriod(graceUntilMs);
  }

  function runTick(): void {
    if (isStopped) return;
    const nowMs = clock.getMonotonicMs();
    // Any answer of the store may be the first of a higher era.
    if (records.getEra() !== undefined) {
      records.advanceEra(options.store.getEra());
    }
    role.update(currentAsOfMs);
    const isReader = role.isReader();
    state.sweep(nowMs);
    const isDue = nowMs - lastPollMs >= POLL_INTERVAL_MS;
    if (isReader && !isPolling && isDue) void readStore();
    const canAwaitConfig = records.getConfigOffset() >= 0;
    if (isReader && !isAwaitingConfig && canAwaitConfig) void waitForConfig();
    const isEmpty =
      state.getConfig() === undefined || state.listEntries().length === 0;
    if (isEmpty && !records.isComplete()) void loader.loadInitialState();
    timer = clock.schedule(TICK_INTERVAL_MS, runTick);
  }

  async function readStore(): Promise<void> {
    isPolling = true;
    const askedAtMs = clock.getMonotonicMs();
    lastPollMs = askedAtMs;
    const configOffset = records.getConfigOffset();
    const [hasEntries, hasConfig] = await Promise.all([
      reader.readEntries(records.getEntryOffset()),
      configOffset < 0 ? reader.readConfig(configOffset, 0) : true,
    ]);
    isPolling = false;
    if (!hasEntries || !hasConfig || isStopped) return;
    setStateAge(clock.getMonotonicMs() - askedAtMs);
    sendState();
  }

  async function waitForConfig(): Promise<void> {
    isAwaitingConfig = true;
    const isAnswered = await reader.readConfig(
      records.getConfigOffset(),
      CONFIG_WAIT_MS,
    );
    if (!isAnswered) await clock.sleep(FAILURE_PAUSE_MS);
    isAwaitingConfig = false;
  }

  function sendState(): void {
    const nowMs = clock.getMonotonicMs();
    if (!role.canAnnounce()) return;
    const era = records.getEra() ?? 0;
    peers.notify({
      kind: 'state',
      from: options.nodeName,
      configVersion: records.getConfigVersion(),
      configOffset: records.getConfigOffset(),
      entryOffset: records.getEntryOffset(),
      ...(era === 0 ? {} : {era}),
      digest: state.getDigest(),
      changes: records.listRecentChanges(),
      ageMs: nowMs - currentAsOfMs,
      graceMs: Math.max(0, graceUntilMs - nowMs),
      speeds: options.speeds.listEstimates(),
      ...formatFactors(),
      quarantine: options.listQuarantine(),
    });
  }

  /** Omits an empty list, so that messages about equal servers stay as short as before. */
  function formatFactors(): Pick<StateMessage, 'serverFactors'> {
    const serverFactors = options.capacities.listFactors(FACTORS_PER_MESSAGE);
    return serverFactors.length === 0 ? {} : {serverFactors};
  }

  function handleState(message: StateMessage): void {
    // Its sender does not know that the store lost records.
    if ((message.era ?? 0) < (records.getEra() ?? 0)) return;
    role.recordReader(message.from, message.ageMs);
    if (message.graceMs > 0) startGracePeriod(message.graceMs);
    options.speeds.addEstimates(message.speeds ?? []);
    options.capacities.addFactors(message.serverFactors);
    const isReader = role.isReader();
    const isSameList = records.addMessage(message, isReader);
    // A poll that is under way loads the list.
    const isListBehind = !isReader && !isPolling && records.isListBehind();
    if (records.isConfigBehind() || isListBehind) {
      void loader.loadMissing(message.from);
      return;
    }
    if (isSameList) setStateAge(message.ageMs);
  }
}
