/**
 * Stand-in for a server of a plain service. It runs `slots` requests at once,
 * queues `queue` more and refuses the rest with `Anvilstack-Not-Executed`.
 */
import {createServer} from 'node:http';

const HEARTBEAT_MS = 1_200;

/**
 * `shouldRepeat` is asked for each complete answer; where it returns true, the
 * server writes a second copy of that answer late: at the point where the next
 * answer on the connection is expected. `transitMs` is the time of a request and
 * of an answer on the way.
 */
export async function startAppServer({
  id,
  service,
  zone,
  store,
  record,
  slots,
  queue,
  workMs,
  transitMs = 0,
  shouldRepeat = () => false,
}) {
  const waiting = [];
  const runs = new Map();
  let running = 0;
  let seq = 0;
  let refusedCount = 0;
  let repeatedCount = 0;
  const server = createServer((request, response) => {
    const chunks = [];
    const {socket} = request;
    if (socket.lateCopy !== undefined) {
      socket.write(socket.lateCopy);
      record.add(
        `${id} wrote a second copy of the answer to ${socket.lateCopyId}`,
      );
      socket.lateCopy = undefined;
    }
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () => delay(() => accept(request, response)));
  });
  server.keepAliveTimeout = 15_000;
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address();
  const born = Date.now();
  publish();
  const timer = setInterval(publish, HEARTBEAT_MS);
  return {
    id,
    runs,
    createEntry,
    countRefused: () => refusedCount,
    countRepeated: () => repeatedCount,
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };

  function delay(action) {
    if (transitMs === 0) action();
    else setTimeout(action, transitMs);
  }

  function publish() {
    store.put('keyed.servers', id, JSON.stringify(createEntry()));
  }

  /** Returns the entry of the next heartbeat. */
  function createEntry() {
    seq++;
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      maxBatch: slots,
      state: 'ready',
      coldLeftMs: 0,
      seq,
      born,
    };
  }

  function accept(request, response) {
    const requestId = request.headers['anvilstack-request-id'];
    const target = request.headers['anvilstack-target-instance'];
    if (target !== undefined && target !== id) {
      return answer(request, response, 421, {}, '');
    }
    if (requestId === undefined) {
      return answer(
        request,
        response,
        400,
        {'Anvilstack-Not-Executed': '1'},
        '',
      );
    }
    if (running < slots) return run(request, response);
    if (waiting.length < queue) {
      waiting.push({request, response});
      return;
    }
    refusedCount++;
    record.add(`${id} refused ${requestId}: 503, not executed`);
    delay(() =>
      answer(request, response, 503, {'Anvilstack-Not-Executed': '1'}, ''),
    );
  }

  function run(request, response) {
    const requestId = request.headers['anvilstack-request-id'];
    running++;
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    record.add(`${id} runs ${requestId}`);
    setTimeout(() => {
      running--;
      const body = `${id} did ${request.method} ${request.url} for ${requestId}`;
      answer(
        request,
        response,
        200,
        {'Anvilstack-Response-Seal': `${id}.${requestId}`},
        body,
      );
      while (running < slots && waiting.length > 0) {
        const next = waiting.shift();
        if (!next.request.socket.destroyed) run(next.request, next.response);
      }
    }, workMs());
  }

  function answer(request, response, status, headers, body) {
    const {socket} = request;
    const requestId = request.headers['anvilstack-request-id'];
    const all = {
      ...(requestId === undefined ? {} : {'Anvilstack-Request-Id': requestId}),
      ...headers,
      'Content-Length': Buffer.byteLength(body),
    };
    if (socket.destroyed) return;
    response.writeHead(status, all);
    response.end(body);
    if (!shouldRepeat()) return;
    repeatedCount++;
    const lines = Object.entries(all).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.lateCopyId = requestId;
    socket.lateCopy = `HTTP/1.1 ${status} ${response.statusMessage}\r\n${lines.join('')}\r\n${body}`;
  }
}
