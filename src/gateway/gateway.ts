/** One gateway process: its parts and their order of start and stop. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import {createRetryBudget, type RetryBudget} from '../routing/retry_budget';
import {Verdict} from '../verdict';
import {createAuthority} from './authority';
import {createConnections} from './connections';
import {createControlListeners} from './control_listener';
import type {Exchange} from './exchange';
import {createFleetState} from './fleet_state';
import type {FlowContext} from './flow_context';
import {createFrontListener} from './front_listener';
import {createGatewayMetrics} from './gateway_metrics';
import {createHomeEngines} from './home_engines';
import type {PeerMessage, ReadMessage} from './peer_messages';
import {createPeers} from './peers';
import {createPrefillBook} from './prefill_book';
import {createPrefixDirectory} from './prefix_directory';
import {createRequestTask} from './request_task';
import {chooseService} from './route_table';
import {createHealthBook} from './server_health';
import {runServiceFlow} from './service_flow';
import {createServiceLoads} from './service_loads';
import type {Address, GatewaySettings} from './settings';
import {tryFetchSnapshot} from './snapshot_client';
import {createStageControl} from './stage_control';
import {createStoreFollower} from './store_follower';
import {createStreamCounts} from './stream_counts';
import {runStreamFlow} from './stream_flow';
import {
  type BackendProtocol,
  type EntryChange,
  type FleetStore,
  type NodeRecord,
  RequestKind,
  type Route,
} from './types';

/** A gateway process. */
export interface Gateway {
  start(): Promise<void>;
  /** Takes no new work, finishes what is open, and resolves when nothing is left or the time is up. */
  stop(): Promise<void>;
  /** Ends at once, with whatever is open. */
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
}

