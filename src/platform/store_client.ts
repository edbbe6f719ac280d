/** Calls of the platform's store: a log of topics with numbered records. */
import {Err, Ok, type Result} from 'ts-results';
import {Client} from 'undici';
import type {StoreFailure} from '../gateway';
import {
  type Fields,
  getList,
  tryGetFields,
  tryGetNumber,
  tryParseJson,
  tryGetString,
} from './wire_decode';

/** One record of a keyed topic. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined when the record drops its key. */
  readonly value?: string;
}

/** Records read from a topic. */
export interface RecordPage {
  readonly records: readonly Buffer[];
  /** Offset that the next record gets. */
  readonly endOffset: number;
  /** Offset to read on from. */
  readonly nextOffset: number;
}

/** The newest record of each key of a topic. */
export interface NewestRecords {
  readonly records: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
  }>;
  /** End of the topic before the first page was read. */
  readonly endOffset: number;
}

/** Client of the store. */
export interface StoreClient {
  append(
    topic: string,
    records: readonly Buffer[],
    /** The append fails with `conflict` unless the topic ends here. */
    expectedEndOffset?: number,
  ): Promise<Result<number, StoreFailure>>;
  read(
    topic: string,
    fromOffset: number,
    waitMs: number,
  ): Promise<Result<RecordPage, StoreFailure>>;
  listNewestRecords(
    topic: string,
  ): Promise<Result<NewestRecords, StoreFailure>>;
  close(): void;
}

/** Options of the client. */
export interface StoreClientOptions {
  readonly host: string;
  readonly port: number;
  /** Longest wait for an answer beyond the wait asked for, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Some hundred times the store's usual answer, and well within the bound for configurations. */
const DEFAULT_TIMEOUT_MS = 700;
const MAX_KEY_BYTES = 255;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

/** Creates a client of the store. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const origin = `http://${options.host}:${options.port}`;
  // A waiting read holds its connection, so it has one of its own.
  const connections = {calls: openClient(), waits: openClient()};
  return {
    append,
    read,
    listNewestRecords,
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
  ): Promise<Result<number, StoreFailure>> {
    const atParameter =
      expectedEndOffset === undefined ? '' : `&at=${expectedEndOffset}`;
    const answer = await callStore(
      'POST',
      `/log-append?topic=${topic}&part=0${atParameter}`,
      {body: Buffer.concat(records.map(encodeRecord)), hasEffect: true},
    );
    return answer.andThen(body => {
      const offset = tryGetNumber(parseFields(body)['offset']);
      return offset === undefined ? createMalformedError('append') : Ok(offset);
    });
  }

  async function read(
    topic: string,
    fromOffset: number,
    waitMs: number,
  ): Promise<Result<RecordPage, StoreFailure>> {
    const waitParameter = waitMs > 0 ? `&waitMs=${waitMs}` : '';
    const answer = await callStore(
      'GET',
      `/log-read?topic=${topic}&part=0&from=${fromOffset}${waitParameter}`,
      {waitMs},
    );
    return answer.andThen(body => decodePage(body, fromOffset));
  }

  async function listNewestRecords(
    topic: string,
  ): Promise<Result<NewestRecords, StoreFailure>> {
    const records: Array<{key: string; value: string}> = [];
    let endOffset: number | undefined;
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
      const fields = parseFields(answer.val);
      // Pages are read one after another; what changes meanwhile is read again from the first end.
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
      if (fields['hasMore'] !== true) return Ok({records, endOffset});
    }
  }

  async function callStore(
    method: 'GET' | 'POST',
    path: string,
    callOptions: {body?: Buffer; waitMs?: number; hasEffect?: boolean},
  ): Promise<Result<Buffer, StoreFailure>> {
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
      if (response.statusCode === 200) return Ok(body);
      return Err(mapStatus(response.statusCode, body));
    } catch (error) {
      // A connection on which an answer was lost carries nothing more.
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

/** Encodes the content of a record of a keyed topic. */
export function encodeKeyedRecord(key: string, value: string): Buffer {
  const keyBytes = Buffer.from(key).subarray(0, MAX_KEY_BYTES);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
}

/** Decodes the content of a record of a keyed topic. */
export function tryDecodeKeyedRecord(record: Buffer): KeyedRecord | undefined {
  const keyEnd = 1 + (record[0] ?? 0);
  if (record.length < keyEnd || keyEnd === 1) return undefined;
  const key = record.toString('utf8', 1, keyEnd);
  if (record.length === keyEnd) return {key};
  return {key, value: record.toString('utf8', keyEnd)};
}

function encodeRecord(content: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/** The body begins with the end and the first retained offset, then come the records. */
function decodePage(
  body: Buffer,
  fromOffset: number,
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
  return Ok({records, endOffset, nextOffset: fromOffset + records.length});
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
        mayHaveTakenEffect: status !== 429 && status !== 503 && status !== 507,
        message,
      };
  }
}

function parseFields(body: Buffer): Fields {
  return tryGetFields(tryParseJson(body.toString('utf8'))) ?? {};
}

function createMalformedError(call: string): Err<StoreFailure> {
  return Err({
    kind: 'malformed',
    mayHaveTakenEffect: true,
    message: `malformed answer to ${call}`,
  });
}
