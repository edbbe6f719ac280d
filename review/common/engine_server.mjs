/**
 * Stand-in for a model engine. A prefill engine keeps the KV cache of a prompt
 * under a handle; a decode engine takes a handle, or reads the prompt itself, and
 * streams events.
 */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

const HEARTBEAT_MS = 1_200;

/** How long after it began an answer a server crashes, in milliseconds: at least, and at most in addition. */
const CRASH_MIN_MS = 40;
const CRASH_SPREAD_MS = 80;

/**
 * `onCall` is told of each request of a caller that arrives, with its headers. A
 * server for whose request `shouldCrash` returns true crashes soon after it
 * began the answer, and is back after `downMs`. `breakAnswer` may take over the answer of a
 * run after its head was sent; it returns true if it does.
 */
export async function startEngine({
  id,
  service,
  zone,
  stage,
  store,
  record,
  slots = 64,
  prefillMs = 60,
  events = 6,
  eventMs = 15,
  breakAnswer = () => false,
  onCall = () => undefined,
  shouldCrash = () => false,
  downMs = 3_000,
}) {
  const runs = new Map();
  const handles = new Set();
  const orders = [];
  let running = 0;
  let seq = 0;
  let currentStage = stage;
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('error', () => undefined);
    request.on('end', () =>
      accept(request, response, Buffer.concat(chunks).toString()),
    );
  });
  server.keepAliveTimeout = 15_000;
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address();
  let born = Date.now();
  let isDown = false;
  publish();
  let timer = setInterval(publish, HEARTBEAT_MS);
  return {
    id,
    runs,
    orders,
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };

  /** Ends like a process that crashes, and starts again at the same address and under the same id. */
  async function crash(cause) {
    if (isDown) return;
    isDown = true;
    record.add(`${id} crashes: ${cause}`);
    clearInterval(timer);
    const closed = new Promise(resolve => server.close(resolve));
    server.closeAllConnections();
    await closed;
    await new Promise(resolve => setTimeout(resolve, downMs));
    handles.clear();
    orders.length = 0;
    running = 0;
    seq = 0;
    born = Date.now();
    await new Promise(resolve => server.listen(port, '127.0.0.1', resolve));
    isDown = false;
    record.add(`${id} is back`);
    publish();
    timer = setInterval(publish, HEARTBEAT_MS);
  }

  function publish() {
    seq++;
    const entry = {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      maxBatch: slots,
      state: 'ready',
      coldLeftMs: 0,
      seq,
      born,
      stage: currentStage,
      models: [{name: 'm', version: 1, adapters: []}],
    };
    store.put('keyed.servers', id, JSON.stringify(entry));
  }

  function accept(request, response, body) {
    const {headers} = request;
    const requestId = headers['anvilstack-request-id'];
    if (requestId !== undefined)
      response.setHeader('Anvilstack-Request-Id', requestId);
    if (
      headers['anvilstack-target-instance'] !== undefined &&
      headers['anvilstack-target-instance'] !== id
    ) {
      return end(response, 421, {}, '');
    }
    if (request.url === '/report') return sendReport(response);
    if (request.url === '/order') return handleOrder(response, body);
    if (request.method === 'DELETE') {
      handles.delete(request.url.split('/').at(-1));
      return end(response, 200, {}, '');
    }
    onCall(id, headers);
    const isPrefill = headers['anvilstack-stage'] === 'prefill';
    if (isPrefill !== (currentStage === 'prefill'))
      return end(response, 421, {}, '');
    if (running >= slots)
      return end(response, 503, {'Anvilstack-Not-Executed': '1'}, '');
    if (isPrefill) return prefill(headers, response);
    run(request, response);
  }

  function prefill(headers, response) {
    setTimeout(() => {
      const handle = randomBytes(6).toString('hex');
      handles.add(handle);
      setTimeout(() => handles.delete(handle), 5_000).unref();
      const tokens = Number(
        String(headers['anvilstack-token-count']).split(',')[0],
      );
      end(
        response,
        200,
        {'Content-Type': 'application/json'},
        JSON.stringify({transferHandle: handle, tokens, version: 1}),
      );
    }, prefillMs);
  }

  function run(request, response) {
    const {headers} = request;
    const requestId = headers['anvilstack-request-id'];
    running++;
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    record.add(`${id} runs ${requestId}`);
    response.on('close', () => {
      running--;
    });
    response.writeHead(200, {
      'Anvilstack-Response-Seal': `${id}.${requestId}`,
      'Anvilstack-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    });
    response.flushHeaders();
    if (shouldCrash(headers)) {
      setTimeout(
        () => void crash(requestId),
        CRASH_MIN_MS + CRASH_SPREAD_MS * Math.random(),
      );
    }
    if (breakAnswer(requestId, response)) return;
    let next = Number(headers['last-event-id'] ?? 0) + 1;
    const interval = setInterval(() => {
      if (response.destroyed) return clearInterval(interval);
      if (next > events) {
        clearInterval(interval);
        response.end();
        return;
      }
      response.write(`id: ${next}\ndata: piece ${next} of ${requestId}\n\n`);
      next++;
    }, eventMs);
  }

  function sendReport(response) {
    end(
      response,
      200,
      {'Content-Type': 'application/json'},
      JSON.stringify({
        stage: currentStage,
        models: [{name: 'm', version: 1, adapters: []}],
        busy: false,
        seq: orders.length,
        waiting: 0,
        running,
        kvUsed: 0,
        kvTotal: 450_000,
        handles: handles.size,
      }),
    );
  }

  function handleOrder(response, body) {
    const order = JSON.parse(body);
    if (order.stage === currentStage) return end(response, 200, {}, '');
    if (
      order.precondition !== undefined &&
      order.precondition !== orders.length
    )
      return end(response, 409, {}, '');
    orders.push(order);
    currentStage = order.stage;
    publish();
    end(response, 202, {}, '');
  }

  function end(response, status, headers, body) {
    response.writeHead(status, {
      ...headers,
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}
