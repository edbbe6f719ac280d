/** The task that reads one stream of the log and folds it. */
import {
  type LogService,
  type PlatformFailure,
  PlatformFailureKind,
} from '../control_services';
import type {Clock} from '../runtime';
import {createStreamFold} from './stream_fold';
import type {
  EntryListener,
  FoldSnapshot,
  StreamDefinition,
  StreamFollower,
} from './types';

/** Options of a follower. */
export interface StreamFollowerOptions<State, Entry> {
  readonly definition: StreamDefinition<State, Entry>;
  readonly log: LogService;
  readonly clock: Clock;
  /** How long one read may wait for a new record (long poll), in milliseconds. */
  readonly waitMs?: number;
  /** Maximum backoff after a failed read, before jitter, in milliseconds. */
  readonly maxBackoffMs?: number;
  /** Returns a random number from 0 to 1, the jitter of the retries; 0.5 when absent. */
  readonly getRandom?: () => number;
  /** Called when reads of the log begin to fail or succeed again. */
  readonly onHealthChange?: (isHealthy: boolean, message: string) => void;
}

const DEFAULT_WAIT_MS = 1_000;
const DEFAULT_MAX_BACKOFF_MS = 1_000;
const MIN_BACKOFF_MS = 25;
const MAX_PAGE_RECORDS = 1_000;

/** Creates a follower; it reads nothing before `start`. */
export function createStreamFollower<State, Entry>(
  options: StreamFollowerOptions<State, Entry>,
): StreamFollower<State, Entry> {
  const {definition, log, clock} = options;
  const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
  const maxBackoffMs = options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
  const getRandom = options.getRandom ?? (() => 0.5);
  const fold = createStreamFold(definition);
  const listeners = new Set<EntryListener<Entry>>();
  let currentRun = 0;
  let isRunning = false;
  let hasReachedEnd = false;
  let isHealthy = true;
  let lastAnswerAtMs = clock.getMonotonicMs();
  let backoffMs = MIN_BACKOFF_MS;
  return {
    stream: definition.stream,
    getState: fold.getState,
    getNextOffset: fold.getNextOffset,
    getCounts: fold.getCounts,
    getLogAnswerAgeMs: () => clock.getMonotonicMs() - lastAnswerAtMs,
    isCaughtUp: () => hasReachedEnd && fold.isComplete(),
    hasReachedEnd: () => hasReachedEnd,
    subscribe,
    exportSnapshot: fold.exportSnapshot,
    importSnapshot,
    start,
    stop,
  };

  function subscribe(listener: EntryListener<Entry>): () => void {
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  function importSnapshot(snapshot: FoldSnapshot): boolean {
    const isImported = fold.importSnapshot(snapshot);
    // A peer's snapshot at the same offset shows that this fold has reached the end as well.
    const isAtSameOffset =
      snapshot.stream === definition.stream &&
      snapshot.nextOffset === fold.getNextOffset();
    if (isImported || isAtSameOffset) hasReachedEnd = true;
    return isImported;
  }

  function start(): void {
    if (isRunning) return;
    isRunning = true;
    void followStream(++currentRun);
  }

  function stop(): void {
    isRunning = false;
  }

  async function followStream(run: number): Promise<void> {
    while (isRunning && currentRun === run) await readPage(run);
  }

  async function readPage(run: number): Promise<void> {
    const answer = await log.read(definition.stream, fold.getNextOffset(), {
      maxRecords: MAX_PAGE_RECORDS,
      // Until the end is reached the reads do not wait, so as not to delay the start.
      waitMs: hasReachedEnd ? waitMs : 0,
    });
    if (!isRunning || currentRun !== run) return;
    if (answer.err) {
      await handleFailure(answer.val);
      return;
    }
    updateHealth(true, '');
    for (const record of answer.val.records) {
      for (const {entry, outcome, context} of fold.applyRecord(record)) {
        for (const listener of listeners) listener(entry, outcome, context);
      }
    }
    if (fold.getNextOffset() >= answer.val.endOffset) hasReachedEnd = true;
  }

  async function handleFailure(failure: PlatformFailure): Promise<void> {
    const {firstOffset} = failure;
    const hasExpired = failure.kind === PlatformFailureKind.Expired;
    if (hasExpired && firstOffset !== undefined) {
      fold.advanceTo(firstOffset);
      updateHealth(true, '');
      return;
    }
    updateHealth(false, failure.message);
    await clock.sleep(backoffMs * (0.5 + getRandom()));
    backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
  }

  function updateHealth(isHealthyNow: boolean, message: string): void {
    if (isHealthyNow) {
      lastAnswerAtMs = clock.getMonotonicMs();
      backoffMs = MIN_BACKOFF_MS;
    }
    if (isHealthyNow === isHealthy) return;
    isHealthy = isHealthyNow;
    options.onHealthChange?.(isHealthyNow, message);
  }
}
