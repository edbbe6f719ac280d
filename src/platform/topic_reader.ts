/** Reads a topic of the store from an offset to its end. */
import {Err, Ok, type Result} from 'ts-results';
import type {StoreFailure} from '../gateway';
import type {StoreClient} from './store_client';

/** The records of a topic, all of one era. */
export interface TopicRecords {
  readonly records: readonly Buffer[];
  /** Offset that the next appended record gets. */
  readonly endOffset: number;
  readonly era: number;
}

/** Number of times that reading begins again after an offset has expired or was lost; a store that goes on so fails. */
const MAX_RESTARTS = 3;

/**
 * Reads all records from an offset on, or from the first one kept if that is later. When the store
 * has lost the offset or returns from an older copy meanwhile, reading begins again at the first
 * one kept, and what was read before is dropped, since its offsets are given out again.
 */
export async function readToEnd(
  client: Pick<StoreClient, 'read'>,
  topic: string,
  fromOffset: number,
): Promise<Result<TopicRecords, StoreFailure>> {
  let records: Buffer[] = [];
  let offset = fromOffset;
  let era: number | undefined;
  let restartCount = 0;
  for (;;) {
    const read = await client.read(topic, offset, 0, era);
    if (read.err) {
      const {firstOffset} = read.val;
      const canRestart =
        firstOffset !== undefined &&
        firstOffset !== offset &&
        restartCount < MAX_RESTARTS;
      if (!canRestart) return read;
      restartCount++;
      if (firstOffset < offset) records = [];
      offset = firstOffset;
      era = undefined;
      continue;
    }
    const {nextOffset, endOffset} = read.val;
    ({era} = read.val);
    records.push(...read.val.records);
    if (nextOffset >= endOffset) {
      return Ok({records, endOffset: nextOffset, era});
    }
    if (nextOffset === offset) return createStuckError();
    offset = nextOffset;
  }
}

function createStuckError(): Err<StoreFailure> {
  return Err({
    kind: 'malformed',
    mayHaveTakenEffect: false,
    message: 'the store states a later end but returns no record',
  });
}
