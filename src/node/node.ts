/** Puts one node together: streams, fleet, routing and listeners. */
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
import {getExtraServers} from './fleet_view';
import {createFleetWatch} from './fleet_watch';
import {computeListIntervalMs} from './list_interval';
import {getListenerOptions} from './listener_options';
import {createNodeControl} from './node_control';
import {createConnectedMetrics, createCountedLedger} from './node_counts';
import {createNodeEvents} from './node_events';
import {openCallerListener, openOperatorListener} from './node_listeners';
import {createNodeStreams} from './node_streams';
import {openPeerTasks} from './peer_tasks';
import {createSummaryEvent} from './summary_event';

/** Options of a node. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly secrets?: Secrets;
  /** Takes the node's events; a ring of its own when omitted. */
  readonly events?: EventRing;
}

/** A running node. */
export interface AnvilstackNode {
  readonly id: string;
  /** Base addresses of its listeners. */
  readonly callerAddress: string;
  readonly operatorAddress: string;
  /** Empty when the node has no secret to share with its peers. */
  readonly peerAddress: string;
  /** True once the state in force is known and until the node drains. */
  isReady(): boolean;
  /** Graceful shutdown: finishes what is open, then closes. */
  drain(): Promise<void>;
  /** Ends at once, as a crash would. */
  kill(): Promise<void>;
}

/** How long a drain waits for the log to take the outcomes of claims, in milliseconds. */
const CLAIMS_DRAIN_MS = 10_000;

/** Starts a node. */
export async function startNode(options: NodeOptions): Promise<AnvilstackNode> {
  const {settings, clock, logger} = options;
  const id = settings.node.id;
  const writerId = `${id}.${randomUUID().slice(0, 8)}`;
  const events = options.events ?? createNodeEvents(settings, clock);
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
    tryGetPeerWork: engine => peers.digests.tryGetOthersWork(engine),
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
    isLogOut: streams.isClaimsLogOut,
    isNodeGone: process => peers.membership.isProcessGone(process),
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
    claims: createCountedLedger(claims, result => metrics.recordClaim(result)),
    selectServers: moves.traffic.selectServers,
    onSummary: summary => {
      moves.traffic.addEnded(summary);
      metrics.recordRequest(summary);
      recorder.add(summary);
      const {kind, cause, ...names} = createSummaryEvent(summary);
      events.emit({kind, cause, ...names});
      logger.log('debug', kind, {...names, cause});
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
    listOwnWork: dispatcher.listLocalWork,
    getOpenRequests: dispatcher.getOpenCount,
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
  const callers = await openCallerListener(listenerOptions);
  const operators = await openOperatorListener(listenerOptions);
  streams.start();
  fleet.start();
  control.start();
  peers.start();
  events.emit({kind: 'node-started', cause: `process ${writerId}`});
  logger.log('info', 'node started', {callers: callers.address});
  return {
    id,
    callerAddress: callers.address,
    operatorAddress: operators.address,
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
      {listener: 'callers', ...callers.getBytes()},
      {listener: 'operators', ...operators.getBytes()},
      {listener: 'peers', ...peers.getBytes()},
    ];
  }

  /** Gives routing the backend servers, with those marked that leave. */
  function applyServers(): void {
    const servers = peers.applyMarks(fleet.getServers());
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
    await Promise.all([claims.drain(CLAIMS_DRAIN_MS), control.tasks.drain()]);
    await peers.drain();
    await Promise.all([callers.close(), operators.close(), peers.close()]);
    stopTasks();
    logger.log('info', 'node stopped');
  }

  async function kill(): Promise<void> {
    stopTasks();
    await Promise.all([callers.destroy(), operators.destroy(), peers.close()]);
  }

  function stopTasks(): void {
    control.stop();
    fleet.stop();
    streams.stop();
  }
}
