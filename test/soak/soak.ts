/** One run of the soak test: gateway processes under injected faults, whose guarantees are checked at the callers and at the servers. */
import {Agent} from 'node:http';
import {
  type ServerStandin,
  startServerStandin,
  WORK_HEADER,
} from '../platform/server_standin';
import {startStoreStandin, type StoreStandin} from '../platform/store_standin';
import {buildConfig, sendAsCaller, waitUntil} from '../platform/system';
import {
  DEADLY_PART,
  runDeadlyPart,
  runFault,
  runLimit,
  type SoakRun,
} from './fault_player';
import {
  type NodeProcess,
  type NodeProcesses,
  startNodeProcesses,
} from './gateway_processes';
import {runOddCaller} from './odd_callers';
import {
  listDeadlyPartFaults,
  listExceededLimits,
  listRunsForNobody,
  listViolations,
  type SoakRequest,
} from './violations';
import {
  buildAnswerFaults,
  buildHostileFaults,
  buildDeadlyPart,
  buildFalseAnswers,
  buildLimits,
  buildSchedule,
  buildStoreReturns,
  createDraw,
  createFalseDraw,
  type Draw,
  type TimedDeadlyPart,
  type TimedFault,
  type TimedLimit,
} from './schedule';
import {startTcpProxy, type TcpProxy} from './tcp_proxy';

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly isHostile: boolean;
  /** Wall-clock time from which the times of violations count. */
  readonly startedAt: string;
  readonly violations: readonly string[];
  readonly requests: number;
  readonly answered: number;
  readonly schedule: readonly TimedFault[];
  readonly limits: readonly TimedLimit[];
  readonly deadlyPart: TimedDeadlyPart | undefined;
  /** Output of the nodes; empty for a run without violations. */
  readonly lines: readonly string[];
}

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs?: number;
  readonly nodes?: number;
  readonly callers?: number;
  /** Callers that keep to HTTP in part only; used in hostile runs. */
  readonly oddCallers?: number;
  /** Adds faults of the network between nodes and servers, of signals and restarts, and odd callers. */
  readonly isHostile?: boolean;
  /** Path of the built gateway. */
  readonly program?: string;
}

const DEFAULT_DURATION_MS = 6_000;
const SERVER_COUNT = 8;
/** The first servers are those of the plain service. */
const PLAIN_SERVER_COUNT = 3;
const ROUTE_NAMES = ['look', 'order', 'ask', 'resume'] as const;
/** Documented bound within which all nodes serve again after the last fault, in milliseconds. */
const RECOVERY_BOUND_MS = 12_000;
/** Faults that excuse a node from the limits of servers. */
const STOPPING_FAULTS = new Set([
  'pause',
  'kill',
  'term',
  'term-kill',
  'term-pause',
  'pause-crash',
]);
const LIMIT_SEED_OFFSET = 1_000_000;
const DEADLY_SEED_OFFSET = 2_000_000;
const ANSWER_SEED_OFFSET = 3_000_000;
const HOSTILE_SEED_OFFSET = 4_000_000;
/** The odd callers and the links take the seeds from here on. */
const CALLER_SEED_OFFSET = 5_000_000;
const LINK_SEED_OFFSET = 6_000_000;
/** The returns of the store from a copy take the seeds from here on. */
const COPY_SEED_OFFSET = 7_000_000;
/** The long uploads take the seeds from here on. */
const UPLOAD_SEED_OFFSET = 9_000_000;
const SEED_STRIDE = 1_000;
/** One of so many requests has a body of this length: more than the buffers of a loopback connection take while the server does not read, so that it is still being written when an early answer comes. */
const UPLOAD_ONE_IN = 16;
const UPLOAD_BYTES = 1_000_000;
const SHORT_BODY = 'a prompt';
const LONG_BODY = 'u'.repeat(UPLOAD_BYTES);
/** Limits of a run: a head that does not arrive is given up, in hostile ones while slow requests still run. */
function createLimits(isHostile: boolean) {
  return {
    maxHeaderBytes: 8_192,
    maxBodyBytes: UPLOAD_BYTES,
    headerTimeoutMs: isHostile ? 400 : 1_000,
    idleTimeoutMs: 5_000,
  };
}
/** Time after a hostile run in which a request that was refused may still run, in milliseconds. */
const SETTLE_MS = 2_000;
/** One of so many requests of a hostile run takes up to this time, in milliseconds. */
const SLOW_ONE_IN = 4;
const MAX_WORK_MS = 1_200;
/** Time between the events of one decode engine, in milliseconds: its streams are still open when a stop begins. */
const SLOW_EVENT_MS = 700;
/** One of so many model requests has the deadly part. */
const DEADLY_ONE_IN = 40;

