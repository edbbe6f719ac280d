/** Reads the configuration and the list of backend servers from the store, and detects outages of the store. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {
  ConfigPage,
  EntryChange,
  EntryPage,
  FleetStore,
  GatewayConfig,
  StoreFailure,
} from './types';

/** Reads from the store; each read returns false when the store call failed. */
export interface StoreReader {
  /** Reads the changes from an offset on, or the full list when the offset is negative or its records have expired. */
  readEntries(fromOffset: number): Promise<boolean>;
  /** Reads the newest configuration from an offset on, with the same fallback as `readEntries`; waits up to `waitMs` for one. */
  readConfig(fromOffset: number, waitMs: number): Promise<boolean>;
  /** Returns the time of the first failure since the last success, on the monotonic clock; undefined while calls succeed. A read of the configuration from an offset counts only when it fails. */
  getFailingSinceMs(): number | undefined;
}

/** Options of the reader. */
export interface StoreReaderOptions {
  readonly store: FleetStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the era of the offsets that are passed to the reads; undefined before the first read. */
  readonly getOffsetEra: () => number | undefined;
  /** Receives the newest configuration read, if there was one. */
  readonly onConfig: (
    config: GatewayConfig | undefined,
    nextOffset: number,
    isFullList: boolean,
    era: number,
  ) => void;
  /** Receives changes to the list, or the full list. */
  readonly onEntries: (
    changes: readonly EntryChange[],
    nextOffset: number,
    isFullList: boolean,
    era: number,
  ) => void;
  /** Receives a part of the full list while the rest of it is still being loaded. */
  readonly onPartialList: (
    changes: readonly EntryChange[],
    era: number,
  ) => void;
  /** Called on the first success after failures over `outageMs`, in milliseconds, if the last failure is recent. */
  readonly onOutageEnd: (outageMs: number) => void;
}

/** Maximum age of the last failure with which a success marks the end of an outage, in milliseconds: some polls of a reader. A node that reads rarely cannot tell when the outage ended. */
const RECENT_FAILURE_MS = 2_000;
/** Minimum time between two full loads of a topic because of expired offsets, in milliseconds: a store that answers each read so must not be asked without a pause. */
const MIN_RELOAD_INTERVAL_MS = 200;

/** Creates a reader. */
export function createStoreReader(options: StoreReaderOptions): StoreReader {
  const {store, clock, logger} = options;
  /** First and last failure since the last successful call. */
  let failureSpan: {readonly sinceMs: number; lastMs: number} | undefined;
  /** When the topics were last loaded because of an expired offset, on the monotonic clock, in milliseconds. */
  const reloadedAtMs = {
    config: Number.NEGATIVE_INFINITY,
    entries: Number.NEGATIVE_INFINITY,
  };
  return {
    readEntries,
    readConfig,
    getFailingSinceMs: () => failureSpan?.sinceMs,
  };

  async function readEntries(fromOffset: number): Promise<boolean> {
    if (fromOffset < 0) return loadEntries();
    const page = await store.readEntries(fromOffset, options.getOffsetEra());
    if (page.err) {
      if (page.val.kind !== 'expired') return recordFailure(page.val);
      logger.log(
        'info',
        'server records expired in the store; loading the full list',
        {
          offset: fromOffset,
        },
      );
      await waitForReload('entries');
      return loadEntries();
    }
    recordSuccess();
    handleEntries(page.val, false);
    return true;
  }

  async function loadEntries(): Promise<boolean> {
    const page = await store.loadEntries(part =>
      options.onPartialList(part.changes, part.era ?? 0),
    );
    if (page.err) return recordFailure(page.val);
    recordSuccess();
    handleEntries(page.val, true);
    return true;
  }

  function handleEntries(page: EntryPage, isFullList: boolean): void {
    const unusableIds = page.changes
      .filter(change => change.isUnusable)
      .map(change => change.id);
    if (unusableIds.length > 0) {
      logger.log('warn', 'entries of backend servers cannot be used', {
        offset: page.nextOffset,
        serverIds: unusableIds,
      });
    }
    options.onEntries(page.changes, page.nextOffset, isFullList, page.era ?? 0);
  }

  async function readConfig(
    fromOffset: number,
    waitMs: number,
  ): Promise<boolean> {
    if (fromOffset < 0) return loadConfig();
    const page = await store.waitForConfig(
      fromOffset,
      waitMs,
      options.getOffsetEra(),
    );
    if (page.err) {
      if (page.val.kind !== 'expired') return recordFailure(page.val);
      logger.log(
        'info',
        'configuration records expired in the store; loading the newest one',
        {offset: fromOffset},
      );
      await waitForReload('config');
      return loadConfig();
    }
    handleConfig(page.val, false);
    return true;
  }

  async function loadConfig(): Promise<boolean> {
    const page = await store.loadConfig();
    if (page.err) return recordFailure(page.val);
    recordSuccess();
    handleConfig(page.val, true);
    return true;
  }

  function handleConfig(page: ConfigPage, isFullList: boolean): void {
    const {config, nextOffset, era = 0} = page;
    options.onConfig(config, nextOffset, isFullList, era);
  }

  async function waitForReload(topic: 'config' | 'entries'): Promise<void> {
    const dueMs = reloadedAtMs[topic] + MIN_RELOAD_INTERVAL_MS;
    const waitMs = dueMs - clock.getMonotonicMs();
    if (waitMs > 0) await clock.sleep(waitMs);
    reloadedAtMs[topic] = clock.getMonotonicMs();
  }

  function recordSuccess(): void {
    if (failureSpan === undefined) return;
    const nowMs = clock.getMonotonicMs();
    const outageMs = nowMs - failureSpan.sinceMs;
    const sinceFailureMs = nowMs - failureSpan.lastMs;
    failureSpan = undefined;
    logger.log('info', 'store answers again', {outageMs, sinceFailureMs});
    if (sinceFailureMs <= RECENT_FAILURE_MS) options.onOutageEnd(outageMs);
  }

  function recordFailure(failure: StoreFailure): false {
    const nowMs = clock.getMonotonicMs();
    if (failureSpan === undefined) {
      logger.log('warn', 'store does not answer', {reason: failure.message});
      failureSpan = {sinceMs: nowMs, lastMs: nowMs};
    } else failureSpan.lastMs = nowMs;
    return false;
  }
}
