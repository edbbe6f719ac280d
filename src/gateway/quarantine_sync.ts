/** Keeps this node's quarantined prompt parts in step with the other nodes and the store. */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import {
  computeTrialIntervalMs,
  createPartQuarantine,
  type QuarantineEntry,
} from './part_quarantine';
import type {QuarantineMessage} from './peer_messages';
import {createQuarantineStore, WriteResult} from './quarantine_store';
import type {FleetStore} from './types';

/** The quarantined parts that all nodes share. */
export interface QuarantineSync {
  /** Loads the parts from the store after a restart, and regularly while this node is a reader. */
  start(): void;
  stop(): void;
  isActive(partId: string): boolean;
  countActive(): number;
  /** Adds a part; returns its version, or undefined when it is already active. With `isOwnReport`, this node tells the others and writes to the store. */
  add(partId: string, isOwnReport: boolean): number | undefined;
  /** Ends the quarantine of a part that this node has seen answered, if it is active. */
  release(partId: string): void;
  /** Returns the time until this node may ask for a trial of the part, in milliseconds. */
  getTrialWaitMs(partId: string): number;
  /** Asks for a trial of the part, which the store grants to one request of all nodes. */
  claimTrial(partId: string): Promise<boolean>;
  /** Merges the entries of another node; returns those of this node that are newer. */
  merge(entries: readonly QuarantineEntry[]): QuarantineEntry[];
  /** Lists the entries that fit into a message, latest change first. */
  list(): QuarantineEntry[];
  /** Writes all entries again that no other node writes, because the store lost its newest records. */
  rewrite(): void;
}

/** Options of the synchronization. */
export interface QuarantineSyncOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly store: Pick<FleetStore, 'loadQuarantine' | 'appendQuarantine'>;
  readonly getRandom: () => number;
  /** True when nothing can be in the store yet. */
  readonly isFirstStart: boolean;
  /** True while this node reads the store for the others or hears of no other node that does. */
  readonly isReader: () => boolean;
  readonly notify: (message: QuarantineMessage) => void;
  /** Called when another node or the store changes the state of a part. */
  readonly onChange: (entry: QuarantineEntry) => void;
}

/** Range of the delay after which a node writes a change that another node has decided but not written, in milliseconds. */
const WRITE_DELAY_MS = [1_000, 2_000] as const;
/** Interval at which a reader loads the parts, in milliseconds: a third of the shortest time in which nodes must know them. */
const LOAD_INTERVAL_MS = 1_000;
/** Delay after a failed call to the store, in milliseconds. */
const STORE_RETRY_MS = 1_000;
/** Time that a request waits for the grant of a trial, in milliseconds. */
const TRIAL_TIMEOUT_MS = 300;
/** Maximum number of entries in a message, about 100 bytes each. */
const MAX_LISTED_ENTRIES = 20;