/** Limits for callers before a configuration is known. */
const INITIAL_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Part of the fleet's retries that the nodes plan with: their counts of requests differ. */
const BUDGET_PART = 0.7;
/** Nodes over which retries are shared as long as none is known. */
const MIN_BUDGET_NODES = 4;
/** When a caller may come back while no configuration is known, in milliseconds. */
const STARTING_RETRY_MS = 500;
/** How long the balancer goes on sending connections after SIGTERM, in milliseconds: two missed checks and their period. */
const BALANCER_MS = 3_200;
/** Interval of looking for the end of open requests while stopping, in milliseconds. */
const STOP_CHECK_MS = 50;
/** Time kept free before SIGKILL, in milliseconds. */
const STOP_MARGIN_MS = 500;
/** Oldest state of the store on which stages are planned, in milliseconds. */
const MAX_PLANNING_AGE_MS = 2_000;
/** Failures that other nodes are told of: they cost each node a request to find out. */
const SHARED_SUSPICIONS = new Set(['connect', 'stalled']);
/** Interval of saying hello until the store knows this node, in milliseconds. */
const REGISTER_INTERVAL_MS = 500;

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
  const connections = createConnections();
  const book = createPrefillBook();
  const streams = createStreamCounts();
  const loads = createServiceLoads();
  const prefixes = createPrefixDirectory(getKvTokens);
  const budgets = new Map<string, RetryBudget>();
  const peers = createPeers({
    self,
    logger,
    clock,
    getRandom,
    onMessage: handleMessage,
  });
  const health = createHealthBook({
    clock,
    logger,
    getRandom,
    onEjected: (serverId, reason) => {
      if (!SHARED_SUSPICIONS.has(reason)) return;
      peers.notify({kind: 'suspect', serverId, reason});
    },
  });
  const follower = createStoreFollower({
    nodeName: self.name,
    failureDomain: self.failureDomain,
    store,
    state,
    peers,
    clock,
    logger,
    fetchSnapshot: loadSnapshot,
    getRandom,
    onChange: handleFleetChange,
  });
  const stages = createStageControl({
    nodeName: self.name,
    state,
    authority: createAuthority({
      nodeName: self.name,
      store,
      clock,
      leaseMs: settings.bounds.leaseMs,
    }),
    connections,
    protocol,
    clock,
    logger,
    countNodesBefore: () =>
      peers.list().filter(node => node.name < self.name).length,
    isCurrent: () => follower.getAgeMs() < MAX_PLANNING_AGE_MS,
    onOrder: (serverId, stage) =>
      peers.notify({kind: 'ordered', serverId, stage}),
  });
  const context: FlowContext = {
    path: {
      ownDomain: settings.failureDomain,
      hasConnection: connections.hasIdle,
    },
    state,
    connections,
    protocol,
    clock,
    metrics,
    health,
    book,
    prefixes,
    homes: createHomeEngines(),
    isHomeWarm: !settings.isFirstStart,
    streams,
    isChanging: stages.isChanging,
    getRandom,
    getBudget,
    notifyPeers: peers.notify,
  };
  const front = createFrontListener({
    address: settings.callers,
    protocol,
    clock,
    limits: INITIAL_LIMITS,
    onExchange: handleExchange,
  });
  const control = createControlListeners({
    readiness: settings.readiness,
    control: settings.control,
    isReady,
    getSnapshot: () => ({
      ...follower.getSnapshot(),
      nodes: [self, ...peers.list()],
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
    void publishSelf();
    logger.log('info', 'gateway started', {
      callers: `${settings.callers.host}:${settings.callers.port}`,
      failureDomain: settings.failureDomain,
    });
  }

  async function stop(): Promise<void> {
    isStopping = true;
    const startedAtMs = clock.getMonotonicMs();
    logger.log('info', 'gateway stops', {openRequests: front.countOpen()});
    front.startClosing();
    await clock.sleep(BALANCER_MS);
    front.stopListening();
    const lastMs = settings.bounds.shutdownMs - STOP_MARGIN_MS;
    while (
      front.countOpen() > 0 &&
      clock.getMonotonicMs() - startedAtMs < lastMs
    ) {
      await clock.sleep(STOP_CHECK_MS);
    }
    logger.log('info', 'gateway stopped', {openRequests: front.countOpen()});
    kill();
  }

  function kill(): void {
    isStopping = true;
    follower.stop();
    stages.stop();
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

  /** A fault of this program ends one request, not the process. */
  function handleExchange(exchange: Exchange): void {
    try {
      runExchange(exchange);
    } catch (error) {
      logger.log('error', 'serving a request threw', {
        requestId: exchange.request.requestId,
        error: error instanceof Error ? (error.stack ?? '') : String(error),
      });
      exchange.answer(500, [], 'internal error');
    }
  }

  function runExchange(exchange: Exchange): void {
    const config = state.getConfig();
    if (config === undefined) {
      refuseStarting(exchange);
      return;
    }
    const route = state.getRoutes().tryFind(exchange.host, exchange.target);
    if (route === undefined) {
      logger.log('info', 'no route', {
        requestId: exchange.request.requestId,
        configVersion: config.version,
      });
      exchange.answer(404, [], 'no route');
      return;
    }
    runRoute(exchange, route, config.version);
  }

  function runRoute(
    exchange: Exchange,
    route: Route,
    configVersion: number,
  ): void {
    const service = chooseService(route.services, getRandom()) ?? '';
    const task = createRequestTask({
      exchange,
      route,
      service,
      configVersion,
      protocol,
      clock,
      logger,
      metrics,
    });
    const engine = state.tryGetService(service)?.engine;
    const {model} = exchange.request;
    if (route.kind !== RequestKind.Stream || !engine || !model) {
      runServiceFlow(context, loads, task);
      return;
    }
    runStreamFlow(context, engine, model, task);
  }

  function refuseStarting(exchange: Exchange): void {
    const {requestId} = exchange.request;
    logger.log('info', 'refused: no configuration yet', {requestId});
    exchange.answer(
      503,
      protocol.buildRetryHeaders(requestId, STARTING_RETRY_MS),
      `no configuration yet (${Verdict.NotRun})`,
    );
  }

  function handleMessage(message: PeerMessage): void {
    const nowMs = clock.getMonotonicMs();
    switch (message.kind) {
      case 'hello':
        peers.add(message.node);
        if (message.wantsReply) sendHello(message.node, false);
        return;
      case 'state':
        follower.handleState(message);
        return;
      case 'placed':
        book.add({...message, id: message.jobId}, nowMs);
        prefixes.recordRead(message.serverId, message.parts);
        return;
      case 'read':
        handleRead(message, nowMs);
        return;
      case 'ordered':
        stages.noteOrder(message.serverId, message.stage);
        return;
      case 'suspect':
        health.recordSuspicion(message.serverId, message.reason);
        return;
    }
  }

  function handleRead(message: ReadMessage, nowMs: number): void {
    book.remove(message.jobId, nowMs);
    if (!message.isRead) return;
    health.recordSign(message.serverId);
    if (message.ratio !== undefined) {
      health.recordSuccess(message.serverId, message.ratio);
    }
    if (message.decodeId === undefined) return;
    const untilMs = nowMs + (message.runMs ?? 0);
    streams.add(message.decodeId, message.jobId, untilMs);
  }

  function sendHello(node: NodeRecord, wantsReply: boolean): void {
    peers.send(node, {kind: 'hello', node: self, wantsReply});
  }

  /** Makes this node known in the store, and learns of the others. */
  async function publishSelf(): Promise<void> {
    while (!isStopping) {
      const [registered, listed] = await Promise.all([
        store.registerNode(self),
        store.listNodes(),
      ]);
      if (listed.ok) addNodes(listed.val);
      if (registered.ok && listed.ok) return;
      await clock.sleep(REGISTER_INTERVAL_MS);
    }
  }

  /** Says hello to nodes that were not known, so that they tell this one what changes. */
  function addNodes(nodes: readonly NodeRecord[]): void {
    for (const node of nodes) {
      if (peers.add(node)) sendHello(node, true);
    }
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
      addNodes(snapshot.nodes ?? []);
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
      book.removeServer(id);
      streams.removeServer(id);
      health.remove(id);
      loads.remove(id);
    }
    connections.retainOnly(new Set(state.listEntries().map(entry => entry.id)));
  }

  function getBudget(service: string): RetryBudget {
    const known = budgets.get(service);
    if (known !== undefined) return known;
    const {retryRatio, retrySlack} = settings.bounds;
    const nodes = Math.max(MIN_BUDGET_NODES, peers.list().length + 1);
    const share = Math.max(1, (retrySlack / nodes) * BUDGET_PART);
    const created = createRetryBudget({
      ratio: retryRatio * BUDGET_PART,
      capacity: share,
      initial: share,
    });
    budgets.set(service, created);
    return created;
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
      'Age of what this node knows of the store.',
      follower.getAgeMs,
    );
    metrics.addGauge(
      'anvilstack_gateway_open_requests',
      'Requests without a complete answer.',
      front.countOpen,
    );
    metrics.addGauge(
      'anvilstack_gateway_connections_opened',
      'Connections to backend servers opened since the start.',
      connections.countOpened,
    );
    metrics.addGauge(
      'anvilstack_gateway_nodes',
      'Other nodes known.',
      () => peers.list().length,
    );
  }
}