/** Runs the soak test once. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
  const nodeCount = options.nodes ?? 4;
  const {seed, isHostile = false} = options;
  const draw = createDraw(seed);
  const store = await startStoreStandin();
  const configChanges = {limits: createLimits(isHostile)};
  store.put('keyed.op', 'config', buildConfig(1, configChanges));
  const proxy = await startTcpProxy({targetPort: store.port});
  const links = isHostile ? await startLinks(seed) : [];
  const servers = await startServers(store, links);
  const processes = await startNodeProcesses(
    nodeCount,
    proxy.port,
    options.program,
  );
  const requests: SoakRequest[] = [];
  const violations: string[] = [];
  const run: SoakRun = {
    store,
    proxy,
    links,
    servers,
    processes,
    violations,
    drains: new Map(),
    version: 1,
    configChanges,
    schedule: [],
    startedAt: 0,
  };
  await waitUntil(
    'all nodes serve at the start',
    () => isEveryNodeReady(processes),
    RECOVERY_BOUND_MS,
  ).catch((error: Error) => violations.push(error.message));
  const scheduleOptions = {
    runDurationMs: durationMs,
    nodes: nodeCount,
    servers: servers.length,
  };
  const schedule = [
    ...buildSchedule({draw, ...scheduleOptions}),
    ...buildAnswerFaults({
      draw: createDraw(options.seed + ANSWER_SEED_OFFSET),
      ...scheduleOptions,
    }),
    ...buildStoreReturns({
      draw: createDraw(options.seed + COPY_SEED_OFFSET),
      ...scheduleOptions,
    }),
    ...buildFalseAnswers({
      draw: createFalseDraw(seed, isHostile),
      plainServers: PLAIN_SERVER_COUNT,
      ...scheduleOptions,
    }),
    ...(isHostile
      ? buildHostileFaults({
          draw: createDraw(seed + HOSTILE_SEED_OFFSET),
          ...scheduleOptions,
        })
      : []),
  ];
  // Drawn apart, so that a seed keeps its faults.
  const limits = buildLimits({
    draw: createDraw(options.seed + LIMIT_SEED_OFFSET),
    runDurationMs: durationMs,
    servers: servers.length,
  });
  const deadlyDraw = createDraw(options.seed + DEADLY_SEED_OFFSET);
  const deadlyPart = buildDeadlyPart({
    draw: deadlyDraw,
    runDurationMs: durationMs,
  });
  const uploadDraw = createDraw(seed + UPLOAD_SEED_OFFSET);
  let isOver = false;
  const workDraw = createDraw(seed + CALLER_SEED_OFFSET);
  const startedAtDate = new Date().toISOString();
  const startedAt = performance.now();
  const callers = Array.from({length: options.callers ?? 12}, (_, index) =>
    runCaller({
      index,
      nodes: processes.nodes,
      requests,
      draw,
      isOver: () => isOver,
      deadlyDraw,
      chooseBody: () =>
        uploadDraw(UPLOAD_ONE_IN) === 0 ? LONG_BODY : SHORT_BODY,
      chooseHeaders: () => (isHostile ? chooseWork(workDraw) : {}),
    }),
  );
  const oddCount = isHostile ? (options.oddCallers ?? 10) : 0;
  const oddCallers = Array.from({length: oddCount}, (_, index) =>
    runOddCaller({
      index,
      nodes: processes.nodes,
      requests,
      draw: createDraw(seed * SEED_STRIDE + CALLER_SEED_OFFSET + index),
      isOver: () => isOver,
    }),
  );
  Object.assign(run, {schedule, startedAt});
  await Promise.all([
    runDeadlyPart(deadlyPart, servers, startedAt),
    ...schedule.map(timed => runFault(timed, startedAt, run)),
    ...limits.map(timed => runLimit(timed, servers[timed.server], startedAt)),
  ]);
  await sleep(Math.max(0, startedAt + durationMs - performance.now()));
  await waitUntil(
    'all nodes serve again',
    () => isEveryNodeReady(processes),
    RECOVERY_BOUND_MS,
  ).catch(async (error: Error) => {
    const names = await listUnreadyNodes(processes);
    violations.push(`RECOVER: ${error.message}; not ready: ${names.join()}`);
  });
  isOver = true;
  await Promise.all([...callers, ...oddCallers]);
  if (isHostile) await sleep(SETTLE_MS);
  const disturbedNodes = listDisturbedNodes(schedule, processes.nodes);
  violations.push(
    ...listViolations({
      requests,
      servers,
      startedAtMs: startedAt,
      disturbedNodes,
    }),
    ...listRunsForNobody({
      requests,
      servers: listUnheldServers(schedule, servers),
      startedAtMs: startedAt,
      disturbedNodes,
    }),
    ...listExceededLimits(
      requests,
      listUnheldServers(schedule, servers),
      disturbedNodes,
    ),
  );
  const lines = processes.nodes.flatMap(node => node.listLines());
  violations.push(
    ...listDeadlyPartFaults({
      requests,
      servers,
      partId: DEADLY_PART,
      disturbedNodes,
      lines,
    }),
  );
  for (const node of processes.nodes) {
    const codes = node.listUnexpectedExitCodes();
    if (codes.length > 0)
      violations.push(`${node.name} ended with ${codes.join()}`);
  }
  await processes.close();
  for (const server of servers) server.close();
  for (const link of links) link.close();
  proxy.close();
  store.close();
  return {
    seed,
    isHostile,
    startedAt: startedAtDate,
    violations,
    requests: requests.length,
    answered: requests.filter(item => item.answer?.status === 200).length,
    schedule,
    limits,
    deadlyPart,
    lines: violations.length > 0 ? lines : [],
  };
}

/** Starts the proxies before the servers. */
async function startLinks(seed: number): Promise<TcpProxy[]> {
  const firstSeed = seed * SEED_STRIDE + LINK_SEED_OFFSET;
  return Promise.all(
    Array.from({length: SERVER_COUNT}, (_, index) =>
      startTcpProxy({draw: createDraw(firstSeed + index)}),
    ),
  );
}

