/** Polls the platform's VM list and the engines' load reports and cache events for one node. */
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
  /** Minimum interval between two reads of the same engine's report, in milliseconds. */
  readonly intervalMs: number;
  /** Returns whether the node controls an engine, and so needs its report. */
  readonly isControlled: (server: BackendServer) => boolean;
  /** Limit on reports read per second, over all polled engines. */
  readonly maxReportsPerS: number;
  /** Returns the time until the next read of the VM list, in milliseconds. */
  readonly getListIntervalMs: () => number;
  /** Backend servers from the settings, in addition to the VM list. */
  readonly extraServers?: readonly BackendServer[];
  readonly onServers: (servers: readonly BackendServer[]) => void;
  readonly onReport: (report: EngineReport) => void;
  /** Returns the sequence number after which to read the cache events of an engine. */
  readonly getCacheSequence: (engine: string) => number;
  readonly onCacheEvents: (
    engine: string,
    events: readonly CacheEvent[],
  ) => void;
}

/** The fleet as this node knows it. */
export interface FleetWatch {
  /** Returns the VM list as last read. It is stale while the platform does not answer. */
  getVms(): readonly Vm[];
  getServers(): readonly BackendServer[];
  /** Lists the last report of each engine that has answered within the report expiry. */
  listReports(): readonly EngineReport[];
  /** Returns the client of a listed engine. Throws for an engine that is not listed. */
  getEngineClient(engine: string): EngineClient;
  start(): void;
  stop(): void;
}

/** Number of report reads of an engine for each read of its cache events. */
const REPORTS_PER_CACHE_READ = 4;
/**
 * Age from which a report is no longer listed: the engine counts as unreachable, in milliseconds.
 */
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

  /**
   * Closes the clients of unlisted servers; a server has no request in progress when it leaves the
   * list.
   */
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

  /**
   * Polls one engine. Each engine has its own timer, so one that hangs does not delay the others.
   */
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
