/** Plays the faults of a run against its processes and stand-ins. */
import type {ServerStandin} from '../platform/server_standin';
import type {StoreStandin} from '../platform/store_standin';
import {buildConfig} from '../platform/system';
import type {NodeProcess, NodeProcesses} from './gateway_processes';
import type {TimedDeadlyPart, TimedFault, TimedLimit} from './schedule';
import type {TcpProxy} from './tcp_proxy';

/** Part that crashes engines for some time of a run. */
export const DEADLY_PART = 'd0';
/** What the faults of a run affect. */
export interface SoakRun {
  readonly store: StoreStandin;
  readonly proxy: TcpProxy;
  /** Proxies before the servers, by the server's index; empty when nodes reach them directly. */
  readonly links: readonly TcpProxy[];
  readonly servers: readonly ServerStandin[];
  readonly processes: NodeProcesses;
  readonly violations: string[];
  /** Number of drains in progress, by server. */
  readonly drains: Map<ServerStandin, number>;
  version: number;
  /** Changes to the configuration, which hold for all of its versions. */
  readonly configChanges: Readonly<Record<string, unknown>>;
  schedule: readonly TimedFault[];
  startedAt: number;
}

/** Documented bound after which a draining server gets no more requests, and slack for late timers on a busy machine, in milliseconds. */
const DRAIN_BOUND_MS = 2_000;
const DRAIN_SLACK_MS = 500;
/** Time from a server's announcement that it drains until it is ready again, in milliseconds. */
const DRAIN_FAULT_MS = 4_500;
/** Faults that stop a node, cut it off from the store or hold its requests back, and how long after their end it may still be out of date, in milliseconds. */
const ISOLATING_FAULTS = new Set([
  'store',
  'store-copy',
  'proxy',
  'pause',
  'kill',
  'kill-all',
  'term',
  'term-kill',
  'term-pause',
  'pause-crash',
  'link',
]);
const ISOLATION_RECOVERY_MS = 3_000;
/** Time within which the operator and the servers write their records again, in milliseconds. */
const REWRITE_MS = 2_000;
/** Time between the signals of a planned stop, which is announced twice, in milliseconds. */
const SECOND_SIGNAL_MS = 400;
/** Time for which a server is up between two restarts, in milliseconds. */
const UP_MS = 250;
/** Time for which a server that crashes beside a paused node is down, in milliseconds. */
const CRASH_DOWN_MS = 300;

/** Plays one fault at its time. */
export async function runFault(
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
    case 'term-kill':
    case 'term-pause':
      return stopAmidDrain(processes.nodes[fault.node], fault.kind, durationMs);
    case 'hup':
      processes.nodes[fault.node].signal('SIGHUP');
      return;
    case 'pause-crash':
      processes.nodes[fault.node].signal('SIGSTOP');
      void servers[fault.server].crashFor(CRASH_DOWN_MS);
      await sleep(durationMs / 2);
      processes.nodes[fault.node].signal('SIGCONT');
      return;
    case 'restart':
      return runRestarts(servers[fault.server], timed.durationMs, fault);
    case 'link':
      run.links[fault.server].setMode(fault.mode);
      await sleep(durationMs);
      if (fault.isReset) run.links[fault.server].setMode('reset');
      run.links[fault.server].setMode('pass');
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
    case 'store-copy':
      return runStoreReturn(run, fault.ageMs, durationMs);
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
      writeConfig(run);
      return;
  }
}

/** Takes the store away and brings it back from an older copy, after which the operator and the servers write their records again. */
async function runStoreReturn(
  run: SoakRun,
  ageMs: number,
  awayMs: number,
): Promise<void> {
  const {store, servers} = run;
  store.setFault('refusing');
  await sleep(awayMs);
  store.loseRecords(ageMs);
  store.setFault('none');
  await sleep(REWRITE_MS / 4);
  run.version++;
  writeConfig(run);
  for (const server of servers) {
    await sleep(REWRITE_MS / 2 / servers.length);
    server.publish();
  }
}

function writeConfig({store, version, configChanges}: SoakRun): void {
  store.put('keyed.op', 'config', buildConfig(version, configChanges));
}

/** Lets a server state limits for some time. */
export async function runLimit(
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

/** Lets a part crash engines for some time. */
export async function runDeadlyPart(
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

/** Ends a server's process in a series, each time some time after it is back. */
async function runRestarts(
  server: ServerStandin,
  durationMs: number,
  {downMs, isUnframed}: {readonly downMs: number; readonly isUnframed: boolean},
): Promise<void> {
  const endsAt = performance.now() + durationMs;
  if (isUnframed) server.setFault('unframed');
  while (performance.now() < endsAt) {
    await sleep(UP_MS);
    await server.crashFor(downMs);
  }
  if (isUnframed) server.setFault('none');
}

/** Begins a planned stop, and pauses or kills the process soon after; in the end it runs again. */
async function stopAmidDrain(
  node: NodeProcess,
  kind: 'term-kill' | 'term-pause',
  durationMs: number,
): Promise<void> {
  const incarnation = node.getIncarnation();
  node.signal('SIGTERM');
  await sleep(durationMs / 4);
  if (node.getIncarnation() !== incarnation) return;
  if (kind === 'term-pause') {
    node.signal('SIGSTOP');
    await sleep(durationMs);
    if (node.getIncarnation() !== incarnation) return;
  }
  return replaceNode(node, kind === 'term-kill' ? 'kill' : 'term');
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
      `DRAIN: ${server.id} got ${lateIds.join()} after the drain bound, in the 2 s up to ${(nowMs / 1_000).toFixed(3)} s`,
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

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
