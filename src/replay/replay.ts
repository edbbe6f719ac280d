/**
 * Replays a trace on virtual time. The pipeline, the claims, the routing and the
 * planner are the production code; only backend servers, the log and the clock are
 * stand-ins. The same trace, policy and seed give the same result, byte for byte.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {EngineReport} from '../backends';
import {
  createDemandMeter,
  createMeteredDispatcher,
  type DemandMeter,
  planBySkiRental,
} from '../planning';
import {
  createDispatcher,
  createPolicyOptions,
  type Dispatcher,
  type DispatcherOptions,
  RoutingPolicy,
} from '../routing';
import {createVirtualClock} from '../runtime';
import {createLocalLog, createLogModel, type EngineModel} from '../standins';
import {createCallers} from './callers';
import {type EntryNode, startEntryNode} from './entry_node';
import {scheduleFaults} from './faults';
import {createReplayFleet} from './fleet';
import {
  createNetwork,
  createNodeProcess,
  createReplayEngineClient,
  createReplayServiceClient,
} from './node_environment';
import {createNodeSet} from './node_set';
import {createPlanRunner, getPlannerWeights} from './plan_runner';
import {createRecorder} from './recorder';
import {createInputFactory} from './request_input';
import {createBackendMonitor} from './backend_monitor';
import {
  type ReplayEvent,
  type ReplayOptions,
  ReplayPolicy,
  type ReplayResult,
  type ReplaySettings,
  type Trace,
} from './types';

const DEFAULT_SETTINGS: ReplaySettings = {
  reportIntervalMs: 500,
  planIntervalMs: 500,
  vmListLagMs: 1_000,
  oneWayMs: 1,
  serviceMs: 20,
  tokensPerEvent: 64,
  bucketMs: 0,
  withTimeline: false,
};
/** Time after the last deadline at which open requests count as never answered, in milliseconds. */
const ANSWER_GRACE_MS = 30_000;
const TARGET_SERIES_POINTS = 300;
const MIN_BUCKET_MS = 1_000;
/** Delay of all arrivals, in milliseconds: by then the nodes have read the log and the first reports. */
const WARM_UP_MS = 200;
/** Wait of a log read for a record, in milliseconds; nodes notice within about this time that a failed log is back. */
const LOG_READ_WAIT_MS = 1_000;
/** The same for traces without faults of the log or partitions: idle periods need fewer timers. */
const HEALTHY_LOG_READ_WAIT_MS = 20_000;
/** Interval at which unchanged reports of an idle engine are delivered, in milliseconds. */
const IDLE_REPORT_INTERVAL_MS = 5_000;
/** Wall time at the start of every replay, in milliseconds since the Unix epoch. */
const WALL_START_MS = Date.UTC(2026, 0, 3);

