/** The task that keeps the backend servers and the engines' load reports up to date. */
import {
  type BackendServer,
  createHttpEngineClient,
  type EngineClient,
  type EngineReport,
} from '../backends';
import type {EventRing} from '../diagnostics';
import type {Vm, VmList} from '../platform';
import type {Clock} from '../runtime';
import {getBackendServers} from './fleet_view';

/** Options of the task. */
export interface FleetWatchOptions {
  readonly clock: Clock;
  readonly vmList: VmList;
  readonly events: EventRing;
  /** Time between two reads of the engines' reports, in milliseconds. */
  readonly intervalMs: number;
  /** Returns the time until the next read of the VM list, in milliseconds. */
  readonly getListIntervalMs: () => number;
  readonly onServers: (servers: readonly BackendServer[]) => void;
  readonly onReport: (report: EngineReport) => void;
}

/** The fleet as this node knows it. */
export interface FleetWatch {
  /** Returns the VM list as last read; it may be old. */
  getVms(): readonly Vm[];
  getServers(): readonly BackendServer[];
  listReports(): readonly EngineReport[];
  /** Returns the client of an engine that is or was in the list. */
  getEngineClient(engine: string): EngineClient;
  start(): void;
  stop(): void;
}

/** Creates the task. */
export function createFleetWatch(options: FleetWatchOptions): FleetWatch {
  const {clock, vmList, events} = options;
  const clients = new Map<string, EngineClient>();
  const reports = new Map<string, EngineReport>();
  let vms: readonly Vm[] = [];
  let servers: readonly BackendServer[] = [];
  let isRunning = false;
  let isListHealthy = true;
  return {
    getVms: () => vms,
    getServers: () => servers,
    listReports: () => [...reports.values()],
    getEngineClient,
    start,
    stop,
  };

  function start(): void {
    isRunning = true;
    void watchList();
    void watchReports();
  }

  function stop(): void {
    isRunning = false;
    for (const client of clients.values()) client.close();
  }

  async function watchList(): Promise<void> {
    while (isRunning) {
      await readVmList();
      await clock.sleep(options.getListIntervalMs());
    }
  }

  async function watchReports(): Promise<void> {
    while (isRunning) {
      await Promise.all(servers.filter(isEngine).map(readReport));
      await clock.sleep(options.intervalMs);
    }
  }

  async function readVmList(): Promise<void> {
    const answer = await vmList.list();
    if (answer.ok !== isListHealthy) reportListHealth(answer.ok);
    if (answer.err || !isRunning) return;
    vms = answer.val;
    servers = getBackendServers(vms);
    closeUnlisted();
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
  function closeUnlisted(): void {
    const listed = new Set(servers.map(server => server.id));
    for (const [id, client] of clients) {
      if (listed.has(id)) continue;
      client.close();
      clients.delete(id);
      reports.delete(id);
    }
  }

  async function readReport(server: BackendServer): Promise<void> {
    const report = await getEngineClient(server.id).getReport();
    if (report.err || !isRunning) return;
    reports.set(server.id, report.val);
    options.onReport(report.val);
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

function isEngine(server: BackendServer): boolean {
  return server.kind === 'model_engine';
}
