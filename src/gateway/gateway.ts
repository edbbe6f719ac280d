/** Assembles the components of a gateway process and starts and stops them in order. */
import type {Logger} from '../diagnostics/log';
import {type DutyClient, DutyKind} from '../duties';
import type {Clock} from '../runtime/types';
import {type AccountShares, createAccountShares} from '../shares';
import {createAuthority} from './authority';
import {createCallerAdmission} from './caller_admission';
import {createConnections} from './connections';
import {createControlListeners} from './control_listener';
import {createCrashGuard} from './crash_guard';
import {createDrain} from './drain';
import {createEngineSpeedEstimator} from './engine_speed_estimator';
import {createExchangeRouter} from './exchange_router';
import {createFleetDemand, PLANNER_COUNT} from './fleet_demand';
import {createFleetState} from './fleet_state';
import type {FlowContext} from './flow_context';
import {createFrontListener} from './front_listener';
import {createGatewayMetrics} from './gateway_metrics';
import {createEngineAffinity} from './engine_affinity';
import {createProcessChecks} from './process_check';
import {createPeerMessageHandler} from './peer_message_handler';
import {createPeerReach} from './peer_reach';
import {createPeers} from './peers';
import {createPrefillQueues} from './prefill_queues';
import {createPrefixDirectory} from './prefix_directory';
import {createRetryShares} from './retry_shares';
import {createHealthTracker} from './server_health';
import {createServerLimits} from './server_limits';
import {createServerNotices} from './server_notices';
import {createServerPauses} from './server_pauses';
import {createServerScaling} from './server_scaling';
import {createServiceLoads} from './service_loads';
import type {Address, GatewaySettings} from './settings';
import {tryFetchSnapshot} from './snapshot_client';
import {createStageControl} from './stage_control';
import {createStoreFollower} from './store_follower';
import {createStreamCounts} from './stream_counts';
import {
  type BackendProtocol,
  DEFAULT_CALLER_LIMITS,
  type EntryChange,
  type FleetStore,
  type NodeRecord,
} from './types';
import type {UnframedEnd} from './unframed_end';
import {createWaitingPrompts} from './waiting_prompts';

/** A gateway process. */
export interface Gateway {
  start(): Promise<void>;
  /** Drains the gateway: reports not ready, stops listening once the load balancer has noticed, and resolves when all open requests have ended or the shutdown time is over. */
  stop(): Promise<void>;
  /** Closes everything immediately, including open requests. */
  kill(): void;
}

/** Options of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly store: FleetStore;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Absent when the process makes no calls for duties. */
  readonly dutyClient?: DutyClient;
  readonly getRandom?: () => number;
}

/** How long the load balancer may still open connections after SIGTERM, in milliseconds: two failed readiness checks and their interval. */
const BALANCER_DRAIN_MS = 3_200;
/** Interval at which a stopping gateway checks for open requests, in milliseconds. */
const STOP_CHECK_MS = 50;
/** Reserve between the end of the drain and SIGKILL, in milliseconds. */
const SHUTDOWN_MARGIN_MS = 500;
/** Maximum age of the store's state with which stages are planned, in milliseconds. */
const MAX_PLANNING_AGE_MS = 2_000;
/** Reasons of failures that are reported to the other nodes: otherwise each of them would lose a request to find out. */
const SHARED_FAILURE_REASONS = new Set(['connect', 'stalled']);

