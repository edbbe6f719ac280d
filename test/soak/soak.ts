/** One run of the soak test: gateway processes under injected faults, whose guarantees are checked at the callers and at the servers. */
import {Agent} from 'node:http';
import {
  type ServerStandin,
  startServerStandin,
} from '../platform/server_standin';
import {startStoreStandin, type StoreStandin} from '../platform/store_standin';
import {buildConfig, sendAsCaller, waitUntil} from '../platform/system';
import {
  type NodeProcess,
  type NodeProcesses,
  startNodeProcesses,
} from './gateway_processes';
import {
  listDeadlyPartFaults,
  listExceededLimits,
  listViolations,
  type SoakRequest,
} from './violations';
import {
  buildAnswerFaults,
  buildDeadlyPart,
  buildLimits,
  buildSchedule,
  createDraw,
  type Draw,
  type TimedDeadlyPart,
  type TimedFault,
  type TimedLimit,
} from './schedule';
import {startTcpProxy, type TcpProxy} from './tcp_proxy';

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
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
}

const DEFAULT_DURATION_MS = 6_000;
const ROUTE_NAMES = ['look', 'order', 'ask', 'resume'] as const;
/** Documented bound after which a draining server gets no more requests, and slack for late timers on a busy machine, in milliseconds. */
const DRAIN_BOUND_MS = 2_000;
const DRAIN_SLACK_MS = 500;
/** Documented bound within which all nodes serve again after the last fault, in milliseconds. */
const RECOVERY_BOUND_MS = 12_000;
/** Time from a server's announcement that it drains until it is ready again, in milliseconds. */
const DRAIN_FAULT_MS = 4_500;
/** Faults that stop a node or cut it off from the store, and how long after their end it may still be out of date, in milliseconds. */
const ISOLATING_FAULTS = new Set([
  'store',
  'proxy',
  'pause',
  'kill',
  'kill-all',
  'term',
]);
const ISOLATION_RECOVERY_MS = 3_000;
/** Faults that excuse a node from the limits of servers. */
const STOPPING_FAULTS = new Set(['pause', 'kill', 'term']);
const LIMIT_SEED_OFFSET = 1_000_000;
const DEADLY_SEED_OFFSET = 2_000_000;
const ANSWER_SEED_OFFSET = 3_000_000;
/** Time between the signals of a planned stop, which is announced twice, in milliseconds. */
const SECOND_SIGNAL_MS = 400;
/** Time between the events of one decode engine, in milliseconds: its streams are still open when a stop begins. */
const SLOW_EVENT_MS = 700;
const DEADLY_PART = 'd0';
/** One of so many model requests has the deadly part. */
const DEADLY_ONE_IN = 40;

/** Runs the soak test once. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
  const nodeCount = options.nodes ?? 4;
  const draw = createDraw(options.seed);
  const store = await startStoreStandin();
  store.put('keyed.op', 'config', buildConfig(1));
  const proxy = await startTcpProxy(store.port);
  const servers = await startServers(store);
  const processes = await startNodeProcesses(nodeCount, proxy.port);
  const requests: SoakRequest[] = [];
  const violations: string[] = [];
  const run: SoakRun = {
    store,
    proxy,
    servers,
    processes,
    violations,
    drains: new Map(),
    version: 1,
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
  let isOver = false;
  const callers = Array.from({length: options.callers ?? 12}, (_, index) =>
    runCaller(index, processes.nodes, requests, draw, () => isOver, deadlyDraw),
  );
  const startedAt = performance.now();
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
  ).catch((error: Error) => violations.push(error.message));
  isOver = true;
  await Promise.all(callers);
  violations.push(
    ...listViolations(requests, servers),
    ...listExceededLimits(
      requests,
      servers,
      listDisturbedNodes(schedule, processes.nodes),
    ),
  );
  const lines = processes.nodes.flatMap(node => node.listLines());
  violations.push(
    ...listDeadlyPartFaults({
      requests,
      servers,
      partId: DEADLY_PART,
      disturbedNodes: listDisturbedNodes(schedule, processes.nodes),
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
  proxy.close();
  store.close();
  return {
    seed: options.seed,
    violations,
    requests: requests.length,
    answered: requests.filter(item => item.answer?.status === 200).length,
    schedule,
    limits,
    deadlyPart,
    lines: violations.length > 0 ? lines : [],
  };
}

async function startServers(store: StoreStandin): Promise<ServerStandin[]> {
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
    serverOptions.map(item =>
      startServerStandin({...item, zone: 'a', store, workMs: 5}),
    ),
  );
}

interface SoakRun {
  readonly store: StoreStandin;
  readonly proxy: TcpProxy;
  readonly servers: readonly ServerStandin[];
  readonly processes: NodeProcesses;
  readonly violations: string[];
  /** Number of drains in progress, by server. */
  readonly drains: Map<ServerStandin, number>;
  version: number;
  schedule: readonly TimedFault[];
  startedAt: number;
}

async function runFault(
  timed: TimedFault,
  startedAt: number,
  run: SoakRun,
): Promise<void> {
  await sleep(Math.max(0, startedAt + timed.atMs - performance.now()));
  const {fault, durationMs} = timed;
  const {store, proxy, servers, processes} = run;
  switch (fault.kind) {
    case 'kill':
    case 'term':
      return replaceNode(processes.nodes[fault.node], fault.kind);
    case 'kill-all':
      await Promise.all(processes.nodes.map(node => replaceNode(node, 'kill')));
      return;
    case 'pause':
      processes.nodes[fault.node].signal('SIGSTOP');
      await sleep(durationMs);
      processes.nodes[fault.node].signal('SIGCONT');
      return;
    case 'store':
      store.setFault(fault.fault);
      await sleep(durationMs);
      store.setFault('none');
      return;
    case 'compact':
      store.compact('keyed.servers');
      store.compact('keyed.op');
      return;
    case 'proxy':
      proxy.setMode(fault.mode);
      await sleep(durationMs);
      proxy.setMode('pass');
      return;
    case 'server':
      servers[fault.server].setFault(fault.fault);
      await sleep(durationMs);
      servers[fault.server].setFault('none');
      return;
    case 'drain':
      return drainServer(servers[fault.server], run);
    case 'config':
      run.version++;
      store.put('keyed.op', 'config', buildConfig(run.version));
      return;
  }
}

