/** Assembles one node from its streams, fleet watch, routing, control tasks and listeners. */
import {randomUUID} from 'node:crypto';
import {createHttpServiceClient} from '../backends';
import {createClaimsLedger} from '../claims';
import type {EventRing, Logger} from '../diagnostics';
import {createRequestPipeline, createTraceRecorder} from '../entry';
import {createMeteredDispatcher} from '../planning';
import {createHttpLogService, createHttpVmList} from '../control_services';
import {
  createAccountLimiter,
  createDispatcher,
  createServiceDispatcher,
} from '../routing';
import type {Clock} from '../runtime';
import type {Secrets, Settings} from '../settings';
import {createNodeEventRing} from './event_ring';
import {getExtraServers} from './fleet_view';
import {createFleetWatch} from './fleet_watch';
import {computeListIntervalMs} from './list_interval';
import {getListenerOptions} from './listener_options';
import {createNodeControl} from './node_control';
import {openCallerListener, openOperatorListener} from './node_listeners';
import {createConnectedMetrics, createMeteredLedger} from './node_metrics';
import {createNodeStreams} from './node_streams';
import {openPeerTasks} from './peer_tasks';
import {createSummaryEvent} from './summary_event';

/** Options of a node. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly secrets?: Secrets;
  /** Receives the node's events; created from the settings when omitted. */
  readonly events?: EventRing;
}

/** A running node. */
export interface AnvilstackNode {
  readonly id: string;
  /** Base addresses of its listeners. */
  readonly callerAddress: string;
  readonly operatorAddress: string;
  /** Empty when the settings name no peer secret. */
  readonly peerAddress: string;
  /** True while the state in force and the VM list are known and the node does not drain. */
  isReady(): boolean;
  /**
   * Shuts down gracefully: refuses new requests, finishes open ones, releases leases, then closes.
   */
  drain(): Promise<void>;
  /** Stops immediately, as in a crash: connections are cut and leases are not released. */
  kill(): Promise<void>;
}

/**
 * Maximum time that a drain waits for the log to accept the outcomes of claims, in milliseconds.
 */
const CLAIMS_DRAIN_TIMEOUT_MS = 10_000;

