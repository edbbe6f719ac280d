/** Loads the records that this node lacks from the store, or from other nodes while the store does not respond. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {KnownRecords} from './known_records';
import type {Peers} from './peers';
import type {Snapshot} from './snapshot';
import type {StoreReader} from './store_reader';

/** Loads missing records, one load at a time. */
export interface CatchUpLoader {
  /** Loads the records that the reader with this name has and this node lacks. */
  loadMissing(readerName: string): Promise<void>;
  /** Loads the snapshot of any other node at start-up, if the store does not answer soon. */
  loadInitialState(): Promise<void>;
}

/** Options of the loader. */
export interface CatchUpLoaderOptions {
  readonly records: KnownRecords;
  readonly reader: StoreReader;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getRandom: () => number;
  /** True while this node is a reader, which polls the list of servers anyway. */
  readonly isReader: () => boolean;
  /** Fetches the snapshot of the named node, or of any node that responds; it omits a configuration not newer than `knownVersion`. */
  readonly fetchSnapshot: (
    knownVersion: number,
    nodeName?: string,
  ) => Promise<Snapshot | undefined>;
  /** Called when this node has caught up, with the age of the loaded state, in milliseconds. */
  readonly onLoaded: (ageMs: number) => void;
}

/** Time-out of a store read, after which other nodes are asked, in milliseconds: many times the store's usual response time. */
const STORE_TIMEOUT_MS = 250;
/** How long only other nodes are asked after a failed store read, in milliseconds: the length of a short outage. */
const STORE_RETRY_DELAY_MS = 2_000;
/** Delay after a failed round, in milliseconds. */
const FAILURE_PAUSE_MS = 200;
/** Minimum time between loads, in milliseconds: one load covers several configurations of a burst, and the time limit for applying one is 2 s. */
const MIN_LOAD_INTERVAL_MS = 800;
/** Maximum number of rounds for one state message; the next message starts over. */
const MAX_ROUNDS = 3;

/** Creates a loader. */
export function createCatchUpLoader(
  options: CatchUpLoaderOptions,
): CatchUpLoader {
  const {records, reader, peers, clock, logger} = options;
  let isLoading = false;
  let firstLoadAtMs: number | undefined;
  let lastStoreFailureMs = Number.NEGATIVE_INFINITY;
  let lastLoadMs = Number.NEGATIVE_INFINITY;
  return {loadMissing, loadInitialState};

  /** Asks the store first, which has the fastest link, then a node of the same failure domain, and the reader last. */
  async function loadMissing(readerName: string): Promise<void> {
    if (isLoading) return;
    isLoading = true;
    for (let round = 0; round < MAX_ROUNDS && isBehind(); round++) {
      await waitForInterval();
      const isNewestLoaded = records.getConfigOffset() < 0;
      if (!(await readStore())) {
        await loadFromNodes([tryChooseSameDomainNode(), readerName]);
        continue;
      }
      if (records.isConfigBehind()) {
        // The store lost the version that is in force, so that only nodes have it.
        if (isNewestLoaded) await loadFromNodes([readerName]);
        // All records were read and the version is still older: the next round loads the newest one by its key.
        else records.resetConfigOffset();
      } else if (!isBehind())
        options.onLoaded(clock.getMonotonicMs() - lastLoadMs);
    }
    isLoading = false;
  }

  async function waitForInterval(): Promise<void> {
    const waitMs = lastLoadMs + MIN_LOAD_INTERVAL_MS - clock.getMonotonicMs();
    if (waitMs > 0) await clock.sleep(waitMs);
  }

  async function loadInitialState(): Promise<void> {
    firstLoadAtMs ??= clock.getMonotonicMs();
    if (isLoading || isStoreExpected(firstLoadAtMs)) return;
    isLoading = true;
    await loadSnapshot();
    if (!records.isComplete()) await clock.sleep(FAILURE_PAUSE_MS);
    isLoading = false;
  }

  /** Returns whether the store may still answer the first reads: only then nodes that start need not ask other nodes. */
  function isStoreExpected(firstLoadAtMs: number): boolean {
    const isFailing = reader.getFailingSinceMs() !== undefined;
    return (
      !isFailing && clock.getMonotonicMs() - firstLoadAtMs < STORE_TIMEOUT_MS
    );
  }

  function isBehind(): boolean {
    return records.isConfigBehind() || isListBehind();
  }

  function isListBehind(): boolean {
    return !options.isReader() && records.isListBehind();
  }

  /** Returns false when the read failed or timed out, or was skipped because a recent one did. */
  async function readStore(): Promise<boolean> {
    const nowMs = clock.getMonotonicMs();
    if (nowMs - lastStoreFailureMs < STORE_RETRY_DELAY_MS) return false;
    const reads = Promise.all([
      records.isConfigBehind()
        ? reader.readConfig(records.getConfigOffset(), 0)
        : true,
      isListBehind() ? reader.readEntries(records.getEntryOffset()) : true,
    ]);
    const isRead = await Promise.race([
      reads.then(results => results.every(Boolean)),
      clock.sleep(STORE_TIMEOUT_MS).then(() => false),
    ]);
    if (isRead) lastLoadMs = nowMs;
    else lastStoreFailureMs = nowMs;
    logLoad('store', isRead, nowMs);
    return isRead;
  }

  function logLoad(source: string, isAnswered: boolean, sinceMs: number): void {
    logger.log('info', 'catch-up load finished', {
      source,
      isAnswered,
      elapsedMs: clock.getMonotonicMs() - sinceMs,
      configVersion: records.getConfigVersion(),
      entryOffset: records.getEntryOffset(),
    });
  }

  function tryChooseSameDomainNode(): string | undefined {
    const sameDomain = peers.listSameDomain();
    return sameDomain[Math.floor(options.getRandom() * sameDomain.length)]
      ?.name;
  }

  async function loadFromNodes(
    names: ReadonlyArray<string | undefined>,
  ): Promise<void> {
    for (const name of names) {
      if (name !== undefined && isBehind()) await loadSnapshot(name);
    }
    if (isBehind()) await clock.sleep(FAILURE_PAUSE_MS);
  }

  async function loadSnapshot(nodeName?: string): Promise<void> {
    const askedAtMs = clock.getMonotonicMs();
    const snapshot = await options.fetchSnapshot(
      records.getConfigVersion(),
      nodeName,
    );
    const isNewer = snapshot !== undefined && records.addSnapshot(snapshot);
    logLoad(nodeName ?? 'seeds', snapshot !== undefined, askedAtMs);
    if (snapshot === undefined) return;
    lastLoadMs = clock.getMonotonicMs();
    if (isNewer) options.onLoaded(snapshot.ageMs);
  }
}
