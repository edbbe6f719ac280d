/** HTTP client of the platform's store, a log of topics whose records are numbered by offset. */
import {Err, Ok, type Result} from 'ts-results';
import {Client} from 'undici';
import type {StoreFailure} from '../gateway';
import {createEraTracker} from './store_era';
import {
  type Fields,
  getList,
  tryGetFields,
  tryGetNumber,
  tryParseJson,
  tryGetString,
} from './wire_decode';

/** One record of a keyed topic, of which the store keeps the newest record of each key readable. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined when the record is a tombstone, which deletes its key. */
  readonly value?: string;
}

/** Records read from a topic. */
export interface RecordPage {
  readonly records: readonly Buffer[];
  /** Offset that the next appended record gets. */
  readonly endOffset: number;
  /** Offset from which the next read continues. */
  readonly nextOffset: number;
  /** Era to which the offsets belong. */
  readonly era: number;
}

/** The newest record of each key of a topic, collected over all pages of the listing. */
export interface NewestRecords {
  readonly records: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
  }>;
  /** End of the topic when the first page was read; later changes are read from this offset on. */
  readonly endOffset: number;
  /** Era to which the offset belongs. */
  readonly era: number;
}

/** Client of the store. Offsets of different eras must not be compared. */
export interface StoreClient {
  append(
    topic: string,
    records: readonly Buffer[],
    /** Makes the append conditional: it fails with `conflict` unless the topic ends at this offset. */
    expectedEndOffset?: number,
    /** Era to which the expected offset belongs: an append that the store executed in a later era fails with `conflict`. */
    offsetEra?: number,
  ): Promise<Result<number, StoreFailure>>;
  /** Reads records from an offset on; fails with `expired` when the offset belongs to an earlier era than the answer. */
  read(
    topic: string,
    fromOffset: number,
    waitMs: number,
    offsetEra?: number,
  ): Promise<Result<RecordPage, StoreFailure>>;
  listNewestRecords(
    topic: string,
  ): Promise<Result<NewestRecords, StoreFailure>>;
  /** Returns the highest era known; 0 when the store states none. Answers of lower eras are failures. */
  getEra(): number;
  /** Raises the highest known era to that of another node. */
  observeEra(era: number): void;
  close(): void;
}

/** Options of the client. */
export interface StoreClientOptions {
  readonly host: string;
  readonly port: number;
  /** Timeout of a call in milliseconds, not counting the `waitMs` of a long poll. */
  readonly timeoutMs?: number;
  /** Called when the era that the store states disappears, is no number, falls or rises by more than one. */
  readonly onEraAnomaly?: (description: string, knownEra: number) => void;
}

/** A successful answer, and its era. */
interface StoreAnswer {
  readonly body: Buffer;
  readonly era: number;
}

/** About a hundred times the store's usual response time, and well within the bound for applying a configuration. */
const DEFAULT_TIMEOUT_MS = 700;
const ERA_HEADER = 'store-era';
const MAX_KEY_BYTES = 255;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

/** Creates a client of the store. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const era = createEraTracker(description =>
    options.onEraAnomaly?.(description, era.get()),
  );
  const origin = `http://${options.host}:${options.port}`;
  // A long poll occupies its connection until it returns, so it uses a separate one (`waits`).
  const connections = {calls: openClient(), waits: openClient()};
  return {
    append,
    read,
    listNewestRecords,
    getEra: era.get,
    observeEra: era.observe,
    close: () => {
      void connections.calls.destroy();
      void connections.waits.destroy();
    },
  };

  function openClient(): Client {
    return new Client(origin, {
      connect: {timeout: timeoutMs},
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
  }

  async function append(
    topic: string,
    records: readonly Buffer[],
    expectedEndOffset?: number,
    offsetEra?: number,
  ): Promise<Result<number, StoreFailure>> {
    if (offsetEra !== undefined && offsetEra !== era.get()) {
      return createEraConflict(false);
    }
    const atParameter =
      expectedEndOffset === undefined ? '' : `&at=${expectedEndOffset}`;
    const answer = await callStore(
      'POST',
      `/log-append?topic=${topic}&part=0${atParameter}`,
      {body: Buffer.concat(records.map(encodeRecord)), hasEffect: true},
    );
    return answer.andThen(({body, era: answerEra}) => {
      if (offsetEra !== undefined && offsetEra !== answerEra) {
        return createEraConflict(true);
      }
      const offset = tryGetNumber(parseFields(body)['offset']);
      return offset === undefined ? createMalformedError('append') : Ok(offset);
    });
  }

  async function read(
    topic: string,
    fromOffset: number,
    waitMs: number,
    offsetEra?: number,
  ): Promise<Result<RecordPage, StoreFailure>> {
    const waitParameter = waitMs > 0 ? `&waitMs=${waitMs}` : '';
    const answer = await callStore(
      'GET',
      `/log-read?topic=${topic}&part=0&from=${fromOffset}${waitParameter}`,
      {waitMs},
    );
    return answer.andThen(({body, era: answerEra}) =>
      offsetEra !== undefined && offsetEra !== answerEra
        ? createExpiredOffset(fromOffset)
        : decodePage(body, fromOffset, answerEra),
    );
  }

  async function listNewestRecords(
    topic: string,
  ): Promise<Result<NewestRecords, StoreFailure>> {
    const records: Array<{key: string; value: string}> = [];
    let endOffset: number | undefined;
    let listEra: number | undefined;
    let lastKey: string | undefined;
    for (;;) {
      const afterParameter =
        lastKey === undefined ? '' : `&after=${encodeURIComponent(lastKey)}`;
      const answer = await callStore(
        'GET',
        `/log-newest?topic=${topic}&part=0${afterParameter}`,
        {},
      );
      if (answer.err) return answer;
      listEra ??= answer.val.era;
      // Pages of different eras do not make up a list.
      if (listEra !== answer.val.era) return createEraConflict(false);
      const fields = tryParseFields(answer.val.body);
      // A list that was cut short must not pass for an empty one.
      if (fields === undefined) return createMalformedError('list');
      // Records may change while the pages are listed, so the caller reads on from the end that the first page gave.
      endOffset ??= tryGetNumber(fields['end']) ?? 0;
      for (const item of getList(fields['items'])) {
        const key = tryGetString(tryGetFields(item)?.['key']);
        const value = tryGetString(tryGetFields(item)?.['value']);
        if (key === undefined || value === undefined) continue;
        records.push({
          key,
          value: Buffer.from(value, 'base64').toString('utf8'),
        });
        lastKey = key;
      }
      if (fields['hasMore'] !== true) {
        return Ok({records, endOffset, era: listEra});
      }
    }
  }

  async function callStore(
    method: 'GET' | 'POST',
    path: string,
    callOptions: {body?: Buffer; waitMs?: number; hasEffect?: boolean},
  ): Promise<Result<StoreAnswer, StoreFailure>> {
    const waitMs = callOptions.waitMs ?? 0;
    const connectionName = waitMs > 0 ? 'waits' : 'calls';
    const client = connections[connectionName];
    try {
      const response = await client.request({
        method,
        path,
        body: callOptions.body,
        signal: AbortSignal.timeout(timeoutMs + waitMs),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      const answerEra = era.record(response.headers[ERA_HEADER]);
      if (answerEra === undefined) {
        return createStaleError(callOptions.hasEffect === true);
      }
      if (response.statusCode === 200) return Ok({body, era: answerEra});
      return Err(mapStatus(response.statusCode, body));
    } catch (error) {
      // The connection may still deliver the lost response, so it is replaced.
      if (connections[connectionName] === client)
        connections[connectionName] = openClient();
      void client.destroy();
      return Err({
        kind: 'unavailable',
        mayHaveTakenEffect: callOptions.hasEffect === true,
        message: error instanceof Error ? error.message : String(error),
      });
    }
  }
}

/** Encodes a record of a keyed topic: one byte of key length, the key (at most 255 bytes), the value. An empty value deletes the key. */
export function encodeKeyedRecord(key: string, value: string): Buffer {
  const keyBytes = Buffer.from(key).subarray(0, MAX_KEY_BYTES);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
}

