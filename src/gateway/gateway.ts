/** Assembles the components of a gateway process and starts and stops them in order. */
import {
  createServerCapacities,
  createServiceTimes,
  MAX_TOLD_SERVERS,
} from '../capacity';
import type {Logger} from '../diagnostics/log';
import {createAuthority, DutyKind} from '../duties';
import {createExplainResponder, buildExplanation} from '../explain';
import {PLANNER_COUNT} from '../planning/planner_count';
import {setOldHeapSmall} from '../runtime/small_heap';
import type {Clock} from '../runtime/types';
import {type AccountShares, createAccountShares} from '../shares';
import {recordAssumedEnd} from './assumed_end';
import {createCallerAdmission} from './caller_admission';
import {createConnections} from './connections';
import {createControlListeners} from './control_listener';
import {createCrashGuard} from './crash_guard';
import {createDrain} from './drain';
import {createEngineLiveness} from './engine_liveness';
import {createEngineSpeedEstimator} from './engine_speed_estimator';
import {createExchangeRouter} from './exchange_router';
import {createFleetDemand} from './fleet_demand';
import {createFleetState} from './fleet_state';
import type {FlowContext} from './flow_context';
import {createFrontListener} from './front_listener';
import {createGatewayDuties, type DutyPlatform} from './gateway_duties';
import {addGatewayGauges} from './gateway_gauges';
import {createGatewayMetrics} from './gateway_metrics';
import {createEngineAffinity} from './engine_affinity';
import {createHeldMemory} from './held_memory';
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
import type {Address, GatewaySettings} from './settings';
import {loadSnapshotFrom} from './snapshot_client';
import {createSnapshotSource} from './snapshot_source';
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
  readonly getRandom?: () => number;
  /** The platform's interface for duties; used where the settings name duties. */
  readonly duties?: DutyPlatform;
  /** False when all servers of a service are treated as equally fast; by default their speeds are learned. */
  readonly learnsServerSpeeds?: boolean;
}

