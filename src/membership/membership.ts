/** The membership task of one node, a SWIM-style protocol: probes, suspicions and gossip. */
import {createMembershipView} from './membership_view';
import {choosePeers, createProbeOrder} from './peer_choice';
import {createGossipBudget} from './gossip_budget';
import {
  type Exchange,
  type IndirectProbe,
  type ListedNode,
  MAX_MESSAGE_RUMOURS,
  type Member,
  type Membership,
  type MembershipCounts,
  type MembershipHost,
} from './types';

/** Options of membership. */
export interface MembershipOptions {
  readonly host: MembershipHost;
  readonly node: string;
  /** Base URL of this node's peers listener. */
  readonly address: string;
  /** Identifies this process: the node's name, a dot and a suffix unique to the process. */
  readonly process: string;
  /** Higher than that of any earlier process of this node, such as the wall time of its start. */
  readonly incarnation: number;
  /** Interval between probes, in milliseconds. */
  readonly probeIntervalMs?: number;
  /** Interval between gossip rounds, in milliseconds. */
  readonly gossipIntervalMs?: number;
  /** Number of peers that one gossip round sends to. */
  readonly gossipFanout?: number;
  /** How long a suspect node has to refute the suspicion, in milliseconds. */
  readonly suspicionMs?: number;
  /** Maximum gossip bytes sent and received per second. Probes count but are never held back. */
  readonly maxGossipBytesPerS?: number;
  /** Maximum number of peers' digests to keep. */
  readonly maxDigests?: number;
}

