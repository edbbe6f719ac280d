/**
 * Records of usage reports in the store. A record is written before its report
 * is sent, so that whoever reports the window later repeats exactly that record.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {StoreFailure} from '../gateway/types';
import {expireWindows} from './expire_windows';
import type {UsageRecord, UsageStore} from './types';

/** The records, as this node knows them. */
export interface UsageLedger {
  /** Writes a record unless the store has one of the same window; returns the one that it has. */
  writeOnce(record: UsageRecord): Promise<Result<UsageRecord, StoreFailure>>;
  /** Reads the records that this node does not know and returns all known ones; reads nothing when it knows the end of the topic. */
  load(): Promise<Result<readonly UsageRecord[], StoreFailure>>;
  tryFind(windowId: number): UsageRecord | undefined;
  /** Records the end of the topic as another node states it. No window that is still to be reported may have a record before this end. */
  recordEnd(endOffset: number): void;
  /** Returns the end of the topic; undefined when it is not known. */
  tryGetEnd(): number | undefined;
  /** Called after the store lost its newest records: offsets are read again, and known records that are missing are written again with the next one. */
  handleStoreLoss(): void;
  /** Forgets the records of windows before the given one. */
  expire(firstKept: number): void;
}

/** Maximum number of appends for one record when other nodes write meanwhile. */
const MAX_TRIES = 3;

/** Creates a ledger that knows no records. */
export function createUsageLedger(store: UsageStore): UsageLedger {
  const known = new Map<number, UsageRecord>();
  /** Known records that the store may have lost. */
  let unproven = new Map<number, UsageRecord>();
  /** Offset up to which the topic has been read. */
  let readTo = 0;
  /** End of the topic; undefined when it is not known. */
  let endOffset: number | undefined;
  return {
    writeOnce,
    load,
    tryFind: windowId => known.get(windowId),
    recordEnd: end => {
      if (end < readTo) return;
      readTo = end;
      endOffset = end;
    },
    tryGetEnd: () => endOffset,
    handleStoreLoss,
    expire: firstKept => expireWindows(known, firstKept),
  };

  async function load(): Promise<Result<readonly UsageRecord[], StoreFailure>> {
    if (endOffset === undefined) {
      const page = await store.readUsage(readTo);
      if (page.err) return page;
      for (const record of page.val.records) {
        unproven.delete(record.windowId);
        // The first record of a window counts, should there be a second one.
        if (!known.has(record.windowId)) known.set(record.windowId, record);
      }
      endOffset = page.val.endOffset;
      readTo = endOffset;
    }
    return Ok([...known.values()]);
  }

  async function writeOnce(
    record: UsageRecord,
  ): Promise<Result<UsageRecord, StoreFailure>> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const loaded = await load();
      if (loaded.err) return loaded;
      const stored = known.get(record.windowId);
      const isMissing = stored === undefined;
      const records = [...unproven.values(), ...(isMissing ? [record] : [])];
      if (records.length === 0) return Ok(stored ?? record);
      const end = endOffset ?? 0;
      const appended = await store.appendUsage(records, end);
      if (appended.ok) {
        endOffset = appended.val;
        readTo = endOffset;
        unproven = new Map();
        if (isMissing) known.set(record.windowId, record);
        return Ok(stored ?? record);
      }
      // After a conflict or a lost answer the store has records that this node does not know.
      endOffset = undefined;
      if (appended.val.kind !== 'conflict') return appended;
    }
    return Err({
      kind: 'conflict',
      mayHaveTakenEffect: false,
      message: 'other nodes write usage records too',
    });
  }

  function handleStoreLoss(): void {
    endOffset = undefined;
    readTo = 0;
    unproven = new Map(known);
  }
}
