/** Writes entries to a stream in batches and reports the outcome of each in the fold. */
import {Err, Ok, type Result} from 'ts-results';
import {
  type LogService,
  type PlatformFailure,
  PlatformFailureKind,
} from '../control_services';
import type {Clock, Timer} from '../runtime';
import {encodeEnvelope} from './codec';
import {
  ENVELOPE_VERSION,
  type EntryContext,
  type EntryOutcome,
  type StreamFollower,
  type StreamWriter,
} from './types';

/** Options of a writer. */
export interface StreamWriterOptions<State, Entry> {
  readonly follower: StreamFollower<State, Entry>;
  readonly log: LogService;
  readonly clock: Clock;
  /** Identifies this process; no other process, later ones included, may use it. */
  readonly writer: string;
  /** How long the first entry of a batch waits for further entries, in milliseconds. */
  readonly batchDelayMs?: number;
  /** Returns the minimum interval between appends, in milliseconds; 0 when absent. */
  readonly getAppendIntervalMs?: () => number;
  readonly maxBatchEntries?: number;
  /** Maximum bytes of entries in one record; a larger entry gets a record of its own. */
  readonly maxBatchBytes?: number;
  readonly maxBackoffMs?: number;
  /** Returns a random number from 0 to 1, the jitter of the retries; 0.5 when absent. */
  readonly getRandom?: () => number;
}

const DEFAULT_BATCH_DELAY_MS = 2;
const DEFAULT_MAX_BATCH_ENTRIES = 256;
const DEFAULT_MAX_BATCH_BYTES = 256 * 1_024;
const DEFAULT_MAX_BACKOFF_MS = 500;
const MIN_BACKOFF_MS = 10;

interface PendingEntry<Entry> {
  readonly entry: Entry;
  readonly sizeBytes: number;
  resolve(result: Result<EntryOutcome, PlatformFailure>): void;
  timer: Timer | undefined;
  batch: Batch<Entry> | undefined;
  isSettled: boolean;
}

interface Batch<Entry> {
  readonly sequence: number;
  readonly entries: ReadonlyArray<PendingEntry<Entry>>;
  readonly body: string;
}

/**
 * Creates a writer. One append is in flight at a time, so that sequence numbers reach the log in
 * order. A batch whose entries have all timed out is abandoned: if it reaches the log after a later
 * batch, the fold ignores it because of its lower sequence number.
 */
