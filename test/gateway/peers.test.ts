import assert from 'node:assert/strict';
import {createSocket, type Socket} from 'node:dgram';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EngineList, EnginePlace} from '../../src/announcements';
import {createPeers, type Peers} from '../../src/gateway/peers';
import type {PeerMessage} from '../../src/gateway/peer_messages';
import type {NodeRecord} from '../../src/gateway';
import {createLogger} from '../../src/diagnostics/log';
import {createSystemClock} from '../../src/runtime/system_clock';
import {SILENT_LOGGER} from './support';

/** Time within which datagrams arrive over loopback, in milliseconds. */
const ARRIVAL_MS = 150;

interface FakeNode {
  readonly record: NodeRecord;
  readonly socket: Socket;
  readonly received: PeerMessage[];
}

let count = 0;

async function openNode(failureDomain: string): Promise<FakeNode> {
  const socket = createSocket('udp4');
  const received: PeerMessage[] = [];
  socket.on('message', datagram => {
    received.push(JSON.parse(datagram.toString()) as PeerMessage);
  });
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const record = {
    name: `node-${count++}`,
    host: '127.0.0.1',
    peerPort: socket.address().port,
    controlPort: 1,
    failureDomain,
  };
  return {record, socket, received};
}

async function openPeers(
  nodes: readonly FakeNode[],
  onMessage: (message: PeerMessage) => void = () => undefined,
  engines?: EngineList,
  logger = SILENT_LOGGER,
): Promise<{peers: Peers; port: number}> {
  const reserved = await openNode('a');
  const port = reserved.record.peerPort;
  await new Promise<void>(resolve => reserved.socket.close(() => resolve()));
  const peers = createPeers({
    self: {...reserved.record, name: 'self', failureDomain: 'a'},
    logger,
    clock: createSystemClock(),
    getRandom: Math.random,
    onMessage,
    ...(engines === undefined ? {} : {engines}),
  });
  await peers.open();
  for (const node of nodes) peers.add(node.record);
  return {peers, port};
}

function openNodes(domain: string, size: number): Promise<FakeNode[]> {
  return Promise.all(Array.from({length: size}, () => openNode(domain)));
}

const READ_MESSAGE: PeerMessage = {
  kind: 'read',
  jobId: 'job',
  serverId: 'engine',
  isRead: true,
};
const SUSPECT_MESSAGE: PeerMessage = {
  kind: 'suspect',
  serverId: 'engine',
  reason: 'connect',
};

async function waitForArrivals(): Promise<void> {
  await sleep(ARRIVAL_MS);
}

function countReceived(nodes: readonly FakeNode[]): number {
  return nodes.reduce((sum, node) => sum + node.received.length, 0);
}

test('a message is sent once to a large failure domain, and twice if it must not be lost', async () => {
  const sameDomain = await openNodes('a', 8);
  const otherDomain = await openNodes('b', 9);
  const {peers} = await openPeers([...sameDomain, ...otherDomain]);
  peers.notify(READ_MESSAGE);
  await waitForArrivals();
  assert.ok(sameDomain.every(node => node.received.length === 1));
  assert.ok(
    sameDomain.every(node => node.received[0].isForPassing === undefined),
  );
  assert.equal(countReceived(otherDomain), 1);
  peers.notify(SUSPECT_MESSAGE);
  await waitForArrivals();
  assert.equal(countReceived(otherDomain), 3);
  const relayed = otherDomain.flatMap(node => node.received);
  assert.ok(relayed.every(message => message.isForPassing === true));
  peers.close();
  for (const node of [...sameDomain, ...otherDomain]) node.socket.close();
});