/** Decodes a record of a keyed topic; returns undefined when its key is empty or cut off. */
export function tryDecodeKeyedRecord(record: Buffer): KeyedRecord | undefined {
  const keyEnd = 1 + (record[0] ?? 0);
  if (record.length < keyEnd || keyEnd === 1) return undefined;
  const key = record.toString('utf8', 1, keyEnd);
  if (record.length === keyEnd) return {key};
  return {key, value: record.toString('utf8', keyEnd)};
}

/** Prefixes a record with its length, as the body of an append has it. */
function encodeRecord(content: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/**
 * Decodes the body of a read: the end offset, the first retained offset, then
 * the records, each after its length. A record that is cut off is left out.
 */
function decodePage(
  body: Buffer,
  fromOffset: number,
  era: number,
): Result<RecordPage, StoreFailure> {
  if (body.length < 2 * OFFSET_BYTES) return createMalformedError('read');
  const endOffset = Number(body.readBigUInt64BE(0));
  const records: Buffer[] = [];
  let position = 2 * OFFSET_BYTES;
  while (position + LENGTH_BYTES <= body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    if (end > body.length) break;
    records.push(body.subarray(start, end));
    position = end;
  }
  return Ok({
    records,
    endOffset,
    nextOffset: fromOffset + records.length,
    era,
  });
}

function mapStatus(status: number, body: Buffer): StoreFailure {
  const message = `status ${status}: ${body.toString('utf8', 0, 200)}`;
  switch (status) {
    case 410:
      return {
        kind: 'expired',
        mayHaveTakenEffect: false,
        message,
        firstOffset: tryGetNumber(parseFields(body)['first']) ?? 0,
      };
    case 409:
    case 412:
      return {kind: 'conflict', mayHaveTakenEffect: false, message};
    default:
      return {
        kind: 'unavailable',
        // With these statuses the store refused the call without executing it.
        mayHaveTakenEffect: status !== 429 && status !== 503 && status !== 507,
        message,
      };
  }
}

function parseFields(body: Buffer): Fields {
  return tryParseFields(body) ?? {};
}

function tryParseFields(body: Buffer): Fields | undefined {
  return tryGetFields(tryParseJson(body.toString('utf8')));
}

/** Creates the failure of a call whose offset belongs to another era than the answer. */
function createEraConflict(mayHaveTakenEffect: boolean): Err<StoreFailure> {
  return Err({
    kind: 'conflict',
    mayHaveTakenEffect,
    message: 'the store is in another era than the offset',
  });
}

/** Creates the failure of a read from an offset of an earlier era, whose number may stand for another record now. */
function createExpiredOffset(fromOffset: number): Err<StoreFailure> {
  return Err({
    kind: 'expired',
    mayHaveTakenEffect: false,
    message: `offset ${fromOffset} belongs to an earlier era`,
    firstOffset: 0,
  });
}

/** Creates the failure of a call whose answer has a lower era than the highest known one. */
function createStaleError(mayHaveTakenEffect: boolean): Err<StoreFailure> {
  return Err({
    kind: 'unavailable',
    mayHaveTakenEffect,
    message: 'stale answer: its era is lower than a known one',
  });
}

function createMalformedError(call: string): Err<StoreFailure> {
  return Err({
    kind: 'malformed',
    mayHaveTakenEffect: true,
    message: `malformed response to ${call}`,
  });
}
