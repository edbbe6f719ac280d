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
}

/** Interval at which the reader polls the list of servers, in milliseconds: a quarter of the shortest drain bound. */
const POLL_INTERVAL_MS = 500;
/** Interval of the periodic tasks, in milliseconds. */
const TICK_INTERVAL_MS = 50;
/** Age of the state above which a node takes over as reader, in milliseconds: two lost polls. */
const TAKEOVER_AGE_MS = 1_150;
/** Range over which the nodes' takeovers are spread by name, in milliseconds. */
const TAKEOVER_SPREAD_MS = 350;
/** How long one long-poll read waits for a configuration, in milliseconds: it bounds the time until an unresponsive connection is noticed. */
const CONFIG_WAIT_MS = 1_500;
/** Delay after a failed call, in milliseconds. */
const FAILURE_PAUSE_MS = 200;
/** How long after its last message another reader counts as active, in milliseconds. */
const READER_EXPIRY_MS = 1_100;
/** How long entries removed after an outage stay in use, in milliseconds: live servers are listed again by then. */
const GRACE_PERIOD_MS = 2_200;
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
  /** When a reader's state was last current, according to its messages. */
  let readerCurrentAsOfMs = Number.NEGATIVE_INFINITY;
  let otherReader: {name: string; lastMessageAtMs: number} | undefined;
  let lastPollMs = Number.NEGATIVE_INFINITY;
  let graceUntilMs = 0;
  let isPolling = false;
  let isAwaitingConfig = false;
  let isReader = false;
  let isStopped = false;
  let timer: Timer | undefined;
  const records = createKnownRecords({
    state,
    clock,
    logger,
    onChange: (changes, isConfigNew) => {
      options.onChange(changes, isConfigNew);
      if (isConfigNew && isReader) sendState();
    },
  });
  const reader = createStoreReader({
    store: options.store,
    clock,
    logger,
    onConfig: records.addConfig,
    onEntries: records.addEntries,
    onOutageEnd: outageMs => {
      if (outageMs < MIN_OUTAGE_MS || !isReader) return;
      startGracePeriod(GRACE_PERIOD_MS);
    },
  });
  const loader = createCatchUpLoader({
    records,
    reader,
    peers,
    clock,
    logger,
    getRandom: options.getRandom,
    isReader: () => isReader,
    fetchSnapshot: options.fetchSnapshot,
    onLoaded: setStateAge,
  });
  return {
    start: () => {
      isReader = true;
      runTick();
    },
    handleState,
    getSnapshot: () =>
      records.getSnapshot(Math.min(Number.MAX_SAFE_INTEGER, getAgeMs())),
    getAgeMs,
    isReader: () => isReader,
    stop: () => {
      isStopped = true;
      timer?.cancel();
    },
  };

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
    updateReaderRole(nowMs);
    state.sweep(nowMs);
    const isDue = nowMs - lastPollMs >= POLL_INTERVAL_MS;
    if (isReader && !isPolling && isDue) void readStore();
    const canAwaitConfig = records.getConfigOffset() >= 0;
    if (isReader && !isAwaitingConfig && canAwaitConfig) void waitForConfig();
    if (state.getConfig() === undefined) void loader.loadInitialState();
    timer = clock.schedule(TICK_INTERVAL_MS, runTick);
  }

  /** Starts or stops being a reader. Of several readers, the one with the lowest name continues; one whose store calls fail stops. */
  function updateReaderRole(nowMs: number): void {
    if (isReader) {
      const hasOtherReader =
        otherReader !== undefined &&
        nowMs - otherReader.lastMessageAtMs < READER_EXPIRY_MS &&
        (otherReader.name < options.nodeName ||
          reader.getFailingSinceMs() !== undefined);
      if (hasOtherReader && state.getConfig() !== undefined) {
        setReader(false, otherReader?.name ?? '');
      }
      return;
    }
    // While another node is a reader, this node loads missing records without becoming a reader.
    const ageMs = nowMs - Math.max(currentAsOfMs, readerCurrentAsOfMs);
    // Computing the delay iterates over all nodes, so it is skipped while the state is recent.
    if (ageMs <= TAKEOVER_AGE_MS) return;
    if (ageMs > TAKEOVER_AGE_MS + getTakeoverDelayMs()) {
      setReader(true, `state is ${Math.round(ageMs)} ms old`);
    }
  }

  function setReader(next: boolean, cause: string): void {
    isReader = next;
    logger.log(
      'info',
      next ? 'became the store reader' : 'stopped being the store reader',
      {cause, configVersion: records.getConfigVersion()},
    );
  }

  function getTakeoverDelayMs(): number {
    return (TAKEOVER_SPREAD_MS * peers.countLowerNames()) / (peers.count() + 1);
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
    peers.notify({
      kind: 'state',
      from: options.nodeName,
      configVersion: records.getConfigVersion(),
      configOffset: records.getConfigOffset(),
      entryOffset: records.getEntryOffset(),
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
    const nowMs = clock.getMonotonicMs();
    const isPreferredReader =
      otherReader === undefined ||
      message.from <= otherReader.name ||
      nowMs - otherReader.lastMessageAtMs > READER_EXPIRY_MS;
    if (isPreferredReader)
      otherReader = {name: message.from, lastMessageAtMs: nowMs};
    readerCurrentAsOfMs = Math.max(readerCurrentAsOfMs, nowMs - message.ageMs);
    if (message.graceMs > 0) startGracePeriod(message.graceMs);
    options.speeds.addEstimates(message.speeds ?? []);
    options.capacities.addFactors(message.serverFactors);
    const isSameList = records.addMessage(message, isReader);
    const isListBehind = !isReader && records.isListBehind();
    if (records.isConfigBehind() || isListBehind) {
      void loader.loadMissing(message.from);
      return;
    }
    if (isSameList) setStateAge(message.ageMs);
  }
}