const DEFAULT_PROBE_INTERVAL_MS = 1_000;
const DEFAULT_GOSSIP_INTERVAL_MS = 200;
const DEFAULT_GOSSIP_FANOUT = 3;
const DEFAULT_SUSPICION_MS = 4_000;
const DEFAULT_MAX_GOSSIP_BYTES_PER_S = 10_000;
const DEFAULT_MAX_DIGESTS = 64;
const INDIRECT_PROBES = 3;
const DRAIN_PEERS = 4;
const BOOTSTRAP_PEERS = 3;
/** Rumours that an exchange may still carry when the byte budget is used up. */
const MIN_MESSAGE_RUMOURS = 1;
const SWEEP_INTERVAL_MS = 1_000;
/** Width of each interval's jitter, as a fraction of it, so that nodes do not act in lockstep. */
const INTERVAL_JITTER = 0.2;
/** A timer that fires this many milliseconds late shows that the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Creates the task; it sends no messages on its own before `start`. */
export function createMembership(options: MembershipOptions): Membership {
  const {host} = options;
  const {clock, getRandom} = host;
  const probeIntervalMs = options.probeIntervalMs ?? DEFAULT_PROBE_INTERVAL_MS;
  const gossipIntervalMs =
    options.gossipIntervalMs ?? DEFAULT_GOSSIP_INTERVAL_MS;
  const gossipFanout = options.gossipFanout ?? DEFAULT_GOSSIP_FANOUT;
  const suspicionMs = options.suspicionMs ?? DEFAULT_SUSPICION_MS;
  const maxDigests = options.maxDigests ?? DEFAULT_MAX_DIGESTS;
  const view = createMembershipView({...options, maxDigests});
  const {table, leavingServers} = view;
  const probeOrder = createProbeOrder(getRandom);
  const gossipBudget = createGossipBudget(
    clock,
    options.maxGossipBytesPerS ?? DEFAULT_MAX_GOSSIP_BYTES_PER_S,
  );
  const counts: MembershipCounts = {
    exchangesSent: 0,
    exchangesAnswered: 0,
    indirectProbes: 0,
    gossipRoundsThrottled: 0,
  };
  let isRunning = false;
  /** When this process last resumed after a pause, on the monotonic clock; 0 if never paused. */
  let resumedAtMs = 0;
  return {
    listMembers: table.list,
    tryGetMember: table.tryGet,
    listDigests: view.listDigests,
    isServerLeaving: leavingServers.has,
    listLeavingServers: leavingServers.list,
    isProcessTerminated: view.isProcessTerminated,
    updateListedNodes,
    reportLeaving: view.reportLeaving,
    handleExchange,
    handleIndirectProbe,
    subscribe: view.subscribe,
    getCounts: () => counts,
    getRefutationCount: view.getRefutationCount,
    start,
    drain,
    stop,
  };

  function start(): void {
    isRunning = true;
    view.reportSelfAlive();
    scheduleRepeated(probeIntervalMs, runProbe);
    scheduleRepeated(gossipIntervalMs, runGossipRound);
    scheduleRepeated(SWEEP_INTERVAL_MS, sweep);
  }

  function stop(): void {
    isRunning = false;
  }

  /** A node that has received no digest yet contacts some peers at once to learn the members. */
  function updateListedNodes(nodes: readonly ListedNode[]): void {
    view.updateListedNodes(nodes);
    if (!isRunning || view.listDigests().length > 0) return;
    const peers = choosePeers(table.list(), BOOTSTRAP_PEERS, getRandom);
    for (const peer of peers) void sendExchange(peer);
  }

  /** Runs `task` repeatedly until the stop; a late timer shows that the process was paused. */
  function scheduleRepeated(intervalMs: number, task: () => void): void {
    const jitter = (getRandom() - 0.5) * INTERVAL_JITTER;
    const delayMs = intervalMs * (1 + jitter);
    const dueMs = clock.getMonotonicMs() + delayMs;
    clock.schedule(delayMs, () => {
      if (!isRunning) return;
      const nowMs = clock.getMonotonicMs();
      if (nowMs - dueMs > PAUSE_THRESHOLD_MS) resumedAtMs = nowMs;
      task();
      scheduleRepeated(intervalMs, task);
    });
  }

  function runProbe(): void {
    const members = table.list();
    const target = probeOrder.takeNext(members, isAliveOrSuspect);
    if (target !== undefined) void checkMember(target);
    // Contacting a lost member lets nodes find each other again after a network partition.
    const reconnectCandidates = members.filter(isReconnectCandidate);
    for (const member of choosePeers(reconnectCandidates, 1, getRandom)) {
      void sendExchange(member);
    }
  }

  function isReconnectCandidate(member: Member): boolean {
    if (member.status === 'dead') return true;
    return member.status === 'left' && table.isListed(member.node);
  }

  async function checkMember(target: Member): Promise<void> {
    const startedAtMs = clock.getMonotonicMs();
    if (await sendExchange(target)) return;
    if (await sendIndirectProbes(target)) return;
    // Timeouts that overlap a pause of this process are no evidence against the peer.
    if (!isRunning || resumedAtMs > startedAtMs) return;
    const known = table.tryGet(target.node);
    if (known?.incarnation !== target.incarnation) return;
    if (known.status === 'alive') view.setStatus(known, 'suspect');
  }

  async function sendIndirectProbes(target: Member): Promise<boolean> {
    const candidates = table
      .list()
      .filter(member => member.status === 'alive' && member !== target);
    const helpers = choosePeers(candidates, INDIRECT_PROBES, getRandom);
    counts.indirectProbes += helpers.length;
    const probe = {node: target.node, address: target.address};
    const answers = await Promise.all(
      helpers.map(helper => host.sendIndirectProbe(helper.address, probe)),
    );
    return answers.some(isReached => isReached);
  }

  /** Returns whether the member answered. */
  async function sendExchange(
    member: Pick<Member, 'node' | 'address'>,
  ): Promise<boolean> {
    const exchange = createExchange(table.tryGet(member.node));
    counts.exchangesSent++;
    const answer = await host.sendExchange(member.address, exchange);
    if (answer?.digest.node !== member.node) return false;
    gossipBudget.record(answer);
    if (isRunning) view.applyExchange(answer);
    return true;
  }

  function handleExchange(exchange: Exchange): Exchange {
    counts.exchangesAnswered++;
    gossipBudget.record(exchange);
    view.applyExchange(exchange);
    return createExchange(table.tryGet(exchange.digest.node));
  }

  /** Adds rumours within the byte budget; at most `MIN_MESSAGE_RUMOURS` once it is used up. */
  function createExchange(member: Member | undefined): Exchange {
    const maxRumours = gossipBudget.hasRemaining()
      ? MAX_MESSAGE_RUMOURS
      : MIN_MESSAGE_RUMOURS;
    const exchange = view.createExchange(member, maxRumours);
    gossipBudget.record(exchange);
    return exchange;
  }

  function handleIndirectProbe(probe: IndirectProbe): Promise<boolean> {
    return sendExchange(probe);
  }

  function runGossipRound(): void {
    if (!view.hasRumours()) return;
    const peers = table.list().filter(member => member.status === 'alive');
    for (const peer of choosePeers(peers, gossipFanout, getRandom)) {
      if (!view.hasRumours()) return;
      if (!gossipBudget.hasRemaining()) {
        counts.gossipRoundsThrottled++;
        return;
      }
      void sendGossip(peer);
    }
  }

  async function sendGossip(peer: Member): Promise<void> {
    const exchange = createExchange(peer);
    counts.exchangesSent++;
    const answer = await host.sendExchange(peer.address, exchange);
    if (answer === undefined || !isRunning) return;
    gossipBudget.record(answer);
    view.applyExchange(answer);
  }

  function sweep(): void {
    const nowMs = clock.getMonotonicMs();
    for (const member of table.list()) {
      if (member.status !== 'suspect') continue;
      const sinceMs = Math.max(member.sinceMs, resumedAtMs);
      if (nowMs - sinceMs >= suspicionMs) view.setStatus(member, 'dead');
    }
    view.sweep(nowMs);
  }

  async function drain(): Promise<void> {
    view.setLeaving();
    const peers = table.list().filter(isAliveOrSuspect);
    const chosen = choosePeers(peers, DRAIN_PEERS, getRandom);
    await Promise.all(chosen.map(sendExchange));
    isRunning = false;
  }
}

function isAliveOrSuspect(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}
