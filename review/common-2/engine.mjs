/** A sound model server, with hooks by which a case makes it a faulty one. */
import {format, serve} from './http.mjs';

export const SWITCH_MS = 3_000;
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Starts a server; `hooks.before(request, connection)` may answer a request itself and then returns true.
 * `record` gets a line for each request that runs and for each order.
 */
export async function startEngine({host, id, service, zone, store, stage = 'decode', record, hooks = {}, runMs = 20, pieces = 4, heartbeatMs = 1_200, requireFencing = true}) {
  const born = Date.now();
  let beat = 0;
  let accepted = 0;
  let highestFence = 0;
  let changingUntilMs = 0;
  let handles = 0;
  const engine = {id, host, stage, runs: [], orders: [], state: 'ready', writeEntry, close};
  const server = await serve(host, 0, handle);
  engine.port = server.port;
  writeEntry();
  const timer = setInterval(writeEntry, heartbeatMs);
  return engine;

  function writeEntry() {
    store.put('keyed.servers', id, {
      service, address: `${host}:${engine.port}`, zone, version: 'v1', maxBatch: 64, state: engine.state, coldLeftMs: 0,
      ...(engine.stage === undefined ? {} : {stage: engine.stage, models: [{name: 'm', version: 1, adapters: []}]}),
      seq: ++beat, born,
    });
  }

  function close() {
    clearInterval(timer);
    server.close();
  }

  async function handle(request, connection) {
    const {headers, path, method} = request;
    const requestId = headers['anvilstack-request-id'];
    if ((await hooks.before?.(request, connection, engine)) === true) return;
    const wanted = headers['anvilstack-target-instance'];
    if (wanted !== undefined && wanted !== id) {
      return connection.write(format(421, {'Anvilstack-Instance-Id': id, ...echo(requestId)}));
    }
    if (method === 'GET' && path === '/healthz') return connection.write(format(200, {'Anvilstack-Instance-Id': id}));
    if (method === 'GET' && path === '/report') return json(connection, 200, createReport());
    if (method === 'POST' && path === '/order') return handleOrder(JSON.parse(request.body.toString()), connection);
    if (method === 'DELETE' && path.startsWith('/kv-handle/')) return json(connection, 200, {});
    if (requestId === undefined) return connection.write(format(400, {'Anvilstack-Not-Executed': '1'}));
    if (headers['anvilstack-stage'] === 'prefill') {
      if (engine.stage !== 'prefill') return connection.write(format(421, {'Anvilstack-Instance-Id': id, ...echo(requestId)}));
      await sleep(10);
      return json(connection, 200, {transferHandle: `h${id}${++handles}`, tokens: 100, version: 1}, echo(requestId));
    }
    if (engine.stage === 'prefill') return connection.write(format(421, {'Anvilstack-Instance-Id': id, ...echo(requestId)}));
    await run(request, connection, requestId);
  }

  async function run(request, connection, requestId) {
    engine.runs.push(requestId);
    record(`server ${id} runs ${requestId}`);
    const seal = `seal-${id}-${requestId}`;
    if (engine.stage === undefined) {
      await sleep(runMs);
      connection.write(format(200, {...echo(requestId), 'Anvilstack-Response-Seal': seal}, `answer of ${id} to ${requestId}`));
      return record(`server ${id} answers 200 to ${requestId}`);
    }
    await sleep(runMs);
    connection.write(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAnvilstack-Request-Id: ${requestId}\r\nAnvilstack-Response-Seal: ${seal}\r\nAnvilstack-Weight-Versions: 1\r\n\r\n`);
    for (let piece = 1; piece <= pieces; piece++) {
      const text = `id: ${piece}\ndata: ${requestId} ${piece}/${pieces}\n\n`;
      connection.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      await sleep(5);
    }
    connection.write('0\r\n\r\n');
    record(`server ${id} answers 200 to ${requestId}`);
  }

  function createReport() {
    return {
      stage: engine.stage, models: [{name: 'm', version: 1, adapters: []}], busy: Date.now() < changingUntilMs, seq: accepted,
      waiting: 0, running: 0, kvUsed: 0, kvTotal: 450_954, handles: 0, born,
    };
  }

  function handleOrder(order, connection) {
    engine.orders.push({atMs: performance.now(), ...order});
    record(`server ${id} gets order ${JSON.stringify(order)}`);
    if (typeof order.holder !== 'string' || typeof order.fence !== 'number') return json(connection, 400, {});
    if (requireFencing && order.fence < highestFence) return json(connection, 412, {});
    highestFence = Math.max(highestFence, order.fence);
    if (order.stage === engine.stage) return json(connection, 200, {});
    if (Date.now() < changingUntilMs || (order.precondition !== undefined && order.precondition !== accepted)) {
      return json(connection, 409, {});
    }
    accepted++;
    changingUntilMs = Date.now() + SWITCH_MS;
    setTimeout(() => {
      engine.stage = order.stage;
      writeEntry();
    }, SWITCH_MS).unref();
    return json(connection, 202, {});
  }
}

function echo(requestId) {
  return requestId === undefined ? {} : {'Anvilstack-Request-Id': requestId};
}

function json(connection, status, value, headers = {}) {
  connection.write(format(status, {'Content-Type': 'application/json', ...headers}, JSON.stringify(value)));
}

/** The operator's configuration: a stream route to model servers and two routes to a plain service. */
export function createConfig(version = 1, changes = {}) {
  const host = 'quotes.example';
  return {
    version,
    routes: [
      {name: 'trim-check', host, pathPrefix: '/trim/', routeType: 'stream', timeoutMs: 6000, sloMs: 300, priority: 0, service: 'quote-llm', attempts: 1, sticky: true, resumable: false, gapAimMs: 200},
      {name: 'stock-order', host, pathPrefix: '/order/', routeType: 'non_idempotent', timeoutMs: 1500, sloMs: 150, priority: 2, service: 'yard-app', attempts: 1},
      {name: 'price-look', host, pathPrefix: '/price/', routeType: 'idempotent', timeoutMs: 1500, sloMs: 150, priority: 2, service: 'yard-app', attempts: 2},
    ],
    services: [
      {name: 'quote-llm', healthPath: '/healthz', maxConns: 720, protocol: 'h1', tls: false, engine: {maxBatch: 64, kvTokens: 450954, kvTokenBytes: 163840, linkMbps: 1600000, moves: true, backups: true, stride: 9, most: 12, kvTtlS: 5, switchS: 3, pinMs: 4000, holdMs: 2000, models: [{name: 'm'}]}},
      {name: 'yard-app', healthPath: '/healthz', maxConns: 192, protocol: 'h1', tls: false},
    ],
    limits: {maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000},
    ...changes,
  };
}
