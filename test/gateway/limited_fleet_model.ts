/** A model of nodes that send requests to one server that states a limit, on a virtual clock and a network that delays and loses messages. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createPeerReach, type PeerReach} from '../../src/gateway/peer_reach';
import type {PeerMessage} from '../../src/gateway/peer_messages';
import {
  createServerLimits,
  type ServerLimits,
} from '../../src/gateway/server_limits';
import type {NodeRecord} from '../../src/gateway/types';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {type LimitChange, listLimitViolations} from '../platform/limit_check';
import type {Arrival} from '../platform/server_standin';
import {createEntry, SILENT_LOGGER} from './support';

/** A running model; times are in milliseconds. */
export interface LimitedFleetModel {
  readonly clock: VirtualClock;
  readonly arrivals: readonly Arrival[];
  setLimit(limitPerS: number | undefined): void;
  /** Puts nodes into groups that do not hear each other; unnamed ones are in group 0. */
  setGroups(groups: ReadonlyMap<number, number>): void;
  /** Freezes a node: it sends nothing, and gets its messages when it is thawed. */
  setFrozen(node: number, isFrozen: boolean): void;
  /** Forgets all that a node knows, as a new process. */
  restart(node: number): void;
  /** Offers requests at a mean rate; `skew` is the fraction of them that go to the first node. */
  offer(options: {
    readonly ratePerS: number;
    readonly durationMs: number;
    readonly skew?: number;
  }): Promise<void>;
  /** Describes the limits that were exceeded; requests that arrived between these times do not count. */
  listViolations(excusedFromMs?: number, excusedUntilMs?: number): string[];
}

interface ModelNode {
  readonly record: NodeRecord;
  limits: ServerLimits;
  reach: PeerReach;
  group: number;
  isFrozen: boolean;
  /** Messages that arrived while the node was frozen. */
  readonly queue: PeerMessage[];
}

const SERVER = createEntry();
/** Time from a request to its answer. */
const ANSWER_MS = 6;
const ADDRESS = {host: '127.0.0.1', controlPort: 1, failureDomain: 'a'};

/** Creates a fleet whose messages take 1 ms to `maxDelayMs`. */
export function createLimitedFleetModel(options: {
  readonly nodes: number;
  readonly seed?: number;
  readonly maxDelayMs?: number;
  readonly lossFraction?: number;
}): LimitedFleetModel {
  const {maxDelayMs = 10, lossFraction = 0.03} = options;
  const clock = createVirtualClock();
  const generator = xoroshiro128plus(options.seed ?? 1);
  const getRandom = () => uniformFloat64(generator);
  const arrivals: Arrival[] = [];
  const changes: LimitChange[] = [];
  let limitPerS: number | undefined;
  const nodes: ModelNode[] = Array.from({length: options.nodes}, (_, index) =>
    createNode({...ADDRESS, name: `node-${index}`, peerPort: index + 1}),
  );
  return {
    clock,
    arrivals,
    setLimit: next => {
      limitPerS = next;
      changes.push({atMs: clock.getMonotonicMs(), limitPerS: next});
    },
    setGroups: groups => {
      for (const [index, node] of nodes.entries()) {
        node.group = groups.get(index) ?? 0;
      }
    },
    setFrozen: (index, isFrozen) => {
      const node = nodes[index];
      node.isFrozen = isFrozen;
      if (isFrozen) return;
      for (const message of node.queue.splice(0)) handle(node, message);
    },
    restart: index => {
      const node = nodes[index];
      Object.assign(node, createNode(node.record));
      for (const other of nodes) {
        if (other === node) continue;
        for (const message of other.limits.listMessages()) {
          sendMessage(other, node, message);
        }
      }
    },
    offer: sendRequests,
    listViolations: (excusedFromMs = 0, excusedUntilMs = 0) =>
      listLimitViolations(
        SERVER.id,
        arrivals.filter(
          ({atMs}) => atMs < excusedFromMs || atMs >= excusedUntilMs,
        ),
        changes,
      ),
  };

  function createNode(record: NodeRecord): ModelNode {
    const list = () =>
      nodes.filter(node => node.record !== record).map(node => node.record);
    const reach = createPeerReach({
      nodeName: record.name,
      clock,
      getRandom,
      peers: {
        list,
        count: () => options.nodes - 1,
        tryFind: name => nodes.find(node => node.record.name === name)?.record,
        send: (target, message) => {
          const to = nodes.find(node => node.record === target);
          if (to !== undefined) sendMessage(getNode(record), to, message);
        },
      },
    });
    const limits = createServerLimits({
      nodeName: record.name,
      clock,
      logger: SILENT_LOGGER,
      metrics: {recordLimitedSend: () => undefined},
      getReach: reach.getFraction,
      notify: message => {
        for (const node of nodes) {
          if (node.record !== record)
            sendMessage(getNode(record), node, message);
        }
      },
    });
    return {record, limits, reach, group: 0, isFrozen: false, queue: []};
  }

  function getNode(record: NodeRecord): ModelNode {
    return nodes[record.peerPort - 1];
  }

  function sendMessage(
    from: ModelNode,
    to: ModelNode,
    message: PeerMessage,
  ): void {
    if (from.group !== to.group || getRandom() < lossFraction) return;
    clock.schedule(1 + (maxDelayMs - 1) * getRandom(), () => {
      if (to.isFrozen) to.queue.push(message);
      else handle(to, message);
    });
  }

  function handle(node: ModelNode, message: PeerMessage): void {
    if (message.kind === 'limit') node.limits.handle(message);
    if (message.kind === 'probe') node.reach.handle(message);
  }

  async function sendRequests(traffic: {
    readonly ratePerS: number;
    readonly durationMs: number;
    readonly skew?: number;
  }): Promise<void> {
    const endsAtMs = clock.getMonotonicMs() + traffic.durationMs;
    for (;;) {
      const gapMs = (-Math.log(1 - getRandom()) * 1_000) / traffic.ratePerS;
      const atMs = clock.getMonotonicMs() + gapMs;
      if (atMs >= endsAtMs) break;
      await clock.runUntil(atMs);
      const isFirst = getRandom() < (traffic.skew ?? 0);
      const index = isFirst ? 0 : Math.floor(getRandom() * nodes.length);
      sendRequest(nodes[index]);
    }
    await clock.runUntil(endsAtMs);
  }

  function sendRequest(node: ModelNode): void {
    if (node.isFrozen || !node.limits.canSend(SERVER)) return;
    const recordLimit = node.limits.recordSend(SERVER);
    arrivals.push({id: node.record.name, atMs: clock.getMonotonicMs()});
    const stated = limitPerS;
    clock.schedule(ANSWER_MS, () => recordLimit(stated));
  }
}
