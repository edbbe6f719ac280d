/** Delivers each token of an answer once and in order, whatever order the batches arrive in. */
import type {TokenBatch} from '../backends';

/** Counts of batches that were not delivered as they arrived. */
export interface ReorderCounts {
  /** Batches some or all of whose tokens had arrived before. */
  duplicates: number;
  /** Batches that arrived ahead of missing tokens and were kept. */
  early: number;
  /**
   * Batches that could be neither delivered nor kept: too many early ones, or an overlap that
   * cannot be trimmed.
   */
  dropped: number;
}

/** The reorder buffer of one answer. */
export interface ReorderBuffer {
  /** Adds a batch; returns the batches to deliver now, without tokens delivered before. */
  takeReady(batch: TokenBatch): readonly TokenBatch[];
  /** Drops the kept early batches, because another attempt begins. */
  startAttempt(): void;
  /** Returns the index of the next token to deliver. */
  getNextIndex(): number;
  /** Returns the text delivered through this buffer so far. */
  getText(): string;
  getCounts(): Readonly<ReorderCounts>;
}

/** Most early batches kept. */
const MAX_EARLY_BATCHES = 64;
/**
 * Number of delivered batch ends remembered; an overlapping batch can be trimmed only if it
 * starts at one of them.
 */
const MAX_BOUNDARIES = 32;

/** End of a delivered batch. */
interface Boundary {
  /** Index of the token after the batch. */
  readonly index: number;
  /** Length of the text delivered up to there. */
  readonly textLength: number;
}

const NO_BATCHES: readonly TokenBatch[] = [];

/** Creates the buffer of an answer whose first `firstIndex` tokens were delivered before. */
export function createReorderBuffer(firstIndex = 0): ReorderBuffer {
  const counts: ReorderCounts = {duplicates: 0, early: 0, dropped: 0};
  const boundaries: Boundary[] = [{index: firstIndex, textLength: 0}];
  let early: Map<number, TokenBatch> | undefined;
  let nextIndex = firstIndex;
  let text = '';
  return {
    takeReady,
    startAttempt: () => {
      early = undefined;
    },
    getNextIndex: () => nextIndex,
    getText: () => text,
    getCounts: () => counts,
  };

  function takeReady(batch: TokenBatch): readonly TokenBatch[] {
    if (batch.count <= 0) return NO_BATCHES;
    if (batch.firstIndex > nextIndex) {
      addEarly(batch);
      return NO_BATCHES;
    }
    const due = tryTrim(batch);
    if (due === undefined) return NO_BATCHES;
    recordDelivered(due);
    if (early === undefined) return [due];
    return [due, ...takeEarly(early)];
  }

  function addEarly(batch: TokenBatch): void {
    early ??= new Map();
    const known = early.get(batch.firstIndex);
    if (known !== undefined && known.count >= batch.count) {
      counts.duplicates++;
      return;
    }
    if (known === undefined && early.size >= MAX_EARLY_BATCHES) {
      counts.dropped++;
      return;
    }
    counts.early++;
    early.set(batch.firstIndex, batch);
  }

  /** Removes and returns the early batches that are due now, trimmed like new ones. */
  function takeEarly(kept: Map<number, TokenBatch>): readonly TokenBatch[] {
    const ready: TokenBatch[] = [];
    for (;;) {
      const next = tryFindDue(kept);
      if (next === undefined) break;
      kept.delete(next.firstIndex);
      const due = tryTrim(next);
      if (due === undefined) continue;
      recordDelivered(due);
      ready.push(due);
    }
    if (kept.size === 0) early = undefined;
    return ready;
  }

  function tryFindDue(kept: Map<number, TokenBatch>): TokenBatch | undefined {
    const exact = kept.get(nextIndex);
    if (exact !== undefined) return exact;
    for (const batch of kept.values()) {
      if (batch.firstIndex < nextIndex) return batch;
    }
    return undefined;
  }

  /**
   * Returns the part of a batch from the next token to deliver; undefined if there is none or
   * its text is unknown.
   */
  function tryTrim(batch: TokenBatch): TokenBatch | undefined {
    const skipped = nextIndex - batch.firstIndex;
    if (skipped === 0) return batch;
    if (skipped >= batch.count) {
      counts.duplicates++;
      return undefined;
    }
    const start = boundaries.find(item => item.index === batch.firstIndex);
    if (start === undefined) {
      counts.dropped++;
      return undefined;
    }
    counts.duplicates++;
    return {
      ...batch,
      firstIndex: nextIndex,
      count: batch.count - skipped,
      text: batch.text.slice(text.length - start.textLength),
    };
  }

  function recordDelivered(batch: TokenBatch): void {
    nextIndex += batch.count;
    text += batch.text;
    boundaries.push({index: nextIndex, textLength: text.length});
    if (boundaries.length > MAX_BOUNDARIES) boundaries.shift();
  }
}
