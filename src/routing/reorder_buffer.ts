/** Lets each token of an answer through once and in order, whatever order batches come in. */
import type {TokenBatch} from '../backends';

/** What the gate has held back. */
export interface ReorderCounts {
  /** Batches of tokens that were delivered already. */
  duplicates: number;
  /** Batches that came before their turn. */
  early: number;
  /** Batches that could be neither delivered nor kept. */
  dropped: number;
}

/** The gate of one answer. */
export interface ReorderBuffer {
  /** Returns the batches that are due now, with what was delivered already cut off. */
  takeReady(batch: TokenBatch): readonly TokenBatch[];
  /** Forgets batches that came early: another attempt begins. */
  startAttempt(): void;
  /** Returns the index of the next token to deliver. */
  getNextIndex(): number;
  /** Returns the text delivered so far. */
  getText(): string;
  getCounts(): Readonly<ReorderCounts>;
}

/** Most batches kept that came early. */
const MAX_EARLY_BATCHES = 64;
/** Batch ends remembered, to cut a batch that overlaps them. */
const MAX_BOUNDARIES = 32;

/** End of a delivered batch. */
interface Boundary {
  readonly index: number;
  readonly textLength: number;
}

const NO_BATCHES: readonly TokenBatch[] = [];

/** Creates the gate of an answer of which `firstIndex` tokens were delivered before. */
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

  /** Takes early batches whose turn has come; any overlap is cut like a new one's. */
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

  /** Returns the part of a batch from the next token on. */
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
