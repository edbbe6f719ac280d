/** Registers this node with the others and handles their messages. */
import type {ServerCapacities} from '../capacity';
import type {Logger} from '../diagnostics/log';
import type {UsageDuty} from '../duties';
import type {Clock} from '../runtime/types';
import type {AccountShares} from '../shares';
import type {CrashGuard} from './crash_guard';
import type {EngineSpeedEstimator} from './engine_speed_estimator';
import type {FleetDemand} from './fleet_demand';
import type {FleetState} from './fleet_state';
import type {
  LeavingMessage,
  PeerMessage,
  ReadMessage,
  StateMessage,
} from './peer_messages';
import type {PeerReach} from './peer_reach';
import type {Peers} from './peers';
import type {PrefillQueues} from './prefill_queues';
import type {PrefixDirectory} from './prefix_directory';
import {recordReportedFactors} from './reported_factors';
import type {HealthTracker} from './server_health';
import type {ServerLimits} from './server_limits';
import type {ServerScaling} from './server_scaling';
import type {StageControl} from './stage_control';
import type {StoreFollower} from './store_follower';
import type {StreamCounts} from './stream_counts';
import {recordPrefillSample} from './stream_records';
import type {FleetStore, NodeRecord} from './types';

/** Handles the messages of the other nodes. */
export interface PeerMessageHandler {
  handle(message: PeerMessage): void;
  /** Sends a hello message to nodes that were unknown, so that they include this node in their notifications. */
  addNodes(nodes: readonly NodeRecord[]): void;
  /** Registers this node in the store and adds the nodes listed there; retries until it succeeds. */
  registerSelf(): Promise<void>;
  /** Registers this node again after a random delay, because the store lost its newest records. */
  registerAgain(): void;
  stop(): void;
}

/** Options of the handler. */
export interface PeerMessageHandlerOptions {
  readonly self: NodeRecord;
  readonly store: FleetStore;
  readonly state: FleetState;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly follower: StoreFollower;
  readonly stages: StageControl;
  readonly scaling: Pick<ServerScaling, 'handle'>;
  readonly demand: FleetDemand;
  readonly shares: Pick<AccountShares, 'handlePlan'>;
  readonly speeds: EngineSpeedEstimator;
  readonly capacities: ServerCapacities;
  readonly prefillQueues: PrefillQueues;
  readonly prefixes: PrefixDirectory;
  readonly streams: StreamCounts;
  readonly health: HealthTracker;
  readonly limits: ServerLimits;
  readonly reach: PeerReach;
  readonly crashGuard: CrashGuard;
  /** Absent when usage is not reported. */
  readonly usage?: Pick<UsageDuty, 'handle'>;
  readonly getRandom: () => number;
}

/** Delay before the next attempt to register in the store, in milliseconds. */
const REGISTER_RETRY_MS = 500;
/** Range over which the nodes spread their repeated registrations, in milliseconds: all of them notice at once that the store lost records. */
const REGISTER_AGAIN_SPREAD_MS = 2_000;

/** Creates the handler. */
export function createPeerMessageHandler(
  options: PeerMessageHandlerOptions,
): PeerMessageHandler {
  const {self, store, peers, clock, prefillQueues, prefixes, health} = options;
  let isStopped = false;
  let isRegisterAgainDue = false;
  return {
    handle,
    addNodes,
    registerSelf,
    registerAgain,
    stop: () => {
      isStopped = true;
    },
  };

  function handle(message: PeerMessage): void {
    const nowMs = clock.getMonotonicMs();
    switch (message.kind) {
      case 'hello':
        peers.add(message.node);
        if (message.wantsReply) answerHello(message.node);
        return;
      case 'state':
        options.follower.handleState(message);
        mergeQuarantine(message);
        return;
      case 'placed':
        prefillQueues.add({...message, id: message.jobId}, nowMs);
        prefixes.recordPrefill(message.serverId, message.parts);
        return;
      case 'overdue':
        prefillQueues.recordOverdue(message.jobId, nowMs);
        return;
      case 'read':
        handleRead(message, nowMs);
        return;
      case 'ordered':
        options.stages.recordOrder(message.serverId, message.stage);
        return;
      case 'servers-ordered':
        options.scaling.handle(message);
        return;
      case 'suspect':
        health.recordSuspicion(message.serverId, message.reason);
        return;
      case 'demand':
        options.demand.handle(message);
        recordReportedFactors(options, message.timeFactors);
        return;
      case 'account-shares':
        options.shares.handlePlan(message.from, message.plan);
        return;
      case 'leaving':
        handleLeaving(message);
        return;
      case 'limit':
        options.limits.handle(message);
        return;
      case 'probe':
        options.reach.handle(message);
        return;
      case 'crash':
      case 'sound':
      case 'quarantine':
        options.crashGuard.handle(message);
        return;
      case 'usage':
      case 'usage-ack':
      case 'usage-done':
        options.usage?.handle(message);
        return;
    }
  }

  /** Adds the quarantined parts that a reader lists, and tells it those that it lacks. */
  function mergeQuarantine({from, quarantine}: StateMessage): void {
    const newer = options.crashGuard.mergeEntries(quarantine ?? []);
    const reader = peers.tryFind(from);
    if (newer.length === 0 || reader === undefined) return;
    peers.send(reader, {kind: 'quarantine', entries: newer});
  }

  function handleLeaving(message: LeavingMessage): void {
    const {serverId, startedAtMs} = message;
    if (!options.state.recordLeaving(serverId, startedAtMs)) return;
    options.logger.log(
      'info',
      'another node reports that a backend server is leaving',
      {
        serverId,
        startedAtMs,
      },
    );
  }

  function handleRead(message: ReadMessage, nowMs: number): void {
    prefillQueues.remove(message.jobId, nowMs);
    if (!message.isRead) return;
    health.recordResponse(message.serverId);
    if (message.sample !== undefined) {
      recordPrefillSample(options, message.serverId, message.sample);
    }
    if (message.decodeId === undefined) return;
    const untilMs = nowMs + (message.runMs ?? 0);
    options.streams.add(message.decodeId, message.jobId, untilMs);
  }

  function addNodes(nodes: readonly NodeRecord[]): void {
    for (const node of nodes) {
      if (peers.add(node)) sendHello(node, true);
    }
  }

  /** Replies to a node that has just started, and tells it the limits of servers, which it may not exceed either. */
  function answerHello(node: NodeRecord): void {
    sendHello(node, false);
    for (const message of options.limits.listMessages()) {
      peers.send(node, message);
    }
  }

  function sendHello(node: NodeRecord, wantsReply: boolean): void {
    peers.send(node, {kind: 'hello', node: self, wantsReply});
  }

  function registerAgain(): void {
    if (isRegisterAgainDue) return;
    isRegisterAgainDue = true;
    clock.schedule(options.getRandom() * REGISTER_AGAIN_SPREAD_MS, () => {
      isRegisterAgainDue = false;
      void writeSelf();
    });
  }

  async function writeSelf(): Promise<void> {
    while (!isStopped && (await store.registerNode(self)).err) {
      await clock.sleep(REGISTER_RETRY_MS);
    }
  }

  async function registerSelf(): Promise<void> {
    while (!isStopped) {
      const [registered, listed] = await Promise.all([
        store.registerNode(self),
        store.listNodes(),
      ]);
      if (listed.ok) addNodes(listed.val);
      if (registered.ok && listed.ok) return;
      await clock.sleep(REGISTER_RETRY_MS);
    }
  }
}
