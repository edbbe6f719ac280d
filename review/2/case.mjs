/** Orders and questions, while one engine answers now and then with bytes that do not end. */
import {startAppServer} from '../common/app_server.mjs';
import {createCaller} from '../common/caller.mjs';
import {startEngine} from '../common/engine_server.mjs';
import {
  MEMORY_MB,
  sleep,
  startNodes,
  waitUntilReady,
} from '../common/nodes.mjs';
import {createRecord} from '../common/record.mjs';
import {runCase} from '../common/run_case.mjs';
import {startStore} from '../common/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'desk.example';
const LOAD_S = 60;
/** One answer in 50 of one engine has no end: the pages let a server spoil 2% of its answers. */
const ENDLESS_EVERY = 50;
/** The server sends at most 20 MB/s, about a third of what a gateway's link carries. */
const CHUNK_BYTES = 200_000;
const CHUNK_INTERVAL_MS = 10;
const ORDER_CALLERS = 24;
const QUOTE_CALLERS = 8;
const ORDER_TIMEOUT_MS = 1_200;
const ORDER_DEADLINE_MS = 2_502;
const QUOTE_DEADLINE_MS = 4_002;
/** More requests than this from kept connections must not be cut. */
const MAX_LOST = 3;
/** Time after a route's time-out by which an answer must have come, in milliseconds. */
const TIMEOUT_SLACK_MS = 500;

const record = createRecord(new URL('record.txt', import.meta.url).pathname);
runCase(main);

async function main() {
  const store = await startStore();
  store.put('keyed.op', 'config', JSON.stringify(buildConfig()));
  const endless = createEndlessAnswers();
  const engines = [];
  const stages = ['prefill', 'prefill', 'decode', 'decode', 'decode'];
  for (const [index, stage] of stages.entries()) {
    const id = `i-e${index + 1}`;
    engines.push(
      await startEngine({
        id,
        stage,
        service: 'desk-llm',
        zone: 'a',
        store,
        record,
        breakAnswer: (requestId, response) =>
          endless.tryBreak(id, requestId, response),
      }),
    );
  }
  const servers = [];
  for (const id of ['i-a1', 'i-b1']) {
    servers.push(
      await startAppServer({
        id,
        service: 'order-app',
        zone: 'a',
        store,
        record,
        slots: 6,
        queue: 24,
        workMs: () => 20 + 46 * Math.random(),
      }),
    );
  }
  const nodes = await startNodes({
    count: 2,
    storePort: store.port,
    zones: ['a', 'b'],
  });
  await waitUntilReady(nodes);
  await sleep(2_500);
  const platform = watchMemory(nodes);
  const endsAt = performance.now() + LOAD_S * 1_000;
  const orders = [];
  const quotes = [];
  const load = [];
  for (let index = 0; index < ORDER_CALLERS; index++) {
    const send = caller =>
      caller.send({path: '/booking/2f', deadlineMs: ORDER_DEADLINE_MS});
    load.push(runCaller(nodes[index % nodes.length], send, 40, orders));
  }
  for (let index = 0; index < QUOTE_CALLERS; index++) {
    const headers = {
      'Anvilstack-Model': 'm',
      'Anvilstack-Token-Count': '9190,6',
      'Anvilstack-Prompt-Prefix': `5c1e07a${index}:2500,91bd3f0${index}:3800,e4402b${index}d:2890`,
    };
    const send = caller =>
      caller.send({path: '/quote/2f', deadlineMs: QUOTE_DEADLINE_MS, headers});
    load.push(runCaller(nodes[index % nodes.length], send, 200, quotes));
  }
  await Promise.all(load);
  platform.stop();
  for (const node of nodes) node.signal('SIGKILL');
  return judge({servers, orders, quotes, endless, platform});

  async function runCaller(node, send, thinkMs, answers) {
    const caller = createCaller({port: node.ports.front, host: HOST, record});
    while (performance.now() < endsAt) {
      answers.push(await send(caller));
      await sleep(2 * thinkMs * Math.random());
    }
    caller.close();
  }
}

/** The first decode engine that runs a request spoils one of 50 answers: after the head come bytes that are no events and do not end. */
function createEndlessAnswers() {
  let faultyId;
  let runCount = 0;
  let count = 0;
  return {
    getRunCount: () => runCount,
    getCount: () => count,
    tryBreak: (serverId, requestId, response) => {
      faultyId ??= serverId;
      if (serverId !== faultyId) return false;
      runCount++;
      if (!HAS_TROUBLE || runCount % ENDLESS_EVERY !== 25) return false;
      count++;
      sendEndless(serverId, requestId, response);
      return true;
    },
  };
}

