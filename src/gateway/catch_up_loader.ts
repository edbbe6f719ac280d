/** Loads what a node lacks: from the store, or from other nodes while the store does not answer it. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {KnownRecords} from './known_records';
import type {Peers} from './peers';
import type {Snapshot} from './snapshot';
import type {StoreReader} from './store_reader';

/** Loads what is missing, one load at a time. */
export interface CatchUpLoader {
  /** Loads what the node of this name is known to have and this node has not. */
  loadMissing(readerName: string): Promise<void>;
  /** Loads what any other node knows, at the start. */
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
  /** True while this node reads the list of servers anyway. */
  readonly isReading: () => boolean;
  /** Fetches what another node knows, or any that answers; a configuration no newer than `knownVersion` is left out. */
  readonly fetchSnapshot: (
    knownVersion: number,
    nodeName?: string,
  ) => Promise<Snapshot | undefined>;
  /** Called when this node has caught up, with the age of what it loaded, in milliseconds. */
  readonly onLoaded: (ageMs: number) => void;
}

/** How long the store is waited for before other nodes are asked, in milliseconds: many times its usual answer. */
const STORE_TIMEOUT_MS = 250;
/** How long other nodes are asked first after the store gave no answer, in milliseconds: a short outage. */
const STORE_RETRY_DELAY_MS = 2_000;
/** Pause after a failed round, in milliseconds. */
const FAILURE_PAUSE_MS = 200;
/** Shortest time between loads, in milliseconds: one load serves several configurations of a storm, and the bound for one is 2 s. */
const MIN_LOAD_INTERVAL_MS = 800;
/** Most rounds on one message; the next message begins anew. */
const MAX_ROUNDS = 3;

/** Creates a loader. */
export function createCatchUpLoader(
  options: CatchUpLoaderOptions,
): CatchUpLoader {
  const {records, reader, peers, clock, logger} = options;
  let isLoading = false;
  let lastStoreFailureMs = Number.NEGATIVE_INFINITY;
  let lastLoadMs = Number.NEGATIVE_INFINITY;
  return {loadMissing, loadInitialState};

  /** The store has the fastest link, so the node that reads for the others is asked last. */
  async function loadMissing(readerName: string): Promise<void> {
    if (isLoading) return;
    isLoading = true;
    for (let round = 0; round < MAX_ROUNDS && isBehind(); round++) {
      await waitForInterval();
      if (!(await readStore())) {
        await loadFromNodes([tryChooseSameDomainNode(), readerName]);
        continue;
      }
      // No record was left to read and the version is still older: the newest record is loaded.
      if (records.isConfigBehind()) records.resetConfigOffset();
      else if (!isBehind())
        options.onLoaded(clock.getMonotonicMs() - lastLoadMs);
    }
    isLoading = false;
  }

  async function waitForInterval(): Promise<void> {
    const waitMs = lastLoadMs + MIN_LOAD_INTERVAL_MS - clock.getMonotonicMs();
    if (waitMs > 0) await clock.sleep(waitMs);
  }

  async function loadInitialState(): Promise<void> {
    if (isLoading) return;
    isLoading = true;
    await loadSnapshot();
    if (records.getConfigVersion() === 0) await clock.sleep(FAILURE_PAUSE_MS);
    isLoading = false;
  }

  function isBehind(): boolean {
    return records.isConfigBehind() || isListBehind();
  }

  function isListBehind(): boolean {
    return !options.isReading() && records.isListBehind();
  }

  /** Returns false when the store did not answer soon or lately. */
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
    logger.log('info', 'loaded what was missing', {
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
