/** Types of the log's streams: records, folds, followers and writers. */
import type {Result} from 'ts-results';
import type {PlatformFailure} from '../control_services';

/** Envelope version that this program reads and writes. Records of other versions are skipped. */
export const ENVELOPE_VERSION = 1;

/** One record of a stream: a batch of entries of one writer, in order. */
export interface Envelope {
  readonly version: number;
  /** Identifies the process that wrote the record. */
  readonly writer: string;
  /** Number of the record among the writer's records in this stream, from 1. A retry repeats it. */
  readonly sequence: number;
  /** Unparsed entries; each stream has a schema for its entries. */
  readonly entries: readonly unknown[];
}

/** Position of an entry: the record's offset and the entry's index in the record. */
export interface Position {
  readonly offset: number;
  readonly index: number;
}

/** The record that an entry came in, and the entry's position. */
export interface EntryContext extends Position {
  readonly writer: string;
  /** The record's sequence number; see `Envelope`. */
  readonly sequence: number;
  /** When the log appended the record, in milliseconds since the Unix epoch. */
  readonly appendedAtMs: number;
}

/** Whether the fold accepted an entry. */
export type EntryOutcome =
  | {readonly kind: 'accepted'; readonly position: Position}
  | {
      readonly kind: 'rejected';
      readonly position: Position;
      /** Reason for the rejection, reported to the writer of the entry. */
      readonly reason: string;
    };

/** A stream's name, entry schema and fold. */
export interface StreamDefinition<State, Entry> {
  readonly stream: string;
  createState(): State;
  /** Parses an entry; returns undefined when it is malformed or of an unknown kind. */
  tryParseEntry(value: unknown): Entry | undefined;
  /** Applies one entry to the state in place. Must depend on its arguments only. */
  applyEntry(state: State, entry: Entry, context: EntryContext): EntryOutcome;
  /** Returns plain data from which `tryRestoreState` recreates the state. */
  exportState(state: State): unknown;
  /** Recreates a state; returns undefined when the data is malformed. */
  tryRestoreState(data: unknown): State | undefined;
  /** Called when the records before `offset` have expired before they were read. */
  applyGap?(state: State, offset: number): void;
  /** Returns false while the state may lack what expired records held; absent means always true. */
  isComplete?(state: State): boolean;
}

/** Counts of the records and entries that a fold has applied and skipped. */
export interface FoldCounts {
  applied: number;
  duplicates: number;
  malformed: number;
  unknownVersion: number;
  unknownEntries: number;
  /** How many times records expired before they were read. */
  gaps: number;
}

/** A fold's state and offset as plain data, passed between nodes as JSON. */
export interface FoldSnapshot {
  readonly stream: string;
  /** Offset of the next record to apply. */
  readonly nextOffset: number;
  /** For each writer: its name, last sequence number and the time of that record. */
  readonly writers: ReadonlyArray<readonly [string, number, number]>;
  readonly state: unknown;
}

/** Called after an entry has been applied, whether the fold accepted or rejected it. */
export type EntryListener<Entry> = (
  entry: Entry,
  outcome: EntryOutcome,
  context: EntryContext,
) => void;

/** A task that reads a stream and folds it. */
export interface StreamFollower<State, Entry> {
  readonly stream: string;
  getState(): State;
  /** Returns the offset of the next record to apply. */
  getNextOffset(): number;
  getCounts(): Readonly<FoldCounts>;
  /** Returns how long ago the log last answered a read, in milliseconds. */
  getLogAnswerAgeMs(): number;
  /** True once `hasReachedEnd()` is true and the state is complete, without loss from a gap. */
  isCaughtUp(): boolean;
  /** True once the fold has read to the log's end or is as far as a peer's snapshot. */
  hasReachedEnd(): boolean;
  /** Calls `listener` for each entry applied from now on; returns a function that unsubscribes. */
  subscribe(listener: EntryListener<Entry>): () => void;
  exportSnapshot(): FoldSnapshot;
  /**
   * Replaces the state by a peer's snapshot when that is ahead, or when this state is incomplete.
   * Returns whether it did.
   */
  importSnapshot(snapshot: FoldSnapshot): boolean;
  start(): void;
  stop(): void;
}

/** Writes entries to a stream, several in one append, and reports the outcome of each. */
export interface StreamWriter<Entry> {
  readonly writer: string;
  /** Resolves with the outcome once the fold has applied the entry, or fails after `timeoutMs`. */
  write(
    entry: Entry,
    timeoutMs: number,
  ): Promise<Result<EntryOutcome, PlatformFailure>>;
  /** Returns the number of appends sent so far, retries included. */
  getAppendCount(): number;
  stop(): void;
}
