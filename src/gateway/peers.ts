/** Datagrams to and from the other nodes. */
import {createSocket, type Socket} from 'node:dgram';
import type {Logger} from '../diagnostics/log';
import {
  encodeMessage,
  type PeerMessage,
  tryDecodeMessage,
} from './peer_messages';
import type {NodeRecord} from './types';

/** The other nodes. */
export interface Peers {
  open(): Promise<void>;
  /** Takes note of a node; returns true when it is new. */
  add(node: NodeRecord): boolean;
  list(): readonly NodeRecord[];
  tryFind(name: string): NodeRecord | undefined;
  /** Sends a message to every known node. */
  notify(message: PeerMessage): void;
  send(node: NodeRecord, message: PeerMessage): void;
  close(): void;
}

/** Options of the peers. */
export interface PeersOptions {
  readonly self: NodeRecord;
  readonly logger: Logger;
  readonly onMessage: (message: PeerMessage) => void;
}

/** Creates the socket's owner; `open` binds it. */
export function createPeers(options: PeersOptions): Peers {
  const nodes = new Map<string, NodeRecord>();
  let socket: Socket | undefined;
  let malformedCount = 0;
  return {
    open,
    add,
    list: () => [...nodes.values()],
    tryFind: name => nodes.get(name),
    notify,
    send,
    close: () => {
      socket?.close();
      socket = undefined;
    },
  };

  function open(): Promise<void> {
    const created = createSocket('udp4');
    socket = created;
    created.on('message', datagram => {
      const message = tryDecodeMessage(datagram);
      if (message !== undefined) return options.onMessage(message);
      malformedCount++;
      options.logger.log('warn', 'datagram is not a message between nodes', {
        malformedCount,
        bytes: datagram.length,
      });
    });
    return new Promise((resolve, reject) => {
      created.once('error', reject);
      created.bind(options.self.peerPort, options.self.host, () => {
        created.off('error', reject);
        created.on('error', error => {
          options.logger.log('warn', 'sending to a node failed', {
            error: error.message,
          });
        });
        resolve();
      });
    });
  }

  function add(node: NodeRecord): boolean {
    if (node.name === options.self.name) return false;
    const known = nodes.get(node.name);
    nodes.set(node.name, node);
    return known === undefined || known.host !== node.host;
  }

  function notify(message: PeerMessage): void {
    if (nodes.size === 0) return;
    const datagram = encodeMessage(message);
    for (const node of nodes.values()) sendDatagram(node, datagram);
  }

  function send(node: NodeRecord, message: PeerMessage): void {
    sendDatagram(node, encodeMessage(message));
  }

  function sendDatagram(node: NodeRecord, datagram: Buffer): void {
    // A lost datagram is repeated or replaced by a later one.
    socket?.send(datagram, node.peerPort, node.host, () => undefined);
  }
}
