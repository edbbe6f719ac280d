/** Keeps the backend servers and the engines' load reports of one node up to date. */
import {
  type BackendServer,
  type CacheEvent,
  createHttpEngineClient,
  type EngineClient,
  type EngineReport,
} from '../backends';
import type {EventRing} from '../diagnostics';
import type {Vm, VmList} from '../control_services';
import type {Clock, Timer} from '../runtime';
import {getBackendServers} from './fleet_view';
import {selectPolledEngines} from './polled_engines';

/** Options of the task. */
export interface FleetWatchOptions {
  readonly clock: Clock;
  /** Name of the node. */
  readonly node: string;
  readonly vmList: VmList;
  readonly events: EventRing;
  /** Time between two reports of an engine, in milliseconds. */
  readonly intervalMs: number;
  /** Returns whether the node controls an engine, and so needs its report. */
  readonly isControlled: (server: BackendServer) => boolean;
  /** Reports read in a second, of all engines together. */
  readonly maxReportsPerS: number;
  /** Returns the time until the next read of the VM list, in milliseconds. */
  readonly getListIntervalMs: () => number;
  /** Backend servers from the settings, besides those in the VM list. */
  readonly extraServers?: readonly BackendServer[];
  readonly onServers: (servers: readonly BackendServer[]) => void;
  readonly onReport: (report: EngineReport) => void;
  /** Returns the sequence after which cache events of an engine are wanted. */
  readonly getCacheSequence: (engine: string) => number;
  readonly onCacheEvents: (
    engine: string,
    events: readonly CacheEvent[],
  ) => void;
}

/** The fleet as this node knows it. */
export interface FleetWatch {
  /** Returns the VM list as last read; it may be old. */
  getVms(): readonly Vm[];
  getServers(): readonly BackendServer[];
  /** Lists the last report of each engine that has answered lately. */
  listReports(): readonly EngineReport[];
  /** Returns the client of an engine that is or was in the list. */
  getEngineClient(engine: string): EngineClient;
  start(): void;
  stop(): void;
}

/** Cache events are read with every so many reports of an engine. */
const REPORTS_PER_CACHE_READ = 4;
/** An engine that has not reported for so long counts as out of reach, in milliseconds. */
const REPORT_EXPIRY_MS = 10_000;

interface Poller {
  timer: Timer | undefined;
  reads: number;
}

/** Creates the task; it reads nothing before `start`. */
export function createFleetWatch(options: FleetWatchOptions): FleetWatch {
  const {clock, vmList, events} = options;
  const clients = new Map<string, EngineClient>();
  const reports = new Map<string, {report: EngineReport; atMs: number}>();
  const pollers = new Map<string, Poller>();
  let vms: readonly Vm[] = [];
  let servers: readonly BackendServer[] = [];
  let isRunning = false;
  let isListHealthy = true;
  return {
    getVms: () => vms,
    getServers: () => servers,
    listReports,
    getEngineClient,
    start,
    stop,
  };

  function start(): void {
    isRunning = true;
    void watchVmList();
  }

  function stop(): void {
    isRunning = false;
    for (const poller of pollers.values()) poller.timer?.cancel();
    for (const client of clients.values()) client.close();
  }

  async function watchVmList(): Promise<void> {
    while (isRunning) {
      await readVmList();
      await clock.sleep(options.getListIntervalMs());
    }
  }

  async function readVmList(): Promise<void> {
    const answer = await vmList.list();
    if (answer.ok !== isListHealthy) reportListHealth(answer.ok);
    if (answer.err || !isRunning) return;
    vms = answer.val;
    servers = [...getBackendServers(vms), ...(options.extraServers ?? [])];
    closeUnlistedClients();
    updatePollers();
    options.onServers(servers);
  }

  function reportListHealth(isHealthy: boolean): void {
    isListHealthy = isHealthy;
    events.emit({
      kind: isHealthy ? 'vm-list-back' : 'vm-list-out',
      cause: isHealthy
        ? 'the VM list answers again'
        : 'the VM list does not answer; the last one read stays in force',
    });
  }

  /** A server that has left the list has nothing in progress by then. */
  function closeUnlistedClients(): void {
    const listed = new Set(servers.map(server => server.id));
    for (const [id, client] of clients) {
      if (listed.has(id)) continue;
      client.close();
      clients.delete(id);
      reports.delete(id);
    }
  }

  function updatePollers(): void {
    const {node, isControlled} = options;
    const polled = selectPolledEngines({node, servers, isControlled});
    for (const [engine, poller] of pollers) {
      if (polled.has(engine)) continue;
      poller.timer?.cancel();
      pollers.delete(engine);
    }
    for (const engine of polled) {
      if (pollers.has(engine)) continue;
      const poller: Poller = {timer: undefined, reads: 0};
      pollers.set(engine, poller);
      void watchEngine(engine, poller);
    }
  }

  /** Each engine is asked on its own, so that one that hangs holds up no other. */
  async function watchEngine(engine: string, poller: Poller): Promise<void> {
    const isCacheRead = poller.reads++ % REPORTS_PER_CACHE_READ === 0;
    await Promise.all([
      readReport(engine),
      isCacheRead ? readCacheEvents(engine) : undefined,
    ]);
    if (!isRunning || pollers.get(engine) !== poller) return;
    const intervalMs = Math.max(
      options.intervalMs,
      (pollers.size * 1_000) / options.maxReportsPerS,
    );
    poller.timer = clock.schedule(
      intervalMs,
      () => void watchEngine(engine, poller),
    );
  }

  async function readReport(engine: string): Promise<void> {
    const report = await getEngineClient(engine).getReport();
    if (report.err || !isRunning || !pollers.has(engine)) return;
    reports.set(engine, {report: report.val, atMs: clock.getMonotonicMs()});
    options.onReport(report.val);
  }

  async function readCacheEvents(engine: string): Promise<void> {
    const afterSequence = options.getCacheSequence(engine);
    const cacheEvents =
      await getEngineClient(engine).listCacheEvents(afterSequence);
    if (cacheEvents.err || !isRunning || !pollers.has(engine)) return;
    if (cacheEvents.val.length === 0) return;
    options.onCacheEvents(engine, cacheEvents.val);
  }

  function listReports(): EngineReport[] {
    const oldestMs = clock.getMonotonicMs() - REPORT_EXPIRY_MS;
    return [...reports.values()]
      .filter(item => item.atMs >= oldestMs)
      .map(item => item.report);
  }

  function getEngineClient(engine: string): EngineClient {
    const known = clients.get(engine);
    if (known !== undefined) return known;
    const server = servers.find(item => item.id === engine);
    if (server === undefined) throw new Error(`engine ${engine} is not listed`);
    const client = createHttpEngineClient({server, clock});
    clients.set(engine, client);
    return client;
  }
}