async function startServers(
  store: StoreStandin,
  links: readonly TcpProxy[],
): Promise<ServerStandin[]> {
  const serverOptions = [
    ...['app-1', 'app-2', 'app-3'].map(id => ({id, service: 'app'})),
    ...['r-1', 'r-2'].map(id => ({
      id,
      service: 'llm',
      stage: 'prefill' as const,
    })),
    ...['w-1', 'w-2', 'w-3'].map(id => ({
      id,
      service: 'llm',
      stage: 'decode' as const,
      ...(id === 'w-3' ? {eventIntervalMs: SLOW_EVENT_MS} : {}),
    })),
  ];
  return Promise.all(
    serverOptions.map((item, index) =>
      startServerStandin({
        ...item,
        zone: 'a',
        store,
        workMs: 5,
        ...(index in links ? {link: links[index]} : {}),
      }),
    ),
  );
}

function listDisturbedNodes(
  schedule: readonly TimedFault[],
  nodes: readonly NodeProcess[],
): Set<string> {
  const disturbed = nodes.filter((_, index) =>
    schedule.some(
      ({fault}) =>
        fault.kind === 'kill-all' ||
        (STOPPING_FAULTS.has(fault.kind) &&
          'node' in fault &&
          fault.node === index),
    ),
  );
  return new Set(disturbed.map(node => node.name));
}

/** Lists the servers whose requests no proxy held back, so that they arrived when they were sent. */
function listUnheldServers(
  schedule: readonly TimedFault[],
  servers: readonly ServerStandin[],
): ServerStandin[] {
  return servers.filter(
    (_, index) =>
      !schedule.some(
        ({fault}) => fault.kind === 'link' && fault.server === index,
      ),
  );
}

interface CallerRunOptions {
  readonly index: number;
  readonly nodes: readonly NodeProcess[];
  readonly requests: SoakRequest[];
  readonly draw: Draw;
  readonly deadlyDraw: Draw;
  readonly isOver: () => boolean;
  readonly chooseBody: () => string;
  /** Chooses further headers of a request. */
  readonly chooseHeaders: () => Readonly<Record<string, string>>;
}

async function runCaller(options: CallerRunOptions): Promise<void> {
  const {index, nodes, requests, draw, deadlyDraw, isOver} = options;
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let count = 0; !isOver(); count++) {
    const kind = ROUTE_NAMES[draw(ROUTE_NAMES.length)];
    const node = nodes[draw(nodes.length)];
    const id = `c${index}-${count}`;
    const isModel = kind === 'ask' || kind === 'resume';
    const sentAtMs = performance.now();
    const request = {
      id,
      kind,
      node: node.name,
      sentAtMs,
      body: options.chooseBody(),
    };
    const place = requests.push(request) - 1;
    const answer = await sendAsCaller(node.callersPort, {
      path: `/${kind}/${id}`,
      id,
      agent,
      body: request.body,
      abortAfterMs: 4_000,
      headers: options.chooseHeaders(),
      ...(isModel
        ? {tokens: '1000,9', parts: choosePrompt(id, draw, deadlyDraw)}
        : {}),
    }).catch(() => undefined);
    if (answer !== undefined) requests[place] = {...request, answer};
    await sleep(answer?.status === 200 ? 10 : 60);
  }
  agent.destroy();
}

function chooseWork(draw: Draw): Record<string, string> {
  const workMs = draw(MAX_WORK_MS);
  return draw(SLOW_ONE_IN) === 0 ? {[WORK_HEADER]: String(workMs)} : {};
}

function choosePrompt(id: string, draw: Draw, deadlyDraw: Draw): string {
  const isDeadly = deadlyDraw(DEADLY_ONE_IN) === 0;
  const deadly = isDeadly ? `${DEADLY_PART}:100,` : '';
  return `s${draw(5)}:600,${deadly}${id}:300`;
}

async function isEveryNodeReady(processes: NodeProcesses): Promise<boolean> {
  return (await listUnreadyNodes(processes)).length === 0;
}

async function listUnreadyNodes({
  nodes,
}: Pick<NodeProcesses, 'nodes'>): Promise<string[]> {
  const answers = await Promise.all(
    nodes.map(async node => {
      const ready = await fetch(
        `http://127.0.0.1:${node.readyPort}/readyz`,
      ).catch(() => undefined);
      await ready?.text();
      return ready?.status === 200;
    }),
  );
  return nodes.filter((_, index) => !answers[index]).map(node => node.name);
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