/** Creates a gateway. */
export function createGateway(options: GatewayOptions): Gateway {
  const {settings, store, protocol, clock, logger} = options;
  const getRandom = options.getRandom ?? Math.random;
  const self: NodeRecord = {
    name: settings.nodeName,
    host: settings.host,
    peerPort: settings.peerPort,
    controlPort: settings.control.port,
    failureDomain: settings.failureDomain,
  };
  const metrics = createGatewayMetrics();
  const state = createFleetState();
  const pauses = createServerPauses(clock);
  const speeds = createEngineSpeedEstimator();
  const prefillQueues = createPrefillQueues();
  const streams = createStreamCounts();
  const loads = createServiceLoads();
  const peers = createPeers({
    self,
    logger,
    clock,
    getRandom,
    onMessage: message => messageHandler.handle(message),
  });
  const reach = createPeerReach({
    nodeName: self.name,
    clock,
    getRandom,
    peers,
  });
  const limits = createServerLimits({
    nodeName: self.name,
    clock,
    logger,
    metrics,
    getReach: reach.getFraction,
    notify: peers.notify,
  });
  const notices = createServerNotices({
    protocol,
    state,
    pauses,
    limits,
    peers,
    logger,
  });
  const connections = createConnections({
    onCall: notices.recordCall,
    onUnframedEnd: logUnframedEnd,
    onInvalidAnswer: (server, detail, requestId) => {
      metrics.recordInvalidAnswer(server.service);
      logger.log('warn', 'backend server sent bytes that are no answer', {
        serverId: server.id,
        requestId,
        detail,
      });
    },
    clock,
    checks: createProcessChecks({protocol, state, pauses, limits}),
  });
  const health = createHealthTracker({
    clock,
    logger,
    getRandom,
    onEjected: (serverId, reason) => {
      if (!SHARED_FAILURE_REASONS.has(reason)) return;
      peers.notify({kind: 'suspect', serverId, reason});
    },
  });
  const crashGuard = createCrashGuard({
    nodeName: self.name,
    clock,
    logger,
    metrics,
    store,
    getRandom,
    isFirstStart: settings.isFirstStart,
    isReader: () => follower.isReader(),
    checkProcess: connections.checkProcess,
    notify: peers.notify,
  });
  const follower = createStoreFollower({
    nodeName: self.name,
    store,
    state,
    peers,
    clock,
    logger,
    speeds,
    fetchSnapshot: loadSnapshot,
    listQuarantine: crashGuard.listEntries,
    getRandom,
    onChange: handleFleetChange,
  });
  const isScaling = settings.duties?.kinds.includes(DutyKind.Scaling) === true;
  const demand = createFleetDemand({
    nodeName: self.name,
    clock,
    peers,
    tryCreateAccountReport: () => shares.tryCreateReport(),
    ...(isScaling
      ? {
          scaling: {
            failureDomain: settings.failureDomain,
            isScaled: service =>
              state.tryGetService(service)?.scaling !== undefined,
          },
        }
      : {}),
  });
  const shares: AccountShares = createAccountShares({
    nodeName: self.name,
    clock,
    logger,
    hasAccounts: () => state.tryGetAccounts() !== undefined,
    tryCountPlannersBefore: () => {
      const count = peers.countLowerNames();
      return count < PLANNER_COUNT ? count : undefined;
    },
    listReports: demand.listAccountReports,
    notify: plan =>
      peers.notify({kind: 'account-shares', from: self.name, plan}),
  });
  const authority = createAuthority({
    nodeName: self.name,
    store,
    clock,
    leaseMs: settings.bounds.leaseMs,
  });
  const isStateCurrent = () => follower.getAgeMs() < MAX_PLANNING_AGE_MS;
  const scaling = createServerScaling({
    settings,
    dutyClient: options.dutyClient,
    authority,
    state,
    demand,
    peers,
    metrics,
    clock,
    logger,
    isStateCurrent,
  });
  const prefixes = scaling.observePrefixes(createPrefixDirectory(getKvTokens));
  const stages = createStageControl({
    nodeName: self.name,
    state,
    authority,
    connections,
    pauses,
    limits,
    protocol,
    clock,
    logger,
    countNodesBefore: peers.countLowerNames,
    tryGetLoad: demand.tryGetLoad,
    isStateCurrent,
    onOrder: (serverId, stage) =>
      peers.notify({kind: 'ordered', serverId, stage}),
  });
  const context: FlowContext = {
    nodeName: self.name,
    path: {
      localDomain: settings.failureDomain,
      hasConnection: connections.hasIdle,
    },
    state,
    connections,
    protocol,
    clock,
    metrics,
    health,
    pauses,
    limits,
    crashGuard,
    speeds,
    prefillQueues,
    prefixes,
    affinity: createEngineAffinity(),
    isHomeCacheWarm: !settings.isFirstStart,
    streams,
    demand,
    shares,
    waitingPrompts: createWaitingPrompts({
      clock,
      getRandom,
      countPeers: peers.count,
      countEngines: state.countEngines,
    }),
    isChangingStage: stages.isChanging,
    getRandom,
    getRetryBudget: createRetryShares({
      bounds: settings.bounds,
      countNodes: () => peers.count() + 1,
    }),
    countPeers: peers.count,
    notifyPeers: peers.notify,
  };
  const messageHandler = createPeerMessageHandler({
    self,
    store,
    state,
    peers,
    clock,
    logger,
    follower,
    stages,
    scaling,
    demand,
    shares,
    speeds,
    prefillQueues,
    prefixes,
    streams,
    health,
    limits,
    reach,
    crashGuard,
  });
  const drain = createDrain({
    clock,
    durationMs: settings.bounds.shutdownMs - SHUTDOWN_MARGIN_MS,
  });
  const router = createExchangeRouter({
    context,
    loads,
    admission: createCallerAdmission({
      state,
      bounds: settings.bounds,
      getStateAgeMs: follower.getAgeMs,
    }),
    drain,
    logger,
  });
  const front = createFrontListener({
    address: settings.callers,
    protocol,
    clock,
    logger,
    limits: DEFAULT_CALLER_LIMITS,
    onExchange: router.handle,
  });
  const control = createControlListeners({
    readiness: settings.readiness,
    control: settings.control,
    isReady,
    getSnapshot: () => ({
      ...follower.getSnapshot(),
      nodes: [self, ...peers.list()],
      speeds: speeds.listEstimates(),
      quarantine: crashGuard.listEntries(),
    }),
    renderMetrics: metrics.render,
  });
  let isStopping = false;
  addGauges();
  return {start, stop, kill};

  async function start(): Promise<void> {
    await Promise.all([front.open(), control.open(), peers.open()]);
    follower.start();
    stages.start();
    scaling.start();
    demand.start();
    shares.start();
    crashGuard.start();
    void messageHandler.registerSelf();
    logger.log('info', 'gateway started', {
      callers: `${settings.callers.host}:${settings.callers.port}`,
      failureDomain: settings.failureDomain,
    });
  }

  async function stop(): Promise<void> {
    isStopping = true;
    messageHandler.stop();
    drain.start();
    logger.log('info', 'gateway stopping', {openRequests: front.countOpen()});
    front.startDraining();
    await clock.sleep(BALANCER_DRAIN_MS);
    front.stopListening();
    while (front.countOpen() > 0 && drain.getRemainingMs() > 0) {
      await clock.sleep(STOP_CHECK_MS);
    }
    const cutRequests = front.countOpen();
    router.expireAll();
    if (cutRequests > 0) await clock.sleep(STOP_CHECK_MS);
    logger.log('info', 'gateway stopped', {openRequests: cutRequests});
    kill();
  }

  function logUnframedEnd({isComplete, path, ...end}: UnframedEnd): void {
    logger.log('info', 'answer without a length ended', {
      outcome: isComplete ? 'complete' : 'broken',
      // The paths of callers are not logged.
      ...(end.requestId === undefined ? {path} : {}),
      ...end,
    });
  }

  function kill(): void {
    isStopping = true;
    messageHandler.stop();
    follower.stop();
    stages.stop();
    scaling.stop();
    demand.stop();
    shares.stop();
    reach.stop();
    crashGuard.stop();
    front.close();
    control.close();
    peers.close();
    connections.close();
  }

  function isReady(): boolean {
    return (
      !isStopping &&
      state.getConfig() !== undefined &&
      state.listEntries().length > 0
    );
  }

  async function loadSnapshot(knownVersion: number, nodeName?: string) {
    const node = nodeName === undefined ? undefined : peers.tryFind(nodeName);
    const addresses =
      node === undefined
        ? settings.seeds.filter(seed => !isSelf(seed))
        : [{host: node.host, port: node.controlPort}];
    for (const address of addresses) {
      const snapshot = await tryFetchSnapshot(address, knownVersion);
      if (snapshot === undefined) continue;
      messageHandler.addNodes(snapshot.nodes ?? []);
      speeds.addEstimates(snapshot.speeds ?? []);
      crashGuard.mergeEntries(snapshot.quarantine ?? []);
      return snapshot;
    }
    return undefined;
  }

  function isSelf(address: Address): boolean {
    const {host, port} = settings.control;
    return address.host === host && address.port === port;
  }

  function handleFleetChange(
    changes: readonly EntryChange[],
    isConfigNew: boolean,
  ): void {
    const config = state.getConfig();
    if (isConfigNew && config !== undefined) front.setLimits(config.limits);
    if (changes.length === 0) return;
    for (const {id, entry} of changes) {
      if (entry !== undefined) continue;
      prefixes.remove(id);
      prefillQueues.removeServer(id);
      streams.removeServer(id);
      health.remove(id);
      loads.remove(id);
    }
    const listedIds = new Set(state.listEntries().map(entry => entry.id));
    connections.retainOnly(listedIds);
    limits.retainOnly(listedIds);
  }

  function getKvTokens(serverId: string): number {
    const entry = state.tryGetUsable(serverId);
    const service =
      entry === undefined ? undefined : state.tryGetService(entry.service);
    return service?.engine?.kvTokens ?? 0;
  }

  function addGauges(): void {
    metrics.addGauge(
      'anvilstack_gateway_state_age_ms',
      'Age of the store state that this node has.',
      follower.getAgeMs,
    );
    metrics.addGauge(
      'anvilstack_gateway_open_requests',
      'Requests that have not ended yet.',
      front.countOpen,
    );
    metrics.addGauge(
      'anvilstack_gateway_connections_opened',
      'Connections to backend servers opened since the process started.',
      connections.countOpened,
    );
    metrics.addGauge(
      'anvilstack_gateway_limited_servers',
      'Servers that state a limit on the rate of requests.',
      limits.count,
    );
    metrics.addGauge(
      'anvilstack_gateway_quarantined_parts',
      'Prompt parts that are kept away from engines.',
      crashGuard.countActive,
    );
    metrics.addGauge(
      'anvilstack_gateway_nodes',
      'Number of other known nodes.',
      peers.count,
    );
  }
}