/** Starts a node. */
export async function startNode(options: NodeOptions): Promise<AnvilstackNode> {
  const {settings, clock, logger} = options;
  const id = settings.node.id;
  const writerId = `${id}.${randomUUID().slice(0, 8)}`;
  const events = options.events ?? createNodeEventRing(settings, clock);
  const streams = createNodeStreams({
    clock,
    log: createHttpLogService({address: settings.platform.log_address}),
    writerId,
    events,
    node: id,
    retentionMs: settings.platform.log_retention_s * 1_000,
    snapshots: {
      listOffsets: stream => peers.reads.snapshots.listOffsets(stream),
      tryLoadSnapshot: (peer, stream) =>
        peers.reads.snapshots.tryLoadSnapshot(peer, stream),
    },
    countNodes: () => peers.countNodes(),
  });
  const fleet = createFleetWatch({
    clock,
    vmList: createHttpVmList({address: settings.platform.vm_list_address}),
    node: id,
    events,
    intervalMs: settings.routing.report_interval_ms,
    maxReportsPerS: settings.routing.max_reports_per_s,
    isControlled: server => control.isControlled(server),
    getListIntervalMs: () =>
      computeListIntervalMs(
        settings.routing.report_interval_ms,
        peers.countNodes(),
        Math.random(),
      ),
    extraServers: getExtraServers(settings),
    getCacheSequence: engine => dispatcher.getCacheSequence(engine),
    onCacheEvents: (engine, cacheEvents) =>
      dispatcher.updateCacheEvents(engine, cacheEvents),
    onServers: servers =>
      metrics.runControlStep('servers', () => {
        peers.updateVms(fleet.getVms(), servers);
        applyServers();
      }),
    onReport: report =>
      metrics.runControlStep('reports', () => {
        peers.updateReport(report);
        dispatcher.updateReport(report);
      }),
  });
  const dispatcher = createDispatcher({
    clock,
    getEngineClient: fleet.getEngineClient,
    getRandom: Math.random,
    emitEvent: events.emit,
    getNodeCount: () => peers.countNodes(),
    tryGetDigestWork: engine => peers.digests.tryGetDigestWork(engine),
  });
  const services = createServiceDispatcher({
    clock,
    client: createHttpServiceClient(),
    emitEvent: events.emit,
  });
  const claims = createClaimsLedger({
    node: writerId,
    logRetentionMs: settings.platform.log_retention_s * 1_000,
    maxWindowMs: settings.claims.window_s * 1_000,
    isLogUnavailable: streams.isClaimsLogUnavailable,
    isProcessTerminated: process =>
      peers.membership.isProcessTerminated(process),
    clock,
    follower: streams.claims.follower,
    writer: streams.claims.writer,
  });
  const control = createNodeControl({
    settings,
    clock,
    events,
    streams,
    fleet,
    getPeers: () => peers,
  });
  const {moves, roles} = control;
  const pipeline = createRequestPipeline({
    clock,
    dispatcher: createMeteredDispatcher(dispatcher, roles.meter),
    limiter: createAccountLimiter({getNodeCount: () => peers.countNodes()}),
    services,
    claims: createMeteredLedger(claims, result => metrics.recordClaim(result)),
    selectServers: moves.traffic.selectServers,
    predictServers: moves.traffic.predictServers,
    onSummary: summary => {
      moves.traffic.addEnded(summary);
      metrics.recordRequest(summary);
      recorder.add(summary);
      const {kind, cause, ...fields} = createSummaryEvent(summary);
      events.emit({kind, cause, ...fields});
      logger.log('debug', kind, {...fields, cause});
    },
  });
  const recorder = createTraceRecorder();
  const metrics = createConnectedMetrics({
    events,
    streams,
    getQueueLength: dispatcher.getWaitingCount,
    getOpenRequests: pipeline.getOpenCount,
    listBytes,
  });
  let isDraining = false;
  const peers = await openPeerTasks({
    clock,
    logger,
    events,
    node: id,
    process: writerId,
    secret: options.secrets?.peerSecret?.getText(),
    listen: getListenerOptions(settings, 'peers', logger),
    streams: [
      streams.config.follower,
      streams.claims.follower,
      streams.control.follower,
    ],
    getAccountWindow: moves.traffic.getWindow,
    getDemand: roles.meter.getDemand,
    listLocalWork: dispatcher.listLocalWork,
    getOpenRequestCount: dispatcher.getOpenCount,
    onServersChanged: applyServers,
  });
  const listenerOptions = {
    ...options,
    events,
    streams,
    fleet,
    peers,
    control,
    pipeline,
    recorder,
    isReady,
    renderMetrics: metrics.render,
  };
  const callerListener = await openCallerListener(listenerOptions);
  const operatorListener = await openOperatorListener(listenerOptions);
  streams.start();
  fleet.start();
  control.start();
  peers.start();
  events.emit({kind: 'node-started', cause: `process ${writerId}`});
  logger.log('info', 'node started', {callers: callerListener.address});
  return {
    id,
    callerAddress: callerListener.address,
    operatorAddress: operatorListener.address,
    peerAddress: peers.address,
    isReady,
    drain,
    kill,
  };

  function listBytes(): Array<{
    listener: string;
    received: number;
    sent: number;
  }> {
    return [
      {listener: 'callers', ...callerListener.getBytes()},
      {listener: 'operators', ...operatorListener.getBytes()},
      {listener: 'peers', ...peers.getBytes()},
    ];
  }

  /** Updates routing with the listed backend servers and which of them are leaving. */
  function applyServers(): void {
    const servers = peers.applyLeavingState(fleet.getServers());
    dispatcher.updateServers(servers);
    services.updateServers(servers);
  }

  function isReady(): boolean {
    return !isDraining && streams.isCaughtUp() && fleet.getVms().length > 0;
  }

  async function drain(): Promise<void> {
    isDraining = true;
    events.emit({kind: 'node-draining', cause: 'graceful shutdown'});
    await pipeline.drain();
    await Promise.all([
      claims.drain(CLAIMS_DRAIN_TIMEOUT_MS),
      control.tasks.drain(),
    ]);
    await peers.drain();
    await Promise.all([
      callerListener.close(),
      operatorListener.close(),
      peers.close(),
    ]);
    stopTasks();
    logger.log('info', 'node stopped');
  }

  async function kill(): Promise<void> {
    stopTasks();
    await Promise.all([
      callerListener.destroy(),
      operatorListener.destroy(),
      peers.close(),
    ]);
  }

  function stopTasks(): void {
    control.stop();
    fleet.stop();
    streams.stop();
  }
}