/** Replays a trace. */
export async function replayTrace(
  trace: Trace,
  options: ReplayOptions = {},
): Promise<ReplayResult> {
  const seed = options.seed ?? 1;
  const policy = options.policy ?? ReplayPolicy.Anvilstack;
  const settings = {...DEFAULT_SETTINGS, ...options.settings};
  const {header, requests} = trace;
  const clock = createVirtualClock({wallStartMs: WALL_START_MS});
  const getRandom = createRandom(seed);
  const timeline: ReplayEvent[] = [];
  const backendMonitor = createBackendMonitor(clock);
  const network = createNetwork();
  const log = createLogModel({clock});
  const endMs = getEndMs(trace);
  const bucketMs = settings.bucketMs || getBucketMs(endMs);
  const recorder = createRecorder(bucketMs);
  const reports = new Map<string, EngineReport>();
  const meters = new Map<EntryNode, DemandMeter>();
  const fleet = createReplayFleet({
    trace,
    settings,
    clock,
    backendMonitor,
    getRandom,
    onServers: servers => nodes.forEach(node => updateServers(node, servers)),
  });
  const nodes = createNodeSet({
    clock,
    ids: listNodeIds(header.nodes),
    startNode,
  });
  const inputs = createInputFactory(fleet.serviceNames);
  const callers = createCallers({
    clock,
    inputs,
    recorder,
    backendMonitor,
    emitEvent: event => emitEvent('callers', event),
    chooseNode: nodes.chooseNode,
    watchExit: nodes.watchExit,
  });
  const planRunner = createPlanRunner({
    clock,
    header,
    planRoles: options.planRoles ?? planBySkiRental,
    weights: {...getPlannerWeights(header), ...options.weights},
    listNodes: nodes.listRunning,
    getDemand: node => getMeter(node).getDemand(),
    listReports: holder =>
      [...reports.values()].filter(report =>
        network.getLink(holder.id, report.engine).isOpen(),
      ),
    getEngineClient: (holder, engine) =>
      createEngineClient(holder.id, holder.process, engine),
  });
  scheduleFaults(header.faults, {
    clock,
    log,
    fleet,
    network,
    listNodes: target =>
      nodes.listIds().filter(id => isFaultTarget(id, target)),
    killNode: nodes.kill,
    setNodePaused: nodes.setPaused,
    onFault: fault =>
      emitEvent('replay', {
        kind: `fault-${fault.kind}`,
        cause: `${fault.target ?? 'log'} for ${fault.for_ms ?? 'ever'} ms`,
      }),
  });
  startReports();
  if (policy === ReplayPolicy.Anvilstack) startPlans();
  startSeries();
  scheduleRequests();
  await clock.runUntil(endMs);
  callers.close();
  return {
    outcome: recorder.getOutcome({
      backendCounts: backendMonitor.getCounts(),
      seed,
      policy,
    }),
    series: recorder.listSeries(),
    timeline,
    plans: planRunner.listEvents(),
  };

  function startNode(id: string, incarnation: number): EntryNode {
    const process = createNodeProcess(clock);
    const meter = createDemandMeter({clock});
    const node = startEntryNode({
      id,
      writerId: `${id}.${incarnation}`,
      logWaitMs: getLogWaitMs(trace),
      process,
      log: createLocalLog({
        model: log,
        clock: process.clock,
        oneWayMs: settings.oneWayMs,
        isReachable: () => network.getLink(id, 'log').isOpen(),
      }),
      serviceClient: createReplayServiceClient({
        process,
        getLink: server => network.getLink(id, server),
        getService: server => fleet.services.get(server),
        oneWayMs: settings.oneWayMs,
      }),
      host: {
        getEngineClient: engine => createEngineClient(id, process, engine),
        getRandom,
        emitEvent: event => emitEvent(id, event),
        getNodeCount: () => header.nodes,
      },
      createDispatcher: host =>
        createMeteredDispatcher(
          createDispatcher(host, {
            ...getDispatcherOptions(policy),
            reportLagMs: header.report_lag_ms + settings.reportIntervalMs / 2,
          }),
          meter,
        ),
    });
    meters.set(node, meter);
    updateServers(node, fleet.listServers());
    for (const report of reports.values()) node.dispatcher.updateReport(report);
    return node;
  }

  function createEngineClient(
    node: string,
    process: EntryNode['process'],
    engine: string,
  ) {
    const model = fleet.engines.get(engine);
    if (model === undefined) throw new Error(`no engine ${engine}`);
    return createReplayEngineClient({
      process,
      model,
      link: network.getLink(node, engine),
      oneWayMs: settings.oneWayMs,
      getOutputTokens: request => getOutputTokens(trace, request.requestId),
      onTokens: (_requestId, count) => backendMonitor.recordTokens(count),
    });
  }

  function emitEvent(
    node: string,
    event: Omit<ReplayEvent, 'atMs' | 'node'>,
  ): void {
    if (!settings.withTimeline) return;
    const {kind, requestId, engine, cause} = event;
    timeline.push({
      atMs: clock.getMonotonicMs(),
      node,
      kind,
      requestId,
      engine,
      cause,
    });
  }

  function getMeter(node: EntryNode): DemandMeter {
    return meters.get(node) ?? createDemandMeter({clock});
  }

  function updateServers(
    node: EntryNode,
    servers: Parameters<Dispatcher['updateServers']>[0],
  ): void {
    node.process.run(() => {
      node.dispatcher.updateServers(servers);
      node.services.updateServers(servers);
    });
  }

  /** Reads the reports of all engines on one timer, and delivers them to all nodes. */
  function startReports(): void {
    readReports();
    runEvery(settings.reportIntervalMs, readReports);
  }

  function readReports(): void {
    for (const [id, engine] of fleet.engines) {
      if (!engine.isUp()) continue;
      const report = engine.getReport();
      const last = reports.get(id);
      if (last !== undefined && isIdleRepeat(last, report)) continue;
      reports.set(id, report);
      nodes.forEach(node => {
        if (!network.getLink(node.id, id).isOpen()) return;
        node.process.run(() => {
          node.dispatcher.updateReport(report);
          updateCacheEvents(node, id, engine);
        });
      });
    }
  }

  function updateCacheEvents(
    node: EntryNode,
    id: string,
    engine: EngineModel,
  ): void {
    const {dispatcher} = node;
    const events = engine.listCacheEvents(dispatcher.getCacheSequence(id));
    if (events.length > 0) dispatcher.updateCacheEvents(id, events);
  }

  function startPlans(): void {
    runEvery(settings.planIntervalMs, planRunner.runPlan);
  }

  function startSeries(): void {
    runEvery(bucketMs, () => {
      const statuses = [...fleet.engines.values()].map(engine =>
        engine.getStatus(),
      );
      recorder.closePoint({
        waiting: statuses.reduce((sum, status) => sum + status.waiting, 0),
        running: statuses.reduce((sum, status) => sum + status.running, 0),
        roles: fleet.listRoles(),
      });
    });
  }

  function runEvery(intervalMs: number, callback: () => void): void {
    clock.schedule(intervalMs, () => {
      callback();
      runEvery(intervalMs, callback);
    });
  }

  /** Schedules each request when the one before it is sent, so that one timer is pending at a time. */
  function scheduleRequests(index = 0): void {
    if (index >= requests.length) return;
    const request = requests[index];
    const delayMs = request.at_ms + WARM_UP_MS - clock.getMonotonicMs();
    clock.schedule(delayMs, () => {
      const atMs = clock.getMonotonicMs();
      callers.send({...request, at_ms: atMs}, index);
      scheduleRequests(index + 1);
    });
  }

  function isFaultTarget(node: string, target: string): boolean {
    return node === target || getNodeDomain(trace, node) === target;
  }

  /**
   * Returns whether a report only repeats that an engine is idle. Such a report is
   * still delivered every `IDLE_REPORT_INTERVAL_MS`, to show that the engine is alive.
   */
  function isIdleRepeat(last: EngineReport, report: EngineReport): boolean {
    if (report.running + report.waiting + last.running + last.waiting > 0) {
      return false;
    }
    if (report.state !== last.state || report.role !== last.role) return false;
    const reportsPerDelivery =
      IDLE_REPORT_INTERVAL_MS / settings.reportIntervalMs;
    return report.sequence - last.sequence < reportsPerDelivery;
  }
}

