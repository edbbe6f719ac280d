/** Chooses which nodes are sent a message directly, and which relay it within their failure domain. */
import {chooseRandom} from '../runtime/choose_random';
import type {Clock} from '../runtime/types';
import type {PeerMessage} from './peer_messages';
import type {NodeRecord} from './types';

/** Nodes that a message is sent to. */
export interface MessageTargets {
  readonly direct: readonly NodeRecord[];
  /** Nodes that relay the message to the other nodes of their failure domain. */
  readonly relays: readonly NodeRecord[];
}

/** Chooses relays, preferring nodes that have recently sent a message. */
export interface RelayChoice {
  /** Records that a message from a node has arrived. */
  recordAlive(host: string, peerPort: number): void;
  /** Chooses the recipients of a message of this kind among the nodes of each failure domain; `isScoped` if these are only the nodes that consider an engine. */
  choose(
    domains: ReadonlyMap<string, readonly NodeRecord[]>,
    kind: PeerMessage['kind'],
    isScoped?: boolean,
  ): MessageTargets;
}

/** Options of the choice. */
export interface RelayChoiceOptions {
  readonly localDomain: string;
  readonly clock: Clock;
  readonly getRandom: () => number;
}

/** Minimum number of nodes in a failure domain that uses relays: in smaller ones, relays save few bytes. */
const MIN_RELAYED_NODES = 6;
/** The same where only some nodes of each failure domain receive the message: there are rarely six, and relays from three on halve the datagrams between failure domains (docs/design/prompt_messages.md). */
const MIN_RELAYED_SCOPED_NODES = 3;
/** How long a node counts as alive after its last message, in milliseconds: several polling intervals of the store. */
const ALIVE_TIMEOUT_MS = 3_000;
/** Kinds of messages that are sent for every request. Later messages make up for a lost one, so that a single relay is enough. */
const FREQUENT_KINDS: ReadonlySet<PeerMessage['kind']> = new Set([
  'placed',
  'overdue',
  'read',
]);
/** Number of relays in each failure domain for all other messages, so that none is lost when one relay is down. */
const RELIABLE_RELAY_COUNT = 2;

/** Creates a choice that has not recorded a message from any node yet. */
export function createRelayChoice(options: RelayChoiceOptions): RelayChoice {
  const {localDomain, clock, getRandom} = options;
  const lastMessageAtMs = new Map<string, number>();
  return {
    recordAlive: (host, peerPort) => {
      lastMessageAtMs.set(`${host}:${peerPort}`, clock.getMonotonicMs());
    },
    choose,
  };

  function choose(
    domains: ReadonlyMap<string, readonly NodeRecord[]>,
    kind: PeerMessage['kind'],
    isScoped = false,
  ): MessageTargets {
    const minRelayed = isScoped ? MIN_RELAYED_SCOPED_NODES : MIN_RELAYED_NODES;
    const direct: NodeRecord[] = [];
    const relays: NodeRecord[] = [];
    const count = FREQUENT_KINDS.has(kind) ? 1 : RELIABLE_RELAY_COUNT;
    for (const [domain, members] of domains) {
      if (domain === localDomain || members.length < minRelayed) {
        direct.push(...members);
      } else relays.push(...chooseRelays(members, count));
    }
    return {direct, relays};
  }

  function chooseRelays(
    members: readonly NodeRecord[],
    count: number,
  ): NodeRecord[] {
    const sinceMs = clock.getMonotonicMs() - ALIVE_TIMEOUT_MS;
    const alive = members.filter(({host, peerPort}) => {
      const atMs = lastMessageAtMs.get(`${host}:${peerPort}`);
      return atMs !== undefined && atMs > sinceMs;
    });
    const candidates = alive.length >= count ? alive : members;
    return chooseRandom(candidates, count, getRandom);
  }
}
