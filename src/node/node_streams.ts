/** The log's streams as one node follows and writes them. */
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

/** Name of the stream that holds the claims. */
export const CLAIMS_STREAM = 'claims-0';

/** Appends a second that the claims of all nodes may use together. */
const MAX_CLAIM_APPENDS_PER_S = 200;
/** A log that has answered no read for so long does not answer, in milliseconds. */
const LOG_UNAVAILABLE_AFTER_MS = 2_500;

/** Longest wait for a mark to be read back, in milliseconds. */
const MARK_TIMEOUT_MS = 10_000;

/** What differs between the streams. */
interface StreamOptions<Entry> {
  /** An entry that says nothing, for a stream whose fold can have a gap. */
  readonly mark?: Entry;
  readonly getAppendIntervalMs?: () => number;
}

/** Options of the streams. */
export interface NodeStreamsOptions {
  readonly clock: Clock;
  readonly log: LogService;
  /** Names this process incarnation. */
  readonly writerId: string;
  readonly events: EventRing;
  /** Name of the node. */
  readonly node: string;
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Asks the other nodes for copies of the folded state; absent without peers. */
  readonly snapshots?: SnapshotSource;
  /** Returns the number of nodes that share the log, this one included. */
  readonly countNodes: () => number;
}

/** A stream's follower and writer. */
export interface NodeStream<State, Entry> {
  readonly follower: StreamFollower<State, Entry>;
  readonly writer: StreamWriter<Entry>;
  /** Starts the follower and tells when the state in force is known. */
  readonly recovery: StreamRecovery;
  /** Returns whether the log answered the last read. */
  isHealthy(): boolean;
}

/** Every stream of a node. */
export interface NodeStreams {
  readonly config: NodeStream<ConfigState, ConfigEntry>;
  readonly claims: NodeStream<ClaimsState, ClaimEntry>;
  /** Leases, intents and progress. Requests go on without it; its task starts and stops it. */
  readonly control: NodeStream<ControlState, ControlEntry>;
  /** Returns whether the claims stream is known not to answer. */
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