function getLogWaitMs(trace: Trace): number {
  const canLogFail = trace.header.faults.some(
    fault => fault.kind.startsWith('log') || fault.kind === 'partition',
  );
  return canLogFail ? LOG_READ_WAIT_MS : HEALTHY_LOG_READ_WAIT_MS;
}

/** Returns a node's failure domain; nodes are spread over the domains round robin. */
function getNodeDomain(trace: Trace, node: string): string {
  const domains = [
    ...new Set(trace.header.engines.map(engine => engine.failure_domain)),
  ];
  const nodeNumber = Number(node.slice(node.lastIndexOf('-') + 1));
  return domains[(nodeNumber - 1) % domains.length];
}

function listNodeIds(count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `node-${index + 1}`);
}

function getOutputTokens(trace: Trace, requestId: string): number {
  const index = /^r(\d+)\./.exec(requestId)?.[1];
  const request = index === undefined ? undefined : trace.requests[+index];
  return request?.output_tokens ?? Infinity;
}

function getEndMs(trace: Trace): number {
  let endMs = 0;
  for (const request of trace.requests) {
    endMs = Math.max(endMs, request.at_ms + request.deadline_ms);
  }
  return endMs + ANSWER_GRACE_MS;
}

function getBucketMs(endMs: number): number {
  const targetMs = endMs / TARGET_SERIES_POINTS;
  return Math.max(MIN_BUCKET_MS, Math.ceil(targetMs / 1_000) * 1_000);
}

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function getDispatcherOptions(policy: ReplayPolicy): DispatcherOptions {
  switch (policy) {
    case ReplayPolicy.Anvilstack:
    case ReplayPolicy.StaticRoles:
      return createPolicyOptions(RoutingPolicy.Predicted);
    case ReplayPolicy.RoundRobin:
      return createPolicyOptions(RoutingPolicy.RoundRobin);
    case ReplayPolicy.LeastLoaded:
      return createPolicyOptions(RoutingPolicy.LeastLoaded);
  }
}
