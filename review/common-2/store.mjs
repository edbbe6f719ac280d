/** The platform's store: a log of topics, as far as the gateway uses it. */
import {format, serve} from './http.mjs';

/** Starts the store at an address. */
export async function startStore(host, port) {
  let era = 0;
  let isAway = false;
  /** When each record was appended, by topic, on the monotonic clock. */
  const times = new Map();
  const topics = new Map();
  const waiters = new Set();
  const getTopic = name => {
    if (!topics.has(name)) topics.set(name, []);
    return topics.get(name);
  };
  const server = await serve(host, port, handle);
  return {port: server.port, close: server.close, put, remove, topics, rollBack, setAway};

  /** Writes a value under a key, as the operator and the servers do. */
  function put(topic, key, value) {
    const name = Buffer.from(key);
    append(topic, [Buffer.concat([Buffer.from([name.length]), name, Buffer.from(JSON.stringify(value))])]);
  }

  function remove(topic, key) {
    const name = Buffer.from(key);
    append(topic, [Buffer.concat([Buffer.from([name.length]), name])]);
  }

  /** Drops what was appended in the last `ms`; the era rises by one. */
  function rollBack(ms) {
    const sinceMs = performance.now() - ms;
    for (const [topic, log] of topics) {
      const kept = times.get(topic)?.filter(atMs => atMs < sinceMs) ?? [];
      log.length = kept.length;
      times.set(topic, kept);
    }
    era++;
    for (const wake of [...waiters]) wake();
  }

  /** While the store is away, it answers no call. */
  function setAway(next) {
    isAway = next;
  }

  function append(topic, records) {
    getTopic(topic).push(...records);
    if (!times.has(topic)) times.set(topic, []);
    times.get(topic).push(...records.map(() => performance.now()));
    for (const wake of [...waiters]) wake();
  }

  async function handle(request, connection) {
    const topic = request.query.get('topic');
    const answer = (status, headers, body) => {
      if (!isAway) connection.write(format(status, {...headers, 'Store-Era': era}, body));
    };
    const json = (status, value) => answer(status, {'Content-Type': 'application/json'}, JSON.stringify(value));
    if (isAway) return;
    switch (request.path) {
      case '/log-append': {
        const records = [];
        for (let at = 0; at < request.body.length; ) {
          const size = request.body.readUInt32BE(at);
          records.push(request.body.subarray(at + 4, at + 4 + size));
          at += 4 + size;
        }
        await delay(4);
        const log = getTopic(topic);
        const at = request.query.get('at');
        if (at !== null && Number(at) !== log.length) return json(412, {end: log.length});
        const offset = log.length;
        append(topic, records);
        return json(200, {offset, end: log.length});
      }
      case '/log-read': {
        const from = Number(request.query.get('from'));
        const waitMs = Number(request.query.get('waitMs') ?? 0);
        await delay(2);
        const log = getTopic(topic);
        if (from > log.length) return json(410, {first: 0});
        if (from === log.length && waitMs > 0) await waitForRecord(topic, from, waitMs);
        if (from > log.length) return json(410, {first: 0});
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(log.length), 0);
        const parts = [head];
        for (const record of log.slice(from)) {
          const size = Buffer.alloc(4);
          size.writeUInt32BE(record.length);
          parts.push(size, record);
        }
        return answer(200, {'Content-Type': 'application/octet-stream'}, Buffer.concat(parts));
      }
      case '/log-newest': {
        await delay(2);
        const newest = new Map();
        getTopic(topic).forEach((record, offset) => {
          const end = 1 + record[0];
          const key = record.toString('utf8', 1, end);
          newest.delete(key);
          if (record.length > end) newest.set(key, {key, value: record.subarray(end).toString('base64'), offset});
        });
        return json(200, {items: [...newest.values()], hasMore: false, end: getTopic(topic).length});
      }
      default:
        return json(404, {});
    }
  }

  function waitForRecord(topic, from, waitMs) {
    return new Promise(resolve => {
      const wake = () => {
        if (getTopic(topic).length === from) return;
        stop();
      };
      const stop = () => {
        clearTimeout(timer);
        waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(stop, waitMs);
      waiters.add(wake);
    });
  }
}

function delay(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
