/** A cluster of membership tasks on virtual time, with an in-memory transport that can be cut. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  createMembership,
  type ListedNode,
  type LocalLoad,
  type Membership,
  type MembershipOptions,
} from '../../src/membership';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {createProcessControl, type ProcessControl} from './process_control';

/** A node of the cluster. */
export interface MembershipNode {
  readonly name: string;
  readonly membership: Membership;
  readonly control: ProcessControl;
  /** Bytes sent and received, including headers. */
  bytes: number;
  messages: number;
}

/** Options of the cluster. */
export interface MembershipClusterOptions {
  readonly nodes: number;
  readonly seed?: number;
  /** Fraction of the messages that are lost, 0 to 1. */
  readonly lossRate?: number;
  readonly oneWayMs?: number;
  /** Selects the nodes that every node knows from the start; all nodes when absent. */
  readonly listed?: (nodes: readonly ListedNode[]) => readonly ListedNode[];
  readonly membership?: Partial<MembershipOptions>;
  /** Number of engines in each digest. */
  readonly digestEntries?: number;
}

/** The cluster. */
export interface MembershipCluster {
  readonly clock: VirtualClock;
  readonly nodes: readonly MembershipNode[];
  /** Adds and starts a node that knows `listed`. */
  addNode(name: string, listed: readonly ListedNode[]): MembershipNode;
  listNodes(): readonly ListedNode[];
  /** Delivers only the messages that this accepts, until it is set again. */
  setReachable(isReachable: (from: string, to: string) => boolean): void;
  /**
   * Advances time until every running node satisfies the check. Resolves with the time this took in
   * milliseconds, or undefined at the limit.
   */
  waitForAll(
    check: (node: MembershipNode) => boolean,
    limitMs: number,
  ): Promise<number | undefined>;
  stop(): void;
}

/** Estimated size of the headers of a request and its answer together, in bytes. */
export const HEADER_BYTES = 560;
const CALL_TIMEOUT_MS = 500;
const DEFAULT_ONE_WAY_MS = 2;
const POLL_MS = 50;
const DEFAULT_DIGEST_ENTRIES = 4;

/** Starts a cluster. */
export function startMembershipCluster(
  options: MembershipClusterOptions,
): MembershipCluster {
  const clock = createVirtualClock({wallStartMs: Date.UTC(2026, 0, 1)});
  const generator = xoroshiro128plus(options.seed ?? 1);
  const getRandom = (): number => uniformFloat64(generator);
  const oneWayMs = options.oneWayMs ?? DEFAULT_ONE_WAY_MS;
  const nodes: MembershipNode[] = [];
  const byAddress = new Map<string, MembershipNode>();
  const load = createLocalLoad(options.digestEntries ?? DEFAULT_DIGEST_ENTRIES);
  let isReachable: (from: string, to: string) => boolean = () => true;
  const all: ListedNode[] = [];
  for (let index = 0; index < options.nodes; index++) {
    all.push(createListedNode(`node-${index}`));
  }
  const listed = options.listed?.(all) ?? all;
  for (const item of all) addNode(item.node, listed);
  return {
    clock,
    nodes,
    addNode,
    listNodes: () => all,
    setReachable: value => {
      isReachable = value;
    },
    waitForAll,
    stop: () => nodes.forEach(node => node.membership.stop()),
  };

  function addNode(
    name: string,
    listedNodes: readonly ListedNode[],
  ): MembershipNode {
    const control = createProcessControl(clock);
    const {address} = createListedNode(name);
    const membership = createMembership({
      ...options.membership,
      node: name,
      address,
      process: `${name}.1`,
      incarnation: clock.getWallMs(),
      host: {
        clock: control.clock,
        getRandom,
        sendExchange: (target, exchange) =>
          sendMessage(node, target, exchange, peer =>
            peer.membership.handleExchange(exchange),
          ),
        sendIndirectProbe: async (target, probe) => {
          const answer = await sendMessage(node, target, probe, peer =>
            peer.membership.handleIndirectProbe(probe),
          );
          return answer ?? false;
        },
        getLocalLoad: () => load,
      },
    });
    const node = {name, membership, control, bytes: 0, messages: 0};
    nodes.push(node);
    byAddress.set(address, node);
    membership.updateListedNodes(listedNodes);
    membership.start();
    return node;
  }

  /** Resolves with the answer, or undefined at the timeout. */
  async function sendMessage<Answer>(
    from: MembershipNode,
    address: string,
    message: unknown,
    callPeer: (peer: MembershipNode) => Answer | Promise<Answer>,
  ): Promise<Answer | undefined> {
    const peer = byAddress.get(address);
    const timeout = from.control.clock.sleep(CALL_TIMEOUT_MS);
    const answer = runCall();
    return Promise.race([answer, timeout.then(() => undefined)]);

    async function runCall(): Promise<Answer | undefined> {
      recordBytes(from, message);
      await clock.sleep(oneWayMs);
      if (peer === undefined || isLost(from, peer)) return waitForever();
      await peer.control.waitUntilRunning();
      recordBytes(peer, message);
      const result = await callPeer(peer);
      recordBytes(peer, result);
      await clock.sleep(oneWayMs);
      if (isLost(peer, from)) return waitForever();
      await from.control.waitUntilRunning();
      recordBytes(from, result);
      return result;
    }
  }

  function isLost(from: MembershipNode, to: MembershipNode): boolean {
    if (from.control.isKilled() || to.control.isKilled()) return true;
    if (!isReachable(from.name, to.name)) return true;
    return getRandom() < (options.lossRate ?? 0);
  }

  function recordBytes(node: MembershipNode, message: unknown): void {
    node.messages++;
    node.bytes += JSON.stringify(message).length + HEADER_BYTES / 2;
  }

  async function waitForAll(
    check: (node: MembershipNode) => boolean,
    limitMs: number,
  ): Promise<number | undefined> {
    const startMs = clock.getMonotonicMs();
    const running = nodes.filter(node => !node.control.isKilled());
    while (clock.getMonotonicMs() - startMs <= limitMs) {
      if (running.every(check)) return clock.getMonotonicMs() - startMs;
      await clock.advance(POLL_MS);
    }
    return undefined;
  }
}

/** Returns the VM list's entry for a node. */
export function createListedNode(name: string): ListedNode {
  return {node: name, address: `http://${name}:8103`};
}

function createLocalLoad(entries: number): LocalLoad {
  const inFlight: Record<string, number> = {};
  for (let index = 0; index < entries; index++) {
    inFlight[`engine-${1_000 + index}`] = 3;
  }
  return {
    offsets: {config: 39_000, 'claims-0': 812_345},
    inFlight,
    openRequests: 12,
    processCores: 0.25,
  };
}

function waitForever(): Promise<undefined> {
  return new Promise(() => undefined);
}
