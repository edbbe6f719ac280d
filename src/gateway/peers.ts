/** Sends and receives datagrams to and from the other nodes. */
import {createSocket, type Socket} from 'node:dgram';
import {
  createPromptScope,
  type EngineList,
  type PromptScope,
} from '../announcements';
import type {Logger} from '../diagnostics/log';
import {collectBy} from '../runtime/collect_by';
import type {Clock} from '../runtime/types';
import {
  encodeMessage,
  type PeerMessage,
  tryDecodeMessage,
} from './peer_messages';
import {createRelayChoice} from './relay_choice';
import type {NodeRecord} from './types';

/** The other nodes. */
export interface Peers {
  /** Decides which nodes are notified of a prompt at an engine. */
  readonly promptScope: PromptScope;
  open(): Promise<void>;
  /** Adds or updates a node; returns true when it is new or its host has changed. */
  add(node: NodeRecord): boolean;
  list(): readonly NodeRecord[];
  /** Lists the other nodes in this node's failure domain. */
  listSameDomain(): readonly NodeRecord[];
  count(): number;
  /** Lists the `count` nodes with the lowest names, or fewer if there are not as many. */
  listFirst(count: number): readonly NodeRecord[];
  /** Counts the nodes whose names are lower than this node's. */
  countLowerNames(): number;
  tryFind(name: string): NodeRecord | undefined;
  /** Sends a message to every known node, or to those in the scope of the prompt that it is about; other failure domains that are large receive it through some of their nodes, which relay it. */
  notify(message: PeerMessage): void;
  send(node: NodeRecord, message: PeerMessage): void;
  close(): void;
}

/** Options of `createPeers`. */
export interface PeersOptions {
  readonly self: NodeRecord;
  /** The listed engines; without them, all nodes are notified of every prompt. */
  readonly engines?: EngineList;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly getRandom: () => number;
  readonly onMessage: (message: PeerMessage) => void;
}

/** Address family of the nodes. */
const IP_FAMILY = 4;
const NO_ENGINES: EngineList = {
  listUsable: () => [],
  tryGetUsable: () => undefined,
};

/** Creates the peers; `open` creates and binds the socket. */
export function createPeers(options: PeersOptions): Peers {
  const {self, clock, getRandom} = options;
  const nodes = new Map<string, NodeRecord>();
  /** The nodes by failure domain; undefined until the next use after a change. */
  let nodesByDomain: ReadonlyMap<string, readonly NodeRecord[]> | undefined;
  const relayChoice = createRelayChoice({
    localDomain: self.failureDomain,
    clock,
    getRandom,
  });
  const promptScope = createPromptScope({
    self,
    engines: options.engines ?? NO_ENGINES,
    countPeers: () => nodes.size,
  });
  let socket: Socket | undefined;
  let isUnknownLogged = false;
  return {
    promptScope,
    open,
    add,
    list: () => [...nodes.values()],
    listSameDomain,
    count: () => nodes.size,
    listFirst: count =>
      [...nodes.values()]
        .sort((left, right) => (left.name < right.name ? -1 : 1))
        .slice(0, count),
    countLowerNames: () =>
      [...nodes.keys()].filter(name => name < self.name).length,
    tryFind: name => nodes.get(name),
    notify,
    send,
    close: () => {
      socket?.close();
      socket = undefined;
    },
  };

  function open(): Promise<void> {
    const created = createSocket({type: 'udp4', lookup: resolveAddress});
    socket = created;
    created.on('message', (datagram, sender) => {
      relayChoice.recordAlive(sender.address, sender.port);
      const message = tryDecodeMessage(datagram);
      if (message !== undefined) {
        if (message.isForPassing === true) sendToLocalDomain(message);
        options.onMessage(message);
        return;
      }
      // Logged once: a fleet of another version sends many of them.
      if (isUnknownLogged) return;
      isUnknownLogged = true;
      options.logger.log(
        'warn',
        'received a datagram that is not a peer message',
        {
          bytes: datagram.length,
        },
      );
    });
    return new Promise((resolve, reject) => {
      created.once('error', reject);
      created.bind(self.peerPort, self.host, () => {
        created.off('error', reject);
        created.on('error', error => {
          options.logger.log('warn', 'sending a datagram to a node failed', {
            error: error.message,
          });
        });
        resolve();
      });
    });
  }

  function add(node: NodeRecord): boolean {
    if (node.name === self.name) return false;
    const known = nodes.get(node.name);
    nodes.set(node.name, node);
    nodesByDomain = undefined;
    return known === undefined || known.host !== node.host;
  }

  function getNodesByDomain(): ReadonlyMap<string, readonly NodeRecord[]> {
    return (nodesByDomain ??= collectBy(
      nodes.values(),
      node => node.failureDomain,
    ));
  }

  function listSameDomain(): readonly NodeRecord[] {
    return getNodesByDomain().get(self.failureDomain) ?? [];
  }

  function notify(message: PeerMessage): void {
    if (nodes.size === 0) return;
    const scoped = tryCollectScoped(message);
    const {direct, relays} = relayChoice.choose(
      scoped ?? getNodesByDomain(),
      message.kind,
      scoped !== undefined,
    );
    const datagram = encodeMessage(message);
    for (const node of direct) sendDatagram(node, datagram);
    if (relays.length === 0) return;
    const relayedDatagram = encodeMessage({...message, isForPassing: true});
    for (const node of relays) sendDatagram(node, relayedDatagram);
  }

  /** Collects the nodes that a message concerns by failure domain; undefined when it concerns all. */
  function tryCollectScoped(
    message: PeerMessage,
  ): ReadonlyMap<string, readonly NodeRecord[]> | undefined {
    const serverId = tryGetPromptServer(message);
    if (serverId === undefined) return undefined;
    const receivers = promptScope.selectNodes(serverId, [...nodes.values()]);
    if (receivers.length === nodes.size) return undefined;
    return collectBy(receivers, node => node.failureDomain);
  }

  /** Relays a message from another failure domain to the nodes of this one. */
  function sendToLocalDomain(message: PeerMessage): void {
    const datagram = encodeMessage({...message, isForPassing: undefined});
    const serverId = tryGetPromptServer(message);
    const receivers =
      serverId === undefined
        ? listSameDomain()
        : promptScope.selectNodes(serverId, listSameDomain());
    for (const node of receivers) sendDatagram(node, datagram);
  }

  function send(node: NodeRecord, message: PeerMessage): void {
    sendDatagram(node, encodeMessage(message));
  }

  function sendDatagram(node: NodeRecord, datagram: Buffer): void {
    // Send errors are ignored: a lost datagram is repeated or replaced by a later one.
    socket?.send(datagram, node.peerPort, node.host, () => undefined);
  }
}

/** Returns the engine of the prompt that a message is about, if only the nodes that consider the engine need the message. */
function tryGetPromptServer(message: PeerMessage): string | undefined {
  switch (message.kind) {
    case 'placed':
    case 'overdue':
      return message.serverId;
    case 'read':
      // Any node may choose the decode engine, and one of these streams delays the next.
      return message.isLongRun === true ? undefined : message.serverId;
    default:
      return undefined;
  }
}

/** Replaces the DNS lookup that the socket would make for each datagram: hosts of nodes are IP addresses. */
function resolveAddress(
  address: string,
  _options: object,
  callback: (error: null, address: string, family: number) => void,
): void {
  callback(null, address, IP_FAMILY);
}