async function runLimit(
  {atMs, durationMs, limitsPerS}: TimedLimit,
  server: ServerStandin,
  startedAt: number,
): Promise<void> {
  await sleep(Math.max(0, startedAt + atMs - performance.now()));
  for (const limitPerS of limitsPerS) {
    server.setLimit(limitPerS);
    await sleep(durationMs / 2);
  }
  server.setLimit(undefined);
}

async function runDeadlyPart(
  timed: TimedDeadlyPart | undefined,
  servers: readonly ServerStandin[],
  startedAt: number,
): Promise<void> {
  if (timed === undefined) return;
  const {atMs, durationMs, downMs} = timed;
  await sleep(Math.max(0, startedAt + atMs - performance.now()));
  for (const server of servers) server.setDeadlyParts([DEADLY_PART], downMs);
  await sleep(durationMs);
  for (const server of servers) server.setDeadlyParts([], downMs);
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

/**
 * Ends a node's process and starts it again, unless that has happened
 * meanwhile. Callers keep using open connections until the process has exited.
 */
async function replaceNode(
  node: NodeProcess,
  kind: 'kill' | 'term',
): Promise<void> {
  const incarnation = node.getIncarnation();
  node.signal('SIGCONT');
  node.signal(kind === 'kill' ? 'SIGKILL' : 'SIGTERM');
  // Another fault may restart the node meanwhile.
  const hasEnded = node.waitForExit();
  if (kind === 'term') {
    await sleep(SECOND_SIGNAL_MS);
    if (node.getIncarnation() === incarnation) node.signal('SIGTERM');
  }
  await hasEnded;
  await sleep(100);
  if (node.getIncarnation() === incarnation) node.start();
}

/** Drains a server and checks that no request reaches it after the drain bound. */
async function drainServer(server: ServerStandin, run: SoakRun): Promise<void> {
  const {drains} = run;
  drains.set(server, (drains.get(server) ?? 0) + 1);
  server.publish('draining');
  await sleep(DRAIN_BOUND_MS + DRAIN_SLACK_MS);
  const before = server.runs.length;
  await sleep(DRAIN_FAULT_MS - DRAIN_BOUND_MS - DRAIN_SLACK_MS);
  const lateIds = server.runs.slice(before).map(run => run.id);
  const nowMs = performance.now() - run.startedAt;
  if (
    lateIds.length > 0 &&
    !isIsolationPossible(run, nowMs - DRAIN_FAULT_MS, nowMs)
  ) {
    run.violations.push(
      `${server.id} got ${lateIds.join()} after the drain bound`,
    );
  }
  const othersCount = (drains.get(server) ?? 1) - 1;
  drains.set(server, othersCount);
  if (othersCount === 0) server.publish('ready');
}

/**
 * Returns whether a fault may have isolated nodes in the interval. The drain
 * bound holds only for nodes that have run and reached the store for some
 * seconds.
 */
function isIsolationPossible(
  run: SoakRun,
  fromMs: number,
  toMs: number,
): boolean {
  return run.schedule.some(
    ({atMs, durationMs, fault}) =>
      ISOLATING_FAULTS.has(fault.kind) &&
      atMs < toMs &&
      atMs + durationMs + ISOLATION_RECOVERY_MS > fromMs,
  );
}

async function runCaller(
  index: number,
  nodes: readonly NodeProcess[],
  requests: SoakRequest[],
  draw: Draw,
  isOver: () => boolean,
  deadlyDraw: Draw,
): Promise<void> {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  for (let count = 0; !isOver(); count++) {
    const kind = ROUTE_NAMES[draw(ROUTE_NAMES.length)];
    const node = nodes[draw(nodes.length)];
    const id = `c${index}-${count}`;
    const isModel = kind === 'ask' || kind === 'resume';
    const request = {id, kind, node: node.name};
    const place = requests.push(request) - 1;
    const answer = await sendAsCaller(node.callersPort, {
      path: `/${kind}/${id}`,
      id,
      agent,
      abortAfterMs: 4_000,
      ...(isModel
        ? {tokens: '1000,9', parts: choosePrompt(id, draw, deadlyDraw)}
        : {}),
    }).catch(() => undefined);
    if (answer !== undefined) requests[place] = {...request, answer};
    await sleep(answer?.status === 200 ? 10 : 60);
  }
  agent.destroy();
}

function choosePrompt(id: string, draw: Draw, deadlyDraw: Draw): string {
  const isDeadly = deadlyDraw(DEADLY_ONE_IN) === 0;
  const deadly = isDeadly ? `${DEADLY_PART}:100,` : '';
  return `s${draw(5)}:600,${deadly}${id}:300`;
}

async function isEveryNodeReady(processes: NodeProcesses): Promise<boolean> {
  const answers = await Promise.all(
    processes.nodes.map(async node => {
      const ready = await fetch(
        `http://127.0.0.1:${node.readyPort}/readyz`,
      ).catch(() => undefined);
      await ready?.text();
      return ready?.status === 200;
    }),
  );
  return answers.every(Boolean);
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
