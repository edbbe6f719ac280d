/** Folds the records of one stream into its state. */
import type {LogRecord} from '../control_services';
import {decodeEnvelope} from './codec';
import type {
  EntryContext,
  EntryOutcome,
  FoldCounts,
  FoldSnapshot,
  StreamDefinition,
} from './types';

/** How long a writer's last sequence number is kept after its last record, in milliseconds. */
const WRITER_RETENTION_MS = 2 * 24 * 3_600_000;
/** Number of offsets between two sweeps for expired writers. */
const WRITER_SWEEP_RECORDS = 4_096;

/** One entry that has been applied, with its outcome. */
export interface AppliedEntry<Entry> {
  readonly entry: Entry;
  readonly outcome: EntryOutcome;
  readonly context: EntryContext;
}

/** The fold of one stream. */
export interface StreamFold<State, Entry> {
  getState(): State;
  getNextOffset(): number;
  getCounts(): Readonly<FoldCounts>;
  /** Applies the record; returns the entries applied, none when the record was skipped. */
  applyRecord(record: LogRecord): ReadonlyArray<AppliedEntry<Entry>>;
  /** Moves on to `offset`, as the records before it have expired. */
  advanceTo(offset: number): void;
  /** Returns false while the state may lack what expired unread records held. */
  isComplete(): boolean;
  exportSnapshot(): FoldSnapshot;
  importSnapshot(snapshot: FoldSnapshot): boolean;
}

interface WriterProgress {
  sequence: number;
  appendedAtMs: number;
}

/** Creates the fold of a stream, at offset 0. */
export function createStreamFold<State, Entry>(
  definition: StreamDefinition<State, Entry>,
): StreamFold<State, Entry> {
  let state = definition.createState();
  let nextOffset = 0;
  let writers = new Map<string, WriterProgress>();
  const counts: FoldCounts = {
    applied: 0,
    duplicates: 0,
    malformed: 0,
    unknownVersion: 0,
    unknownEntries: 0,
    gaps: 0,
  };
  return {
    getState: () => state,
    getNextOffset: () => nextOffset,
    getCounts: () => counts,
    applyRecord,
    advanceTo,
    isComplete,
    exportSnapshot,
    importSnapshot,
  };

  function applyRecord(record: LogRecord): Array<AppliedEntry<Entry>> {
    if (record.offset < nextOffset) return [];
    nextOffset = record.offset + 1;
    const decoded = decodeEnvelope(record.body);
    if (decoded.kind === 'malformed') {
      counts.malformed++;
      return [];
    }
    if (decoded.kind === 'unknown-version') {
      counts.unknownVersion++;
      return [];
    }
    const {writer, sequence, entries} = decoded.envelope;
    if (!recordSequence(writer, sequence, record.appendedAtMs)) {
      counts.duplicates++;
      return [];
    }
    counts.applied++;
    sweepWriters(record);
    return applyEntries(entries, {
      offset: record.offset,
      writer,
      sequence,
      appendedAtMs: record.appendedAtMs,
    });
  }

  function applyEntries(
    entries: readonly unknown[],
    recordContext: Omit<EntryContext, 'index'>,
  ): Array<AppliedEntry<Entry>> {
    const applied: Array<AppliedEntry<Entry>> = [];
    entries.forEach((value, index) => {
      const entry = definition.tryParseEntry(value);
      if (entry === undefined) {
        counts.unknownEntries++;
        return;
      }
      const context = {...recordContext, index};
      const outcome = definition.applyEntry(state, entry, context);
      applied.push({entry, outcome, context});
    });
    return applied;
  }

  /** Records the writer's sequence; returns false unless it is above the writer's last one. */
  function recordSequence(
    writer: string,
    sequence: number,
    appendedAtMs: number,
  ): boolean {
    const progress = writers.get(writer);
    if (progress === undefined) {
      writers.set(writer, {sequence, appendedAtMs});
      return true;
    }
    if (sequence <= progress.sequence) return false;
    progress.sequence = sequence;
    progress.appendedAtMs = appendedAtMs;
    return true;
  }

  function sweepWriters(record: LogRecord): void {
    if (record.offset % WRITER_SWEEP_RECORDS !== 0) return;
    const cutoffMs = record.appendedAtMs - WRITER_RETENTION_MS;
    for (const [writer, progress] of writers) {
      if (progress.appendedAtMs < cutoffMs) writers.delete(writer);
    }
  }

  function advanceTo(offset: number): void {
    if (offset <= nextOffset) return;
    nextOffset = offset;
    counts.gaps++;
    definition.applyGap?.(state, offset);
  }

  function isComplete(): boolean {
    return definition.isComplete?.(state) ?? true;
  }

  function exportSnapshot(): FoldSnapshot {
    return {
      stream: definition.stream,
      nextOffset,
      writers: [...writers].map(([writer, progress]) => [
        writer,
        progress.sequence,
        progress.appendedAtMs,
      ]),
      state: definition.exportState(state),
    };
  }

  function importSnapshot(snapshot: FoldSnapshot): boolean {
    if (snapshot.stream !== definition.stream) return false;
    const isAhead = snapshot.nextOffset > nextOffset;
    if (!isAhead && isComplete()) return false;
    const restored = definition.tryRestoreState(snapshot.state);
    if (restored === undefined) return false;
    if (definition.isComplete?.(restored) === false) return false;
    state = restored;
    nextOffset = snapshot.nextOffset;
    writers = new Map(
      snapshot.writers.map(([writer, sequence, appendedAtMs]) => [
        writer,
        {sequence, appendedAtMs},
      ]),
    );
    return true;
  }
}
