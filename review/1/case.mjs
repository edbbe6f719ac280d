/** Orders during a busy hour, while one of two servers writes some of its answers a second time. */
import {startAppServer} from '../common/app_server.mjs';
import {createCaller} from '../common/caller.mjs';
import {sleep, startNodes, waitUntilReady} from '../common/nodes.mjs';
import {createRecord} from '../common/record.mjs';
import {runCase} from '../common/run_case.mjs';
import {startStore} from '../common/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'desk.example';
const LOAD_S = 90;
const CALLERS = 54;
/** Mean pause of a caller between two orders, in milliseconds. */
const THINK_MS = 60;
/** Time on the way between a gateway and a server, in milliseconds; between two zones of a small deployment it is about one. */
const TRANSIT_MS = 1;
const DEADLINE_MS = 2_502;
/** One answer in 34 is 2.9%; the pages' largest dose is 3%, for spells of 5 s. */
const REPEAT_EVERY = 34;
const SPELL_S = 5;
const SPELL_PERIOD_S = 6;

const record = createRecord(new URL('record.txt', import.meta.url).pathname);
let startedAt = performance.now();
let answerCount = 0;

runCase(main);

async function main() {
  const store = await startStore();
  store.put('keyed.op', 'config', JSON.stringify(buildConfig()));
  const common = {
    service: 'order-app',
    store,
    record,
    slots: 6,
    queue: 6,
    transitMs: TRANSIT_MS,
    workMs: () => 20 + 46 * Math.random(),
  };
  const servers = [
    await startAppServer({
      ...common,
      id: 'i-a1',
      zone: 'a',
      shouldRepeat: isRepeatDue,
    }),
    await startAppServer({...common, id: 'i-b1', zone: 'b'}),
  ];
  const nodes = await startNodes({
    count: 3,
    storePort: store.port,
    zones: ['a', 'b'],
  });
  await waitUntilReady(nodes);
  await sleep(1_500);
  startedAt = performance.now();
  const refusals = new Map();
  const counts = {};
  await Promise.all(
    Array.from({length: CALLERS}, (_, index) =>
      runCaller(nodes[index % nodes.length], refusals, counts),
    ),
  );
  await sleep(1_500);
  for (const node of nodes) node.signal('SIGKILL');
  return judge(servers, refusals, counts);
}

function buildConfig() {
  return {
    version: 3,
    routes: [
      {
        name: 'run-booking',
        host: HOST,
        pathPrefix: '/booking/',
        routeType: 'non_idempotent',
        timeoutMs: 1_200,
        sloMs: 193,
        priority: 2,
        attempts: 1,
        service: 'order-app',
      },
    ],
    services: [{name: 'order-app', healthPath: '/healthz', maxConns: 200}],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 8_000,
    },
  };
}

/** True for each 34th answer of the faulty server, in spells of 5 s. */
function isRepeatDue() {
  const atS = (performance.now() - startedAt) / 1_000;
  answerCount++;
  return (
    HAS_TROUBLE &&
    atS % SPELL_PERIOD_S < SPELL_S &&
    answerCount % REPEAT_EVERY === 0
  );
}

/** Sends orders one after another; one that was refused is sent once more, with a new id, after the time that the refusal names. */
async function runCaller(node, refusals, counts) {
  const caller = createCaller({port: node.ports.front, host: HOST, record});
  const endsAt = startedAt + LOAD_S * 1_000;
  await sleep(THINK_MS * Math.random());
  while (performance.now() < endsAt) {
    const sentAt = performance.now();
    let answer = await send({deadlineMs: DEADLINE_MS});
    if (answer.status === 503) {
      const leftMs = DEADLINE_MS - (performance.now() - sentAt);
      const pauseMs = Math.min(
        leftMs / 3,
        Number(answer.headers['retry-after'] ?? 0) * 1_000,
      );
      await sleep(pauseMs);
      answer = await send({
        deadlineMs: Math.round(leftMs - pauseMs),
        isNew: true,
      });
    }
    await sleep(2 * THINK_MS * Math.random());
  }
  caller.close();

  async function send(options) {
    const answer = await caller.send({path: '/booking/2f', ...options});
    counts[answer.status] = (counts[answer.status] ?? 0) + 1;
    if ([408, 421, 429, 503].includes(answer.status))
      refusals.set(answer.id, answer.status);
    return answer;
  }
}

function judge(servers, refusals, counts) {
  const runs = new Map();
  for (const server of servers) {
    for (const [id, count] of server.runs)
      runs.set(id, (runs.get(id) ?? 0) + count);
  }
  const twice = [...runs].filter(([, count]) => count > 1);
  const refusedButRun = [...refusals].filter(([id]) => runs.has(id));
  const refused = servers.reduce(
    (sum, server) => sum + server.countRefused(),
    0,
  );
  const repeated = servers.reduce(
    (sum, server) => sum + server.countRepeated(),
    0,
  );
  const summary = [
    `answers to callers by status: ${JSON.stringify(counts)}`,
    `${runs.size} orders ran, servers refused ${refused} arrivals; the first server gave ${answerCount} answers and wrote ${repeated} of them a second time`,
    `TWICE: ${twice.length} orders ran more than once${list(twice)}`,
    `REFUSED: ${refusedButRun.length} orders were refused and had run${list(refusedButRun)}`,
  ];
  console.log(summary.join('\n'));
  record.write(summary);
  if (runs.size === 0 || refused === 0) return 2;
  return refusedButRun.length > 0 ? 1 : 0;
}

function list(items) {
  return items.length === 0
    ? ''
    : `: ${items.map(([id, value]) => `${id} (${value})`).join(', ')}`;
}
