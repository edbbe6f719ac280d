/** Writes quarantined parts to the store by conditional appends, so that of several nodes only one makes each change. */
import type {QuarantineEntry, QuarantineRecord} from './part_quarantine';
import type {FleetStore} from './types';

/** Result of writing an entry. */
export const WriteResult = {
  Written: 'written',
  /** The store has a newer version. */
  Superseded: 'superseded',
  Failed: 'failed',
} as const;
export type WriteResult = (typeof WriteResult)[keyof typeof WriteResult];

/** Access to the stored parts. */
export interface QuarantineStore {
  /** Forgets what the store has, because it lost its newest records. */
  reset(): void;
  /** Loads all parts; returns whether the store answered. */
  load(): Promise<boolean>;
  /** Writes an entry, or deletes its part when the quarantine has ended, unless the store has a version above `baseVersion`. */
  write(entry: QuarantineEntry, baseVersion?: number): Promise<WriteResult>;
}

/** Options of the access. */
export interface QuarantineStoreOptions {
  readonly store: Pick<FleetStore, 'loadQuarantine' | 'appendQuarantine'>;
  /** Called with the stored parts after each load. */
  readonly onLoaded: (records: readonly QuarantineRecord[]) => void;
}

/** Maximum number of appends for one entry when other nodes change the log meanwhile. */
const MAX_TRIES = 3;

/** Creates the access; nothing is read before the first use. */
export function createQuarantineStore(
  options: QuarantineStoreOptions,
): QuarantineStore {
  const {store} = options;
  const versions = new Map<string, number>();
  /** Offset of the next append; undefined when it is not known. */
  let endOffset: number | undefined;
  let era: number | undefined;
  return {
    reset: () => {
      endOffset = undefined;
    },
    load,
    write,
  };

  async function load(): Promise<boolean> {
    const loaded = await store.loadQuarantine();
    if (loaded.err) return false;
    versions.clear();
    for (const {partId, version} of loaded.val.records) {
      versions.set(partId, version);
    }
    endOffset = loaded.val.endOffset;
    era = loaded.val.era;
    options.onLoaded(loaded.val.records);
    return true;
  }

  async function write(
    entry: QuarantineEntry,
    baseVersion = entry.version,
  ): Promise<WriteResult> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      if (endOffset === undefined && !(await load())) break;
      const storedVersion = versions.get(entry.partId);
      if (storedVersion !== undefined && storedVersion > baseVersion) {
        return WriteResult.Superseded;
      }
      if (entry.version === storedVersion) return WriteResult.Written;
      const appended = await store.appendQuarantine(entry, endOffset ?? 0, era);
      if (appended.ok) {
        endOffset = appended.val + 1;
        versions.set(entry.partId, entry.version);
        return WriteResult.Written;
      }
      endOffset = undefined;
      if (appended.val.kind !== 'conflict') break;
    }
    return WriteResult.Failed;
  }
}