/** How long the load balancer may still open connections after SIGTERM, in milliseconds: two failed readiness checks and their interval. */
const BALANCER_DRAIN_MS = 3_200;
/** Interval at which a stopping gateway checks for open requests, in milliseconds. */
const STOP_CHECK_MS = 50;
/** Reserve between the end of the drain and SIGKILL, in milliseconds. */
const SHUTDOWN_MARGIN_MS = 500;
/** Maximum age of the store's state with which stages are planned, in milliseconds. */
const MAX_PLANNING_AGE_MS = 2_000;
/** Time after the start in which a node does not know the queues that the others fill, in milliseconds: callers wait for 2 s, so prompts from before have ended by then. */
const FRESH_MS = 3_000;
/** Longest delay of the registration when the store gives no state, in milliseconds: other nodes may have it. */
const MAX_REGISTER_DELAY_MS = 300;
const REGISTER_CHECK_MS = 10;
/** Maximum number of servers in the gauge of their speeds. */
const MAX_GAUGE_SERVERS = 100;
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
  const createdAtMs = clock.getMonotonicMs();
  const metrics = createGatewayMetrics();
  const memory = createHeldMemory({
    memoryMb: settings.memoryMb,
    clock,
    logger,
    metrics,
    onPressure: setOldHeapSmall,
  });
  const state = createFleetState();
  const pauses = createServerPauses(clock);
  const speeds = createEngineSpeedEstimator();
  const capacities = createServerCapacities({
    clock,
    logger,
    getServiceFactor: service => {
      const isEngine = state.tryGetService(service)?.engine !== undefined;
      return isEngine ? speeds.getEngineFactor(service) : 1;
    },
    onChanged: metrics.recordCapacityChange,
    isEnabled: options.learnsServerSpeeds ?? true,
  });
  const prefillQueues = createPrefillQueues(job =>
    recordAssumedEnd({state, speeds, capacities}, job),
  );
  const streams = createStreamCounts();
  const peers = createPeers({
    self,
    engines: state,
    logger,
    clock,
    getRandom,
    onMessage: message => messageHandler.handle(message),
  });
  const snapshots = createSnapshotSource({
    seeds: settings.seeds.filter(seed => !isSelf(seed)),
    peers,
    getRandom,
    fetch: loadSnapshotFrom,
  });
  const serviceTimes = createServiceTimes({clock, countPeers: peers.count});
  const reach = createPeerReach({nodeName: self.name, clock, getRandom, peers});
  const limits = createServerLimits({
    nodeName: self.name,
    clock,
    logger,
    metrics,
    getReach: reach.getFraction,
    predictReach: reach.predictFraction,
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
    turns: memory.turns,
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
  const liveness = createEngineLiveness({
    clock,
    logger,
    metrics,
    connections,
    protocol,
    health,
    pauses,
    limits,
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
    capacities,
    fetchSnapshot: loadSnapshot,
    listQuarantine: crashGuard.listEntries,
    getRandom,
    onChange: handleFleetChange,
    onEraRise: handleEraRise,
  });
  const isScaling = settings.duties?.kinds.includes(DutyKind.Scaling) === true;
  const demand = createFleetDemand({
    nodeName: self.name,
    clock,
    peers,
    tryCreateAccountReport: () => shares.tryCreateReport(),
    listMeasured: capacities.listMeasured,
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
  const {usage, client: dutyClient} = createGatewayDuties({
    ...(options.duties === undefined ? {} : {platform: options.duties}),
    ...(settings.duties === undefined ? {} : {settings: settings.duties}),
    nodeName: self.name,
    authority,
    peers,
    metrics,
    clock,
    logger,
    getRandom,
    getEra: store.getEra,
  });
  const scaling = createServerScaling({
    settings,
    dutyClient,
    authority,
    state,
    demand,
    peers,
    metrics,
    clock,
    logger,
    isStateCurrent,
  });
  const prefixes = scaling.observePrefixes(
    createPrefixDirectory(state.getKvTokens),
  );
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
    tryGetTimeFactor: engine => {
      const {isKnown, relativeFactor} = capacities.getEstimate(engine);
      return isKnown ? relativeFactor : undefined;
    },
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
    liveness,
    pauses,
    limits,
    crashGuard,
    speeds,
    capacities,
    serviceTimes,
    prefillQueues,
    prefixes,
    affinity: createEngineAffinity(peers.promptScope),
    isHomeCacheWarm: !settings.isFirstStart,
    streams,
    demand,
    shares,
    waitingPrompts: createWaitingPrompts({
      clock,
      getRandom,
      countPeers: peers.count,
      countEngines: state.countEngines,
      isFresh: () => clock.getMonotonicMs() - createdAtMs < FRESH_MS,
    }),
    isChangingStage: stages.isChanging,
    getRandom,
    getRetryBudget: createRetryShares({
      bounds: settings.bounds,
      countNodes: () => peers.count() + 1,
    }),
    countPeers: peers.count,
    recordRun: account => usage?.recordStart(account),
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
    capacities,
    prefillQueues,
    prefixes,
    streams,
    health,
    limits,
    reach,
    crashGuard,
    ...(usage === undefined ? {} : {usage}),
    getRandom,
  });
  const drain = createDrain({
    clock,
    durationMs: settings.bounds.shutdownMs - SHUTDOWN_MARGIN_MS,
  });
  const admission = createCallerAdmission({
    state,
    bounds: settings.bounds,
    getStateAgeMs: follower.getAgeMs,
  });
  const router = createExchangeRouter({context, admission, drain, logger});
  const front = createFrontListener({
    address: settings.callers,
    protocol,
    clock,
    logger,
    limits: DEFAULT_CALLER_LIMITS,
    memory,
    getRandom,
    onExchange: router.handle,
  });
  const control = createControlListeners({
    readiness: settings.readiness,
    control: settings.control,
    clock,
    isReady,
    getSnapshot: () => ({
      ...follower.getSnapshot(),
      nodes: [self, ...peers.list()],
      speeds: speeds.listEstimates(),
      serverFactors: capacities.listFactors(MAX_TOLD_SERVERS),
      quarantine: crashGuard.listEntries(),
    }),
    renderMetrics: metrics.render,
    answerExplain: createExplainResponder(request =>
      buildExplanation({context, admission, drain}, request),
    ),
  });
  let isStopping = false;
  addGatewayGauges(metrics, {
    listTimeFactors,
    getStateAgeMs: follower.getAgeMs,
    countOpenRequests: front.countOpen,
    countConnections: connections.countOpened,
    countLimitedServers: limits.count,
    countQuarantinedParts: crashGuard.countActive,
    getEra: store.getEra,
    countNodes: peers.count,
    ...(usage === undefined
      ? {}
      : {countOpenUsageWindows: usage.countOpenWindows}),
  });
  return {start, stop, kill};

  async function start(): Promise<void> {
    await Promise.all([front.open(), control.open(), peers.open()]);
    follower.start();
    stages.start();
    scaling.start();
    demand.start();
    shares.start();
    crashGuard.start();
    memory.start();
    usage?.start();
    registerWhenReady();
    logger.log('info', 'gateway started', {
      callers: `${settings.callers.host}:${settings.callers.port}`,
      failureDomain: settings.failureDomain,
    });
  }

  /** Introduces this node to the others once it can serve: their replies take longer the larger the fleet is. */
  function registerWhenReady(): void {
    if (isStopping) return;
    const elapsedMs = clock.getMonotonicMs() - createdAtMs;
    if (isReady() || elapsedMs >= MAX_REGISTER_DELAY_MS) {
      void messageHandler.registerSelf();
      return;
    }
    clock.schedule(REGISTER_CHECK_MS, registerWhenReady);
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
    if (usage !== undefined) {
      usage.sendLast();
      await clock.sleep(STOP_CHECK_MS);
      usage.sendLast();
    }
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
    usage?.stop();
    shares.stop();
    reach.stop();
    crashGuard.stop();
    memory.stop();
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
    const snapshot = await snapshots(knownVersion, nodeName);
    if (snapshot === undefined) return undefined;
    messageHandler.addNodes(snapshot.nodes ?? []);
    speeds.addEstimates(snapshot.speeds ?? []);
    capacities.addFactors(snapshot.serverFactors);
    crashGuard.mergeEntries(snapshot.quarantine ?? []);
    return snapshot;
  }

  /** Called when the store has lost its newest records: what this node wrote is written again. */
  function handleEraRise(): void {
    metrics.recordEraRise();
    messageHandler.registerAgain();
    crashGuard.rewrite();
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
      liveness.remove(id);
      capacities.remove(id);
      serviceTimes.remove(id);
    }
    const listedIds = new Set(state.listEntries().map(entry => entry.id));
    connections.retainOnly(listedIds);
    limits.retainOnly(listedIds);
  }

  /** Returns the learned time factors for the metrics. */
  function listTimeFactors() {
    return state
      .listEntries()
      .map(entry => ({entry, estimate: capacities.getEstimate(entry)}))
      .filter(({estimate}) => estimate.isKnown)
      .slice(0, MAX_GAUGE_SERVERS)
      .map(({entry, estimate}) => ({
        labels: {serverId: entry.id},
        value: estimate.relativeFactor,
      }));
  }
}
