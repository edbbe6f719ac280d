/** Maps the records of usage reports to a topic of the platform's store. */
import type {Result} from 'ts-results';
import type {UsagePage, UsageRecord, UsageStore} from '../gateway';
import type {StoreFailure} from '../gateway';
import type {StoreClient} from './store_client';
import {readToEnd} from './topic_reader';
import {tryGetFields, tryGetWhole, tryParseJson} from './wire_decode';

const USAGE_TOPIC = 'usage';

/** Creates the store of usage records. */
export function createUsageStore(
  client: Pick<StoreClient, 'read' | 'append'>,
): UsageStore {
  return {readUsage, appendUsage};

  async function readUsage(
    fromOffset: number,
  ): Promise<Result<UsagePage, StoreFailure>> {
    const read = await readToEnd(client, USAGE_TOPIC, fromOffset);
    return read.map(({records, endOffset}) => ({
      records: records.flatMap(record => tryParseRecord(record) ?? []),
      endOffset,
    }));
  }

  async function appendUsage(
    records: readonly UsageRecord[],
    expectedEndOffset: number,
  ): Promise<Result<number, StoreFailure>> {
    const appended = await client.append(
      USAGE_TOPIC,
      records.map(record => Buffer.from(JSON.stringify(record))),
      expectedEndOffset,
    );
    return appended.map(offset => offset + records.length);
  }
}

function tryParseRecord(record: Buffer): UsageRecord | undefined {
  const fields = tryGetFields(tryParseJson(record.toString('utf8')));
  const counts = tryGetFields(fields?.['counts']);
  const windowId = tryGetWhole(fields?.['windowId'], 0);
  const fencingNumber = tryGetWhole(fields?.['fencingNumber'], 0);
  if (windowId === undefined || fencingNumber === undefined) return undefined;
  if (counts === undefined) return undefined;
  const isValid = Object.values(counts).every(
    count => tryGetWhole(count, 0) !== undefined,
  );
  if (!isValid) return undefined;
  return {
    windowId,
    fencingNumber,
    counts: counts as Readonly<Record<string, number>>,
  };
}
