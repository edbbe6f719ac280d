/** Chooses which nodes get a message directly, and which pass it on in their failure domain. */
import type {Clock} from '../runtime/types';
import type {PeerMessage} from './peer_messages';
import type {NodeRecord} from './types';

/** The nodes to which a message is sent. */
export interface MessageTargets {
  readonly direct: readonly NodeRecord[];
  /** Nodes that pass the message on to the others of their failure domain. */
  readonly relays: readonly NodeRecord[];
}

/** A choice that knows which nodes were heard from. */
export interface RelayChoice {
  recordAlive(host: string, peerPort: number): void;
  /** Chooses among the nodes of each failure domain. */
  choose(
    domains: ReadonlyMap<string, readonly NodeRecord[]>,
    kind: PeerMessage['kind'],
  ): MessageTargets;
}

/** Options of the choice. */
export interface RelayChoiceOptions {
  readonly localDomain: string;
  readonly clock: Clock;
  readonly getRandom: () => number;
}

/** Smallest failure domain in which messages are passed on: below it, the bytes saved are few. */
const MIN_RELAYED_NODES = 6;
/** How long a node counts as alive after it was heard from, in milliseconds: some polls of the store. */
const ALIVE_TIMEOUT_MS = 3_000;
/** Messages that come for each request: one that is lost is made up for by later ones. */
const FREQUENT_KINDS: ReadonlySet<PeerMessage['kind']> = new Set([
  'placed',
  'overdue',
  'read',
]);
/** Nodes of each domain that pass on any other message, so that one that is down loses none. */
const RELIABLE_RELAY_COUNT = 2;

/** Creates a choice. */
export function createRelayChoice(options: RelayChoiceOptions): RelayChoice {
  const {localDomain, clock, getRandom} = options;
  const heardAtMs = new Map<string, number>();
  return {
    recordAlive: (host, peerPort) => {
      heardAtMs.set(`${host}:${peerPort}`, clock.getMonotonicMs());
    },
    choose,
  };

  function choose(
    domains: ReadonlyMap<string, readonly NodeRecord[]>,
    kind: PeerMessage['kind'],
  ): MessageTargets {
    const direct: NodeRecord[] = [];
    const relays: NodeRecord[] = [];
    const count = FREQUENT_KINDS.has(kind) ? 1 : RELIABLE_RELAY_COUNT;
    for (const [domain, members] of domains) {
      if (domain === localDomain || members.length < MIN_RELAYED_NODES) {
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
      const atMs = heardAtMs.get(`${host}:${peerPort}`);
      return atMs !== undefined && atMs > sinceMs;
    });
    const candidates = alive.length >= count ? alive : [...members];
    return Array.from({length: count}, () => {
      const index = Math.floor(getRandom() * candidates.length);
      return candidates.splice(index, 1)[0];
    });
  }
}
