/** HTTP client of the platform's store, a log of topics whose records are numbered by offset. */
import {Err, Ok, type Result} from 'ts-results';
import type {StoreFailure} from '../gateway';
import {createStoreConnection} from './store_connection';
import {createEraTracker} from './store_era';
import {
  createEraConflict,
  createExpiredOffset,
  createMalformedError,
  createStaleError,
  mapStatus,
  parseFields,
  tryParseFields,
} from './store_failures';
import {decodePage, encodeRecord, type RecordPage} from './store_records';
import {getList, tryGetFields, tryGetNumber, tryGetString} from './wire_decode';

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
  /** Lists the newest record of each key; `onPage` is called after each page but the last, with all records up to there. */
  listNewestRecords(
    topic: string,
    onPage?: (page: NewestRecords) => void,
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
  /** Time without progress after which a call fails, in milliseconds, not counting the `waitMs` of a long poll. */
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

/** Creates a client of the store. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const era = createEraTracker(description =>
    options.onEraAnomaly?.(description, era.get()),
  );
  const origin = `http://${options.host}:${options.port}`;
  // A long poll occupies its connection until it returns, so it uses a separate one (`waits`).
  const connections = {
    calls: createStoreConnection(origin, timeoutMs),
    waits: createStoreConnection(origin, timeoutMs),
  };
  return {
    append,
    read,
    listNewestRecords,
    getEra: era.get,
    observeEra: era.observe,
    close: () => {
      connections.calls.close();
      connections.waits.close();
    },
  };

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
    onPage?: (page: NewestRecords) => void,
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
      onPage?.({records, endOffset, era: listEra});
    }
  }

  async function callStore(
    method: 'GET' | 'POST',
    path: string,
    callOptions: {body?: Buffer; waitMs?: number; hasEffect?: boolean},
  ): Promise<Result<StoreAnswer, StoreFailure>> {
    const waitMs = callOptions.waitMs ?? 0;
    const connection = waitMs > 0 ? connections.waits : connections.calls;
    try {
      const response = await connection.send({
        method,
        path,
        body: callOptions.body,
        waitMs,
      });
      const answerEra = era.record(response.headers[ERA_HEADER]);
      if (answerEra === undefined) {
        return createStaleError(callOptions.hasEffect === true);
      }
      const {status, body} = response;
      if (status === 200) return Ok({body, era: answerEra});
      return Err(mapStatus(status, body));
    } catch (error) {
      return Err({
        kind: 'unavailable',
        mayHaveTakenEffect: callOptions.hasEffect === true,
        message: error instanceof Error ? error.message : String(error),
      });
    }
  }
}
