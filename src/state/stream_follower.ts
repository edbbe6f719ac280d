/** The task that reads one stream of the log and folds it. */
import {type LogService, PlatformFailureKind} from '../platform';
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
  /** How long one read waits for a new record, in milliseconds. */
  readonly waitMs?: number;
  /** Longest pause after a failed read, in milliseconds. */
  readonly maxBackoffMs?: number;
  /** Called when the log's answers stop or come back. */
  readonly onHealthChange?: (isHealthy: boolean, message: string) => void;
}

const DEFAULT_WAIT_MS = 1_000;
const DEFAULT_MAX_BACKOFF_MS = 1_000;
const MIN_BACKOFF_MS = 25;
const PAGE_RECORDS = 1_000;

/** Creates a follower; it reads nothing before `start`. */
export function createStreamFollower<State, Entry>(
  options: StreamFollowerOptions<State, Entry>,
): StreamFollower<State, Entry> {
  const {definition, log, clock} = options;
  const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
  const maxBackoffMs = options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS;
  const fold = createStreamFold(definition);
  const listeners = new Set<EntryListener<Entry>>();
  let isRunning = false;
  let isCaughtUp = false;
  let isHealthy = true;
  let lastAnswerAtMs = clock.getMonotonicMs();
  let backoffMs = MIN_BACKOFF_MS;
  return {
    stream: definition.stream,
    getState: fold.getState,
    getNextOffset: fold.getNextOffset,
    getCounts: fold.getCounts,
    getSilenceMs: () => clock.getMonotonicMs() - lastAnswerAtMs,
    isCaughtUp: () => isCaughtUp,
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
    const isTaken = fold.importSnapshot(snapshot);
    if (isTaken) isCaughtUp = true;
    return isTaken;
  }

  function start(): void {
    if (isRunning) return;
    isRunning = true;
    void followStream();
  }

  function stop(): void {
    isRunning = false;
  }

  async function followStream(): Promise<void> {
    while (isRunning) await readPage();
  }

  async function readPage(): Promise<void> {
    const answer = await log.read(definition.stream, fold.getNextOffset(), {
      maxRecords: PAGE_RECORDS,
      waitMs,
    });
    if (!isRunning) return;
    if (answer.err) {
      if (answer.val.kind === PlatformFailureKind.Expired) {
        fold.advanceTo(answer.val.firstOffset ?? fold.getNextOffset());
        updateHealth(true, '');
        return;
      }
      updateHealth(false, answer.val.message);
      await clock.sleep(backoffMs);
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
      return;
    }
    updateHealth(true, '');
    for (const record of answer.val.records) {
      for (const {entry, outcome, context} of fold.applyRecord(record)) {
        for (const listener of listeners) listener(entry, outcome, context);
      }
    }
    if (fold.getNextOffset() >= answer.val.endOffset) isCaughtUp = true;
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
