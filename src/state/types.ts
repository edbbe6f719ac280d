/** Types of records, folds, followers and writers of the log's streams. */
import type {Result} from 'ts-results';
import type {PlatformFailure} from '../control_services';

/** Version of the envelope that this program writes. Records of other versions are skipped. */
export const ENVELOPE_VERSION = 1;

/** One record of a stream: several entries of one writer, in order. */
export interface Envelope {
  readonly version: number;
  /** Process incarnation that wrote the record. */
  readonly writer: string;
  /** Counts the writer's records in this stream, from 1. A retry repeats it. */
  readonly sequence: number;
  /** Entries as read; each stream has a schema for its own. */
  readonly entries: readonly unknown[];
}

/** Place of an entry: the record's offset and the entry's index in it. */
export interface Position {
  readonly offset: number;
  readonly index: number;
}

/** What a fold knows of the record that an entry came in. */
export interface EntryContext extends Position {
  readonly writer: string;
  /** The writer's sequence of the record. */
  readonly sequence: number;
  /** When the log took the record, in milliseconds since the Unix epoch. */
  readonly appendedAtMs: number;
}

/** What became of an entry in the fold. */
export type EntryOutcome =
  | {readonly kind: 'accepted'; readonly position: Position}
  | {
      readonly kind: 'rejected';
      readonly position: Position;
      /** Why, for the writer. */
      readonly reason: string;
    };

/** A stream's name, entry schema and fold. */
export interface StreamDefinition<State, Entry> {
  readonly stream: string;
  createState(): State;
  /** Returns the entry, or undefined when it is malformed or of an unknown kind. */
  tryParseEntry(value: unknown): Entry | undefined;
  /** Applies one entry to the state in place. Depends on nothing but its arguments. */
  applyEntry(state: State, entry: Entry, context: EntryContext): EntryOutcome;
  /** Returns plain data from which `restoreState` makes the same state. */
  exportState(state: State): unknown;
  /** Returns undefined when the data is malformed. */
  tryRestoreState(data: unknown): State | undefined;
  /** Called when the records before `offset` have expired unread. */
  applyGap?(state: State, offset: number): void;
  /** False while records that expired unread may hide what is in force. True when absent. */
  isComplete?(state: State): boolean;
}

/** Counts of what a fold has skipped. */
export interface FoldCounts {
  applied: number;
  duplicates: number;
  malformed: number;
  unknownVersion: number;
  unknownEntries: number;
  /** Times that records expired before they were read. */
  gaps: number;
}

/** A fold's state with its offset, as plain data. */
export interface FoldSnapshot {
  readonly stream: string;
  /** Offset of the next record to apply. */
  readonly nextOffset: number;
  readonly writers: ReadonlyArray<readonly [string, number, number]>;
  readonly state: unknown;
}

/** Called when an entry of a record has been applied. */
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
  /** True once the fold has reached the log's end, or a peer's snapshot, and nothing is missing. */
  isCaughtUp(): boolean;
  /** True once the log's end, or a peer's snapshot, has been reached after the start. */
  hasReachedEnd(): boolean;
  /** Calls `listener` for each entry applied from now on; returns a function that stops it. */
  subscribe(listener: EntryListener<Entry>): () => void;
  exportSnapshot(): FoldSnapshot;
  /** Takes over a peer's snapshot when it is ahead; returns whether it did. */
  importSnapshot(snapshot: FoldSnapshot): boolean;
  start(): void;
  stop(): void;
}

/** Writes entries to a stream, several in one append, and reports what became of them. */
export interface StreamWriter<Entry> {
  readonly writer: string;
  /** Resolves when the entry has been read back, or with the failure after `timeoutMs`. */
  write(
    entry: Entry,
    timeoutMs: number,
  ): Promise<Result<EntryOutcome, PlatformFailure>>;
  /** Returns the number of appends sent so far, retries included. */
  getAppendCount(): number;
  stop(): void;
}