test('a node relays a message to its own failure domain and handles it itself', async () => {
  const sameDomain = await openNodes('a', 7);
  const otherDomain = await openNodes('b', 7);
  const handled: PeerMessage[] = [];
  const {peers, port} = await openPeers(
    [...sameDomain, ...otherDomain],
    message => {
      handled.push(message);
    },
  );
  const datagram = Buffer.from(
    JSON.stringify({...READ_MESSAGE, isForPassing: true}),
  );
  otherDomain[0].socket.send(datagram, port, '127.0.0.1');
  await waitForArrivals();
  assert.equal(handled.length, 1);
  assert.ok(sameDomain.every(node => node.received.length === 1));
  assert.ok(
    sameDomain.every(node => node.received[0].isForPassing === undefined),
  );
  assert.equal(countReceived(otherDomain), 0);
  peers.close();
  for (const node of [...sameDomain, ...otherDomain]) node.socket.close();
});

test('every node of a small failure domain receives the message directly', async () => {
  const otherDomain = await openNodes('b', 4);
  const {peers} = await openPeers(otherDomain);
  peers.notify(READ_MESSAGE);
  await waitForArrivals();
  assert.ok(otherDomain.every(node => node.received.length === 1));
  peers.close();
  for (const node of otherDomain) node.socket.close();
});

// Guards against messages about prompts to nodes that do not consider the engine, also by relays.
test('in a large fleet, a message about a prompt is sent and relayed only to nodes that consider the engine', async () => {
  const sameDomain = await openNodes('a', 20);
  const otherDomain = await openNodes('b', 20);
  const engines = Array.from({length: 60}, (_, index): EnginePlace => ({
    id: `engine-${index}`,
    service: 'llm',
    failureDomain: index % 2 === 0 ? 'a' : 'b',
    stage: 'prefill',
  }));
  const {peers, port} = await openPeers(
    [...sameDomain, ...otherDomain],
    undefined,
    {
      listUsable: () => engines,
      tryGetUsable: id => engines.find(engine => engine.id === id),
    },
  );
  const listSelected = (serverId: string, nodes: readonly FakeNode[]) =>
    peers.promptScope.selectNodes(
      serverId,
      nodes.map(({record}) => record),
    );
  // Three to five receivers in the other failure domain: too few for a relay of other messages.
  const serverId = engines
    .map(({id}) => id)
    .find(id => [3, 4, 5].includes(listSelected(id, otherDomain).length));
  assert.ok(serverId !== undefined);
  const message = {...READ_MESSAGE, serverId};
  const expected = new Set(listSelected(serverId, sameDomain));
  assert.ok(expected.size > 0 && expected.size < 15, `${expected.size}`);
  peers.notify(message);
  await waitForArrivals();
  for (const {record, received} of sameDomain) {
    assert.equal(received.length, expected.has(record) ? 1 : 0);
  }
  assert.equal(countReceived(otherDomain), 1);
  const passed = JSON.stringify({...message, isForPassing: true});
  otherDomain[0].socket.send(Buffer.from(passed), port, '127.0.0.1');
  await waitForArrivals();
  assert.equal(countReceived(sameDomain), 2 * expected.size);
  peers.notify(SUSPECT_MESSAGE);
  await waitForArrivals();
  assert.equal(countReceived(sameDomain), 2 * expected.size + 20);
  peers.close();
  for (const node of [...sameDomain, ...otherDomain]) node.socket.close();
});

// Guards against a log that a fleet of another version fills.
test('messages of an unknown form are logged once and ignored', async () => {
  const lines: string[] = [];
  const handled: PeerMessage[] = [];
  const {peers, port} = await openPeers(
    [],
    message => handled.push(message),
    undefined,
    createLogger({node: 'self', write: line => lines.push(line)}),
  );
  const {socket} = await openNode('a');
  for (const text of ['{"kind":"announced"}', '{"kind":"announced"}', '?']) {
    socket.send(Buffer.from(text), port, '127.0.0.1');
  }
  await waitForArrivals();
  assert.equal(lines.length, 1);
  assert.equal(handled.length, 0);
  peers.close();
  socket.close();
});
