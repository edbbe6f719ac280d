/** In-memory stand-in for the platform's store, with faults that a test sets. */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Fault that the store shows until it is changed; `lost-answers` executes appends without answering them. */
export type StoreFault =
  'none' | 'refusing' | 'silent' | 'lost-answers' | 'expired';

/** A change to the records, for copies of an earlier time. */
interface Change {
  readonly atMs: number;
  readonly topic: string;
  /** Undefined when all records of the topic expired. */
  readonly record?: Buffer;
}

interface Topic {
  records: Buffer[];
  firstOffset: number;
  readonly waiting: Set<() => void>;
}

/** A running stand-in. */
export interface StoreStandin {
  readonly port: number;
  /** Calls received, in order, as `METHOD /path?query`. */
  readonly calls: string[];
  setFault(fault: StoreFault): void;
  /** Appends a record of a key; without a value the record deletes the key. */
  put(topic: string, key: string, value?: string): void;
  /** Expires all records of the log; the listing of the newest record of each key stays. */
  compact(topic: string): void;
  /** Continues from a copy of this age, in milliseconds, in the next era: later records are gone, and their offsets are given out again. */
  loseRecords(ageMs: number): void;
  /** Sets the text of the era's header; undefined for the true one, empty for none. */
  setEraText(text: string | undefined): void;
  listRecords(topic: string): readonly Buffer[];
  /** Counts the pending long polls of a topic. */
  countWaiting(topic: string): number;
  close(): void;
}

/** How long a call stays unanswered under the faults `silent` and `lost-answers`, in milliseconds. */
const SILENT_DELAY_MS = 60_000;

/** Starts the stand-in on the given loopback port, or on a free one. */
export async function startStoreStandin(port = 0): Promise<StoreStandin> {
  const topics = new Map<string, Topic>();
  const newest = new Map<string, Map<string, Buffer>>();
  const calls: string[] = [];
  let history: Change[] = [];
  let era = 0;
  let eraText: string | undefined;
  let fault: StoreFault = 'none';
  const server: Server = createServer((request, response) => {
    calls.push(`${request.method} ${request.url}`);
    void handle(request).then(answer => {
      if (answer === undefined) return;
      const stated = eraText ?? (era === 0 ? '' : String(era));
      response.writeHead(
        answer.status,
        stated === '' ? {} : {'Store-Era': stated},
      );
      response.end(answer.body);
    });
  });
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    calls,
    setFault: next => {
      fault = next;
    },
    put: writeKeyedRecord,
    compact: name => {
      history.push({atMs: performance.now(), topic: name});
      expireRecords(name);
    },
    loseRecords: restoreCopy,
    setEraText: text => {
      eraText = text;
    },
    listRecords: name => getTopic(name).records,
    countWaiting: name => getTopic(name).waiting.size,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };

  function restoreCopy(ageMs: number): void {
    const copiedAtMs = performance.now() - ageMs;
    history = history.filter(change => change.atMs <= copiedAtMs);
    era++;
    newest.clear();
    for (const topic of topics.values()) {
      topic.records = [];
      topic.firstOffset = 0;
    }
    for (const {topic, record} of history) {
      if (record === undefined) expireRecords(topic);
      else applyRecord(topic, record);
    }
    // Long polls of the earlier era end; their offsets may not exist any more.
    for (const topic of topics.values()) resumeWaiting(topic);
  }

  function expireRecords(name: string): void {
    const topic = getTopic(name);
    topic.firstOffset += topic.records.length;
    topic.records = [];
  }

  async function handle(
    request: IncomingMessage,
  ): Promise<{status: number; body: Buffer | string} | undefined> {
    const url = new URL(request.url ?? '/', 'http://store');
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (fault === 'refusing') return {status: 503, body: '{}'};
    if (fault === 'silent') return sleepSilently();
    const topic = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/log-append':
        return append(topic, url.searchParams.get('at'), Buffer.concat(chunks));
      case '/log-read':
        return read(topic, url.searchParams);
      case '/log-newest':
        return listNewest(topic);
      default:
        return {status: 404, body: '{}'};
    }
  }

  async function append(
    name: string,
    at: string | null,
    body: Buffer,
  ): Promise<{status: number; body: string} | undefined> {
    const topic = getTopic(name);
    const end = topic.firstOffset + topic.records.length;
    if (at !== null && Number(at) !== end) {
      return {status: 412, body: JSON.stringify({end})};
    }
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      addRecord(name, body.subarray(position + 4, position + 4 + length));
      position += 4 + length;
    }
    if (fault === 'lost-answers') return sleepSilently();
    return {status: 200, body: JSON.stringify({offset: end, end: end + 1})};
  }

  async function read(
    name: string,
    query: URLSearchParams,
  ): Promise<{status: number; body: Buffer | string}> {
    const topic = getTopic(name);
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    const end = () => topic.firstOffset + topic.records.length;
    if (from >= end() && waitMs > 0) await waitForRecord(topic, waitMs);
    const isGone = from < topic.firstOffset || from > end();
    if (isGone || fault === 'expired') {
      return {status: 410, body: JSON.stringify({first: topic.firstOffset})};
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(end()), 0);
    head.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
    const records = topic.records.slice(from - topic.firstOffset);
    const framed = records.flatMap(record => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    return {status: 200, body: Buffer.concat([head, ...framed])};
  }

  function listNewest(name: string): {status: number; body: string} {
    const topic = getTopic(name);
    const items = [...(newest.get(name) ?? new Map<string, Buffer>())].map(
      ([key, value]) => ({key, value: value.toString('base64'), offset: 0}),
    );
    const end = topic.firstOffset + topic.records.length;
    return {status: 200, body: JSON.stringify({items, hasMore: false, end})};
  }

  function writeKeyedRecord(topic: string, key: string, value?: string): void {
    const keyBytes = Buffer.from(key);
    const parts = [Buffer.from([keyBytes.length]), keyBytes];
    if (value !== undefined) parts.push(Buffer.from(value));
    addRecord(topic, Buffer.concat(parts));
  }

  function addRecord(name: string, content: Buffer): void {
    const record = Buffer.from(content);
    history.push({atMs: performance.now(), topic: name, record});
    applyRecord(name, record);
    resumeWaiting(getTopic(name));
  }

  function applyRecord(name: string, record: Buffer): void {
    getTopic(name).records.push(record);
    if (name.startsWith('keyed.')) updateNewest(name, record);
  }

  function updateNewest(name: string, record: Buffer): void {
    const keys = newest.get(name) ?? new Map<string, Buffer>();
    newest.set(name, keys);
    const keyEnd = 1 + record[0];
    const key = record.toString('utf8', 1, keyEnd);
    if (record.length === keyEnd) keys.delete(key);
    else keys.set(key, Buffer.from(record.subarray(keyEnd)));
  }

  function getTopic(name: string): Topic {
    const known = topics.get(name);
    if (known !== undefined) return known;
    const created = {
      records: [],
      firstOffset: 0,
      waiting: new Set<() => void>(),
    };
    topics.set(name, created);
    return created;
  }
}

function resumeWaiting(topic: Topic): void {
  for (const wake of topic.waiting) wake();
  topic.waiting.clear();
}

function waitForRecord(topic: Topic, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(resume, waitMs);
    topic.waiting.add(resume);
    function resume(): void {
      clearTimeout(timer);
      topic.waiting.delete(resume);
      resolve();
    }
  });
}

function sleepSilently(): Promise<undefined> {
  return new Promise(resolve => {
    setTimeout(() => resolve(undefined), SILENT_DELAY_MS).unref();
  });
}