function sendEndless(serverId, requestId, response) {
  const chunk = Buffer.alloc(CHUNK_BYTES, 'x');
  let sentBytes = 0;
  record.add(`${serverId} answers ${requestId} with bytes without end`);
  const timer = setInterval(() => {
    if (response.writableNeedDrain) return;
    response.write(chunk);
    sentBytes += chunk.length;
  }, CHUNK_INTERVAL_MS);
  response.on('close', () => {
    clearInterval(timer);
    record.add(
      `the gateway closed the connection of ${requestId} after ${sentBytes} bytes`,
    );
  });
}

/** Kills processes that exceed their memory, and starts them again, as the platform does. */
function watchMemory(nodes) {
  let peakMb = 0;
  let killCount = 0;
  const timer = setInterval(() => {
    for (const node of nodes) {
      const memoryMb = node.readMemoryMb();
      peakMb = Math.max(peakMb, memoryMb);
      if (memoryMb <= MEMORY_MB) continue;
      killCount++;
      record.add(
        `the platform kills ${node.name}: it uses ${memoryMb.toFixed(0)} MB`,
      );
      node.killAndRestart();
    }
  }, 50);
  return {
    getPeakMb: () => peakMb,
    getKillCount: () => killCount,
    stop: () => clearInterval(timer),
  };
}

function judge({servers, orders, quotes, endless, platform}) {
  const hasRun = id => servers.some(server => server.runs.has(id));
  const cut = orders.filter(
    answer =>
      answer.status === 0 &&
      !answer.isGivenUp &&
      answer.isKept &&
      hasRun(answer.id),
  );
  const unanswered = orders.filter(
    answer => answer.elapsedMs > ORDER_TIMEOUT_MS,
  );
  const late = unanswered.filter(
    answer =>
      answer.isGivenUp ||
      answer.elapsedMs > ORDER_TIMEOUT_MS + TIMEOUT_SLACK_MS,
  );
  const summary = [
    `orders by status: ${countByStatus(orders)}; quotes by status: ${countByStatus(quotes)}`,
    `the faulty engine ran ${endless.getRunCount()} requests and answered ${endless.getCount()} of them without end`,
    `memory of a gateway at its peak: ${platform.getPeakMb().toFixed(0)} MB of ${MEMORY_MB}; processes killed for it: ${platform.getKillCount()}`,
    `LOST: ${cut.length} orders from kept connections ran at a sound server and were cut without an answer`,
    `CONFIG: ${unanswered.length} orders were unanswered at the route's time-out, ${late.length} of them had no answer half a second later`,
  ];
  console.log(summary.join('\n'));
  record.write(summary);
  const isOrderServed = orders.some(answer => answer.status === 200);
  if (!isOrderServed || endless.getRunCount() < ENDLESS_EVERY) return 2;
  return cut.length > MAX_LOST ? 1 : 0;
}

function countByStatus(answers) {
  const counts = {};
  for (const {status} of answers) counts[status] = (counts[status] ?? 0) + 1;
  return JSON.stringify(counts);
}

function buildConfig() {
  const engine = {
    maxBatch: 64,
    kvTokens: 451_819,
    kvTokenBytes: 163_840,
    linkMbps: 1_600_000,
    kvTtlS: 5,
    switchS: 3,
  };
  return {
    version: 3,
    routes: [
      {
        name: 'run-booking',
        host: HOST,
        pathPrefix: '/booking/',
        routeType: 'non_idempotent',
        timeoutMs: ORDER_TIMEOUT_MS,
        sloMs: 193,
        priority: 2,
        attempts: 1,
        service: 'order-app',
      },
      {
        name: 'quote-reconcile',
        host: HOST,
        pathPrefix: '/quote/',
        routeType: 'stream',
        timeoutMs: 4_000,
        sloMs: 500,
        gapAimMs: 200,
        priority: 1,
        attempts: 2,
        resumable: true,
        sticky: true,
        service: 'desk-llm',
      },
    ],
    services: [
      {name: 'order-app', healthPath: '/healthz', maxConns: 200},
      {name: 'desk-llm', healthPath: '/healthz', maxConns: 720, engine},
    ],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 8_000,
    },
  };
}