/** Creates an empty set of parts. */
export function createQuarantineSync(
  options: QuarantineSyncOptions,
): QuarantineSync {
  const {clock, logger} = options;
  const quarantine = createPartQuarantine(clock);
  const records = createQuarantineStore({
    store: options.store,
    onLoaded: loaded => {
      for (const record of loaded) {
        mergeEntry({
          ...record,
          isActive: true,
          nextTrialInMs: computeTrialIntervalMs(record.trialCount),
          isStored: true,
        });
      }
    },
  });
  const writeTimers = new Map<string, Timer>();
  /** When this node last asked for a trial, by part, on the monotonic clock, in milliseconds. */
  const claimedAtMs = new Map<string, number>();
  let isStopped = false;
  return {
    start: () => void loadRecords(),
    stop: () => {
      isStopped = true;
      for (const timer of writeTimers.values()) timer.cancel();
    },
    isActive: quarantine.isActive,
    countActive: quarantine.countActive,
    add,
    release: partId => release(partId),
    getTrialWaitMs,
    claimTrial,
    merge,
    list,
    rewrite: () => {
      records.reset();
      for (const partId of quarantine.resetStored()) {
        scheduleWrite(partId, false);
      }
    },
  };

  async function loadRecords(): Promise<void> {
    let hasLoaded = options.isFirstStart;
    while (!isStopped) {
      if (!hasLoaded || options.isReader()) {
        hasLoaded = await records.load();
        for (const id of quarantine.listAbandoned()) release(id, 'abandoned');
      }
      await clock.sleep(LOAD_INTERVAL_MS);
    }
  }

  function add(partId: string, isOwnReport: boolean): number | undefined {
    const entry = quarantine.add(partId, isOwnReport);
    if (entry === undefined) return undefined;
    if (isOwnReport) notifyEntry(partId);
    scheduleWrite(partId, isOwnReport);
    return entry.version;
  }

  function release(partId: string, reason = 'answered'): void {
    const entry = quarantine.release(partId);
    if (entry === undefined) return;
    logger.log('info', `quarantine of a prompt part ended: it was ${reason}`, {
      partId,
      version: entry.version,
    });
    notifyEntry(partId);
    scheduleWrite(partId, true);
  }

  function getTrialWaitMs(partId: string): number {
    const lastMs = claimedAtMs.get(partId) ?? Number.NEGATIVE_INFINITY;
    const askAgainInMs = lastMs + STORE_RETRY_MS - clock.getMonotonicMs();
    const nextTrialInMs = quarantine.tryGet(partId)?.nextTrialInMs ?? 0;
    return Math.max(0, nextTrialInMs, askAgainInMs);
  }

  async function claimTrial(partId: string): Promise<boolean> {
    const known = quarantine.tryGet(partId);
    const planned = quarantine.tryPlanTrial(partId);
    if (known === undefined || planned === undefined) return true;
    claimedAtMs.set(partId, clock.getMonotonicMs());
    const result = await Promise.race([
      writeTrial(planned, known.version),
      clock.sleep(TRIAL_TIMEOUT_MS).then(() => 'timeout' as const),
    ]);
    logger.log('info', 'trial of a quarantined prompt part requested', {
      partId,
      trialCount: planned.trialCount,
      result,
    });
    return result === WriteResult.Written;
  }

  async function writeTrial(
    planned: QuarantineEntry,
    knownVersion: number,
  ): Promise<WriteResult> {
    const result = await records.write(planned, knownVersion);
    if (result !== WriteResult.Written) return result;
    quarantine.merge({...planned, isStored: true});
    notifyEntry(planned.partId);
    return result;
  }

  /** Writes a change to the store at once if this node has decided it, else only if no other node does. */
  function scheduleWrite(partId: string, isOwn: boolean): void {
    const [leastMs, mostMs] = WRITE_DELAY_MS;
    const delayMs = isOwn
      ? 0
      : leastMs + options.getRandom() * (mostMs - leastMs);
    writeTimers.get(partId)?.cancel();
    const timer = clock.schedule(delayMs, () => {
      writeTimers.delete(partId);
      void writeEntry(partId);
    });
    writeTimers.set(partId, timer);
  }

  async function writeEntry(partId: string): Promise<void> {
    const entry = quarantine.tryGet(partId);
    if (isStopped || entry === undefined || entry.isStored) return;
    const result = await records.write(entry);
    if (result === WriteResult.Failed) {
      logger.log('warn', 'quarantined prompt part could not be written', {
        partId,
        version: entry.version,
      });
      scheduleWrite(partId, false);
      return;
    }
    if (result === WriteResult.Superseded) return;
    quarantine.setStored(partId, entry.version);
    notifyEntry(partId);
  }

  function notifyEntry(partId: string): void {
    const entry = quarantine.tryGet(partId);
    if (entry === undefined || isStopped) return;
    options.notify({kind: 'quarantine', entries: [entry]});
  }

  /** Applies an entry that another node or the store has. */
  function mergeEntry(entry: QuarantineEntry): void {
    const {partId, version, isActive, trialCount, isStored} = entry;
    if (!quarantine.merge(entry)) return;
    logger.log('info', 'quarantine of a prompt part learned', {
      partId,
      version,
      isActive,
      trialCount,
    });
    if (!isStored) scheduleWrite(partId, false);
    options.onChange(entry);
  }

  function merge(entries: readonly QuarantineEntry[]): QuarantineEntry[] {
    for (const entry of entries) mergeEntry(entry);
    // A full list leaves out older entries that the sender has as well.
    if (entries.length >= MAX_LISTED_ENTRIES) return [];
    const versions = new Map(
      entries.map(({partId, version}) => [partId, version]),
    );
    return list().filter(({partId, version, isActive}) => {
      const otherVersion = versions.get(partId);
      return otherVersion === undefined ? isActive : version > otherVersion;
    });
  }

  function list(): QuarantineEntry[] {
    return quarantine.list().slice(0, MAX_LISTED_ENTRIES);
  }
}