export function createStreamWriter<State, Entry>(
  options: StreamWriterOptions<State, Entry>,
): StreamWriter<Entry> {
  const {follower, log, clock, writer} = options;
  const batchDelayMs = options.batchDelayMs ?? DEFAULT_BATCH_DELAY_MS;
  const getAppendIntervalMs = options.getAppendIntervalMs ?? (() => 0);
  const maxBatchEntries = options.maxBatchEntries ?? DEFAULT_MAX_BATCH_ENTRIES;
  const maxBatchBytes = options.maxBatchBytes ?? DEFAULT_MAX_BATCH_BYTES;
  const maxBackoffMs = options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
  const getRandom = options.getRandom ?? (() => 0.5);
  let queue: Array<PendingEntry<Entry>> = [];
  const unconfirmed = new Map<number, Batch<Entry>>();
  let nextSequence = 1;
  let appendCount = 0;
  let nextAppendAtMs = 0;
  let isSending = false;
  let isStopped = false;
  const unsubscribe = follower.subscribe(onEntryApplied);
  return {writer, write, getAppendCount: () => appendCount, stop};

  function write(
    entry: Entry,
    timeoutMs: number,
  ): Promise<Result<EntryOutcome, PlatformFailure>> {
    if (isStopped) return Promise.resolve(Err(createStoppedFailure(false)));
    return new Promise(resolve => {
      const pending: PendingEntry<Entry> = {
        entry,
        sizeBytes: JSON.stringify(entry).length,
        resolve,
        timer: undefined,
        batch: undefined,
        isSettled: false,
      };
      pending.timer = clock.schedule(timeoutMs, () => expireEntry(pending));
      queue.push(pending);
      void sendBatches();
    });
  }

  function stop(): void {
    isStopped = true;
    unsubscribe();
    for (const pending of queue)
      settleEntry(pending, Err(createStoppedFailure(false)));
    queue = [];
    for (const batch of [...unconfirmed.values()]) {
      failBatch(batch, createStoppedFailure(true));
    }
  }

  function expireEntry(pending: PendingEntry<Entry>): void {
    const {batch} = pending;
    if (batch === undefined) queue.splice(queue.indexOf(pending), 1);
    settleEntry(pending, Err(createTimeoutFailure(batch !== undefined)));
    if (batch?.entries.every(item => item.isSettled)) {
      unconfirmed.delete(batch.sequence);
    }
  }

  async function sendBatches(): Promise<void> {
    if (isSending) return;
    isSending = true;
    await clock.sleep(batchDelayMs);
    while (queue.length > 0 && !isStopped) {
      await clock.sleep(Math.max(0, nextAppendAtMs - clock.getMonotonicMs()));
      if (queue.length === 0 || isStopped) break;
      nextAppendAtMs = clock.getMonotonicMs() + getAppendIntervalMs();
      await sendBatch(takeBatch());
    }
    isSending = false;
  }

  function takeBatch(): Batch<Entry> {
    const entries = queue.splice(0, countBatchEntries());
    const sequence = nextSequence++;
    const body = encodeEnvelope({
      version: ENVELOPE_VERSION,
      writer,
      sequence,
      entries: entries.map(pending => pending.entry),
    });
    const batch = {sequence, entries, body};
    for (const pending of entries) pending.batch = batch;
    unconfirmed.set(sequence, batch);
    return batch;
  }

  /** Counts the queued entries that fit into one record; the first one always does. */
  function countBatchEntries(): number {
    let count = 0;
    let sizeBytes = 0;
    for (const pending of queue.slice(0, maxBatchEntries)) {
      sizeBytes += pending.sizeBytes;
      if (count > 0 && sizeBytes > maxBatchBytes) break;
      count++;
    }
    return count;
  }

  /** Repeats the append until the log accepts or rejects it, or the batch is no longer pending. */
  async function sendBatch(batch: Batch<Entry>): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!isStopped && unconfirmed.has(batch.sequence)) {
      appendCount++;
      const answer = await log.append(follower.stream, batch.body);
      if (answer.ok) return;
      if (answer.val.kind === PlatformFailureKind.Rejected) {
        failBatch(batch, answer.val);
        return;
      }
      await clock.sleep(backoffMs * (0.5 + getRandom()));
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }
  }

  function failBatch(batch: Batch<Entry>, failure: PlatformFailure): void {
    unconfirmed.delete(batch.sequence);
    for (const pending of batch.entries) settleEntry(pending, Err(failure));
  }

  function onEntryApplied(
    _entry: Entry,
    outcome: EntryOutcome,
    context: EntryContext,
  ): void {
    if (context.writer !== writer) return;
    const batch = unconfirmed.get(context.sequence);
    if (batch === undefined) return;
    settleEntry(batch.entries[context.index], Ok(outcome));
    const isLast = context.index === batch.entries.length - 1;
    if (isLast) unconfirmed.delete(batch.sequence);
  }

  function settleEntry(
    pending: PendingEntry<Entry>,
    result: Result<EntryOutcome, PlatformFailure>,
  ): void {
    if (pending.isSettled) return;
    pending.isSettled = true;
    pending.timer?.cancel();
    pending.resolve(result);
  }
}

function createTimeoutFailure(mayHaveTakenEffect: boolean): PlatformFailure {
  return {
    kind: PlatformFailureKind.Timeout,
    mayHaveTakenEffect,
    message: 'the log did not confirm the entry in time',
  };
}

function createStoppedFailure(mayHaveTakenEffect: boolean): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    mayHaveTakenEffect,
    message: 'the writer has stopped',
  };
}
