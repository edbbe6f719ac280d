/**
 * Stand-in for the platform's store: a log of topics, each with one partition.
 * Answers are linearizable; nothing is ever lost.
 */
import {createServer} from 'node:http';

const MAX_PAGE_RECORDS = 500;

/** Starts the store on a free loopback port. */
export async function startStore() {
  const topics = new Map();
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      handle(request.method, url, Buffer.concat(chunks), answer => {
        response.writeHead(answer.status, {
          'Content-Length': Buffer.byteLength(answer.body),
        });
        response.end(answer.body);
      });
    });
    request.on('error', () => undefined);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: server.address().port,
    /** Writes the newest record of a key, as the operator and the servers do; without a value the key is dropped. */
    put: (topic, key, value) => {
      const keyBytes = Buffer.from(key);
      append(
        topic,
        Buffer.concat([
          Buffer.from([keyBytes.length]),
          keyBytes,
          Buffer.from(value ?? ''),
        ]),
      );
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };

  function handle(method, url, body, send) {
    const name = url.searchParams.get('topic') ?? '';
    switch (`${method} ${url.pathname}`) {
      case 'POST /log-append':
        return send(handleAppend(name, url.searchParams.get('at'), body));
      case 'GET /log-read':
        return handleRead(name, url.searchParams, send);
      case 'GET /log-newest':
        return send(listNewest(name, url.searchParams.get('after')));
      default:
        return send(createJson(404, {}));
    }
  }

  function handleAppend(name, at, body) {
    if (name === 'keyed.op' || name === 'keyed.servers') {
      return createJson(403, {});
    }
    const end = getTopic(name).records.length;
    if (at !== null && Number(at) !== end) return createJson(412, {end});
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      append(name, body.subarray(position + 4, position + 4 + length));
      position += 4 + length;
    }
    return createJson(200, {offset: end, end: getTopic(name).records.length});
  }

  function handleRead(name, query, send) {
    const topic = getTopic(name);
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (from < topic.records.length || waitMs === 0) {
      send(createPage(topic, from));
      return;
    }
    const wake = () => {
      clearTimeout(timer);
      topic.waiting.delete(wake);
      send(createPage(topic, from));
    };
    const timer = setTimeout(wake, waitMs);
    topic.waiting.add(wake);
  }

  function createPage(topic, from) {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = topic.records.slice(from).flatMap(record => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    return {status: 200, body: Buffer.concat([head, ...parts])};
  }

  function listNewest(name, after) {
    const topic = getTopic(name);
    const keys = [...topic.newest.keys()]
      .sort()
      .filter(key => after === null || key > after);
    const items = keys.slice(0, MAX_PAGE_RECORDS).map(key => ({
      key,
      value: topic.newest.get(key).value.toString('base64'),
      offset: topic.newest.get(key).offset,
    }));
    const hasMore = keys.length > items.length;
    return createJson(200, {items, hasMore, end: topic.records.length});
  }

  function append(name, record) {
    const topic = getTopic(name);
    const offset = topic.records.length;
    topic.records.push(Buffer.from(record));
    if (name.startsWith('keyed.')) {
      const keyEnd = 1 + record[0];
      const key = record.toString('utf8', 1, keyEnd);
      const value = Buffer.from(record.subarray(keyEnd));
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, {value, offset});
    }
    for (const wake of [...topic.waiting]) wake();
  }

  function getTopic(name) {
    if (!topics.has(name)) {
      topics.set(name, {records: [], newest: new Map(), waiting: new Set()});
    }
    return topics.get(name);
  }
}

function createJson(status, fields) {
  return {status, body: JSON.stringify(fields)};
}
