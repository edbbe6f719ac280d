/** The streams of the platform's log that one node follows and writes. */
import {
  type ControlEntry,
  type ControlState,
  controlStream,
} from '../authority';
import {type ClaimEntry, type ClaimsState, createClaimsStream} from '../claims';
import type {EventRing} from '../diagnostics';
import type {LogService} from '../control_services';
import type {Clock} from '../runtime';
import {
  type ConfigEntry,
  type ConfigState,
  createConfigStream,
  createStreamFollower,
  createStreamRecovery,
  createStreamWriter,
  createTemplateCarrier,
  type SnapshotSource,
  type StreamDefinition,
  type StreamFollower,
  type StreamRecovery,
  type StreamWriter,
} from '../state';

/** Name of the stream that holds the claims of idempotency keys. */
export const CLAIMS_STREAM = 'claims-0';

/** Limit on claim appends per second over all nodes; each node may use an equal share. */
const MAX_CLAIM_APPENDS_PER_S = 200;
/**
 * Time without an answered read after which the log counts as unavailable for claims, in
 * milliseconds.
 */
const LOG_UNAVAILABLE_AFTER_MS = 2_500;

/** Maximum wait for a mark entry to be read back from the log, in milliseconds. */
const MARK_TIMEOUT_MS = 10_000;

/** Options that differ between the streams. */
interface StreamOptions<Entry> {
  /**
   * A no-op entry, for a stream whose folded state can have a gap. Recovery appends it when nobody
   * else writes: its time shows whether the records read go back far enough.
   */
  readonly mark?: Entry;
  readonly getAppendIntervalMs?: () => number;
}

/** Options of the streams. */
export interface NodeStreamsOptions {
  readonly clock: Clock;
  readonly log: LogService;
  /** Identifies this process among the writers of the log; new at each start of the node. */
  readonly writerId: string;
  readonly events: EventRing;
  /** Name of the node. */
  readonly node: string;
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Loads snapshots of the folded state from peers; absent on a node without peers. */
  readonly snapshots?: SnapshotSource;
  /** Returns the number of nodes that share the log, this one included. */
  readonly countNodes: () => number;
}

/** One stream of the log with its follower, writer and recovery. */
export interface NodeStream<State, Entry> {
  readonly follower: StreamFollower<State, Entry>;
  readonly writer: StreamWriter<Entry>;
  /** Starts the follower and reports when the state in force is known. */
  readonly recovery: StreamRecovery;
  /** Returns whether the log answered the last read. */
  isHealthy(): boolean;
}

/** All streams of a node. */
export interface NodeStreams {
  readonly config: NodeStream<ConfigState, ConfigEntry>;
  readonly claims: NodeStream<ClaimsState, ClaimEntry>;
  /**
   * Leases, command intents and move progress. Requests do not need it, so readiness does not wait
   * for it; the control tasks start and stop it.
   */
  readonly control: NodeStream<ControlState, ControlEntry>;
  /**
   * Returns whether the claims stream failed to answer the last read, or any read within
   * `LOG_UNAVAILABLE_AFTER_MS`.
   */
  isClaimsLogUnavailable(): boolean;
  isCaughtUp(): boolean;
  start(): void;
  stop(): void;
}

/** Creates the streams; nothing is read before `start`. */
export function createNodeStreams(options: NodeStreamsOptions): NodeStreams {
  const {clock, log, writerId, events, node, retentionMs} = options;
  const config = createStream(createConfigStream({retentionMs}), {
    mark: {kind: 'config-mark'},
  });
  const control = createStream(controlStream, {mark: {kind: 'control-mark'}});
  const claims = createStream(createClaimsStream({stream: CLAIMS_STREAM}), {
    getAppendIntervalMs: () =>
      (1_000 * options.countNodes()) / MAX_CLAIM_APPENDS_PER_S,
  });
  const recoveries = [config.recovery, claims.recovery];
  const writers = [config.writer, claims.writer];
  const carrier = createTemplateCarrier({...config, node, clock, retentionMs});
  return {
    config,
    claims,
    control,
    isClaimsLogUnavailable: () =>
      !claims.isHealthy() ||
      claims.follower.getLogAnswerAgeMs() > LOG_UNAVAILABLE_AFTER_MS,
    isCaughtUp: () => recoveries.every(recovery => recovery.isReady()),
    start: () => {
      recoveries.forEach(recovery => recovery.start());
      carrier.start();
    },
    stop: () => {
      carrier.stop();
      recoveries.forEach(recovery => recovery.stop());
      writers.forEach(writer => writer.stop());
    },
  };

  function createStream<State, Entry>(
    definition: StreamDefinition<State, Entry>,
    streamOptions: StreamOptions<Entry>,
  ): NodeStream<State, Entry> {
    const {mark, getAppendIntervalMs} = streamOptions;
    let isHealthy = true;
    const follower = createStreamFollower({
      definition,
      log,
      clock,
      getRandom: Math.random,
      onHealthChange: (isHealthyNow, message) => {
        isHealthy = isHealthyNow;
        events.emit({
          kind: isHealthy ? 'log-back' : 'log-out',
          cause: isHealthy
            ? `stream ${definition.stream} is read again`
            : `stream ${definition.stream}: ${message}`,
        });
      },
    });
    const writer = createStreamWriter({
      follower,
      log,
      clock,
      writer: writerId,
      getAppendIntervalMs,
      getRandom: Math.random,
    });
    const recovery = createStreamRecovery({
      clock,
      follower,
      source: options.snapshots,
      getRandom: Math.random,
      writeMark: mark && (() => void writer.write(mark, MARK_TIMEOUT_MS)),
    });
    return {follower, writer, recovery, isHealthy: () => isHealthy};
  }
}
