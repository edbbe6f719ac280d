/** Long streams on kept connections, while the gateways are stopped and started in turn. */
import {createCaller} from '../common/caller.mjs';
import {startEngine} from '../common/engine_server.mjs';
import {
  CannotRunError,
  sleep,
  startNodes,
  waitUntilReady,
} from '../common/nodes.mjs';
import {createRecord} from '../common/record.mjs';
import {runCase} from '../common/run_case.mjs';
import {startStore} from '../common/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'desk.example';
const CALLERS_PER_NODE = 24;
const NODES = 3;
/** A stream of 48 events in 4.3 s: the sheet allows 53 events and pauses of 200 ms. */
const EVENTS = 48;
const EVENT_MS = 90;
const TIMEOUT_MS = 6_000;
const DEADLINE_MS = 6_004;
const GRACE_MS = 8_000;
/** A request that was sent later than this after SIGTERM is not excused by work at its server. */
const EXCUSED_MS = 3_000;
/** Time from SIGTERM in which a cut request counts, in milliseconds. */
const COUNTED_MS = GRACE_MS + 1_000;
/** Callers begin at different times, so that their streams do not end together. */
const MAX_START_DELAY_MS = 5_000;
const WARM_UP_MS = 8_000;
const PAUSE_BETWEEN_STOPS_MS = 4_000;

const record = createRecord(new URL('record.txt', import.meta.url).pathname);
runCase(main);

async function main() {
  const store = await startStore();
  store.put('keyed.op', 'config', JSON.stringify(buildConfig()));
  const engines = [];
  const stages = ['prefill', 'prefill', 'decode', 'decode'];
  for (const [index, stage] of stages.entries()) {
    engines.push(
      await startEngine({
        id: `i-e${index + 1}`,
        stage,
        service: 'desk-llm',
        zone: 'a',
        store,
        record,
        events: EVENTS,
        eventMs: EVENT_MS,
      }),
    );
  }
  const nodes = await startNodes({
    count: NODES,
    storePort: store.port,
    zones: ['a', 'b'],
  });
  await waitUntilReady(nodes);
  await sleep(2_500);
  const stops = [];
  const answers = [];
  let isOver = false;
  const callers = nodes.flatMap(node =>
    Array.from({length: CALLERS_PER_NODE}, () => runCaller(node)),
  );
  await sleep(WARM_UP_MS);
  for (const node of nodes) {
    await stopAndStart(node);
    await sleep(PAUSE_BETWEEN_STOPS_MS);
  }
  isOver = true;
  await Promise.all(callers);
  for (const node of nodes) node.signal('SIGKILL');
  return judge(engines, answers, stops);

  /** Stops a gateway as the platform does: SIGTERM, SIGKILL after the grace time, and a new start. */
  async function stopAndStart(node) {
    if (!HAS_TROUBLE) return sleep(GRACE_MS);
    stops.push({node, atMs: performance.now()});
    record.add(`SIGTERM to ${node.name}`);
    node.signal('SIGTERM');
    const hasExited = await Promise.race([
      node.waitForExit().then(() => true),
      sleep(GRACE_MS).then(() => false),
    ]);
    record.add(`${node.name} ${hasExited ? 'has ended' : 'gets SIGKILL'}`);
    if (!hasExited) node.signal('SIGKILL');
    node.start();
    await waitUntilReady([node]);
  }

  /** Keeps to its node while its connection is open; a new connection goes to a node that is ready, as the platform would send it. */
  async function runCaller(home) {
    let node = home;
    let caller = createCaller({port: node.ports.front, host: HOST, record});
    await sleep(MAX_START_DELAY_MS * Math.random());
    while (!isOver) {
      if (!caller.isOpen() && stops.some(stop => isStopping(stop, node))) {
        caller.close();
        node = nodes.find(
          other => !stops.some(stop => isStopping(stop, other)),
        );
        caller = createCaller({port: node.ports.front, host: HOST, record});
      }
      const sentAtMs = performance.now();
      const answer = await caller.send({
        path: '/summary/2f',
        deadlineMs: DEADLINE_MS,
        headers: {
          'Anvilstack-Model': 'm',
          'Anvilstack-Token-Count': `4600,${EVENTS * 9}`,
          'Anvilstack-Prompt-Prefix':
            '5c1e07a2:800,91bd3f06:2600,e4402b7d:1200',
        },
      });
      answers.push({...answer, node, sentAtMs});
      await sleep(100 + 400 * Math.random());
    }
    caller.close();
  }
}

/** True from the second missed readiness check until the node is ready again. */
function isStopping(stop, node) {
  const sinceMs = performance.now() - stop.atMs;
  return stop.node === node && sinceMs < COUNTED_MS;
}

function judge(engines, answers, stops) {
  const hasRun = id => engines.some(engine => engine.runs.has(id));
  const isComplete = ({status, body = ''}) =>
    status !== 200 || body.includes(`id: ${EVENTS}\n`);
  const broken = answers.filter(
    answer => answer.status === 0 && !answer.isGivenUp && hasRun(answer.id),
  );
  const lost = broken.flatMap(answer => {
    const stop = stops.find(
      ({node, atMs}) =>
        node === answer.node &&
        answer.sentAtMs + answer.elapsedMs > atMs &&
        answer.sentAtMs + answer.elapsedMs < atMs + COUNTED_MS,
    );
    if (stop === undefined || answer.elapsedMs >= TIMEOUT_MS) return [];
    const sentAfterMs = answer.sentAtMs - stop.atMs;
    if (sentAfterMs <= EXCUSED_MS) return [];
    return [{...answer, sentAfterMs, stop}];
  });
  const summary = [
    `${answers.length} streams, ${answers.filter(answer => answer.status === 200).length} of them complete, ${broken.length} cut, ${answers.filter(answer => !isComplete(answer)).length} ended early as complete`,
    `LOST: ${lost.length} streams that were sent on a kept connection later than ${EXCUSED_MS} ms after SIGTERM were passed on to an engine and cut`,
    ...lost.map(
      ({id, stop, sentAfterMs, elapsedMs, isKept}) =>
        `  ${id} at ${stop.node.name}: sent ${sentAfterMs.toFixed(0)} ms after SIGTERM${isKept ? ' on a kept connection' : ''}, cut ${elapsedMs.toFixed(0)} ms later`,
    ),
  ];
  console.log(summary.join('\n'));
  record.write(summary);
  if (!answers.some(answer => answer.status === 200)) {
    throw new CannotRunError('no stream was served');
  }
  return lost.length > 0 ? 1 : 0;
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
        name: 'master-summary',
        host: HOST,
        pathPrefix: '/summary/',
        routeType: 'stream',
        timeoutMs: TIMEOUT_MS,
        sloMs: 600,
        gapAimMs: 200,
        priority: 2,
        attempts: 1,
        sticky: true,
        service: 'desk-llm',
      },
    ],
    services: [
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
