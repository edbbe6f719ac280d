/** Model of a fleet whose processes all start at once: real followers on a virtual clock, with links of limited rates between them and the store. */
import {deflateSync} from 'node:zlib';
import {Err, Ok} from 'ts-results';
import {createEngineSpeedEstimator} from '../../src/gateway/engine_speed_estimator';
import {createFleetState, type FleetState} from '../../src/gateway/fleet_state';
import {createPeerMessageHandler} from '../../src/gateway/peer_message_handler';
import type {PeerMessageHandlerOptions} from '../../src/gateway/peer_message_handler';
import {encodeMessage, type PeerMessage} from '../../src/gateway/peer_messages';
import type {Peers} from '../../src/gateway/peers';
import {createRelayChoice} from '../../src/gateway/relay_choice';
import type {SnapshotAnswer} from '../../src/gateway/snapshot_client';
import {createSnapshotSource} from '../../src/gateway/snapshot_source';
import {createStoreFollower} from '../../src/gateway/store_follower';
import type {FleetStore, NodeRecord} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import {collectBy} from '../../src/runtime/collect_by';
import {createDraw} from '../soak/schedule';
import {
  createEntry,
  EMPTY_CONFIG,
  SILENT_LOGGER,
  SILENT_STORE,
} from './support';

/** What a run of the model showed. */
export interface FleetStart {
  /** When each node had a configuration and a server, in milliseconds; undefined for one that had none in the end. */
  readonly readyMs: ReadonlyArray<number | undefined>;
  /** Nodes that had all servers in the end. */
  readonly completeCount: number;
  /** Bytes that each node sent. */
  readonly sentBytes: readonly number[];
  /** Bytes of all nodes by kind of message. */
  readonly kindBytes: Readonly<Record<string, number>>;
  readonly storeCalls: number;
  readonly storeBytes: number;
}

/** Size of the store's pages, as the platform has it. */
const PAGE_ENTRIES = 500;
const PAGE_ENTRY_BYTES = 300;
const CONFIG_BYTES = 20_000;
const NODE_RECORD_BYTES = 200;
const LATENCY_MS = 2;
const MAX_OPEN_ANSWERS = 3;
const UDP_HEAD_BYTES = 28;

interface ModelNode {
  readonly record: NodeRecord;
  readonly bytesPerMs: number;
  readonly state: FleetState;
  readonly handle: (message: PeerMessage) => void;
  readonly start: () => void;
  readonly stop: () => void;
  readonly getConfigVersion: () => number;
  openAnswers: number;
  sentBytes: number;
  sendFreeAtMs: number;
  receiveFreeAtMs: number;
  readyMs?: number;
}

/** Starts the nodes at once and runs them for some time; the store refuses the calls of some of them. */
export async function runFleetStart(options: {
  readonly nodes: number;
  readonly servers: number;
  readonly durationMs: number;
  readonly isRefused: (index: number) => boolean;
}): Promise<FleetStart> {
  const clock = createVirtualClock();
  const draw = createDraw(1);
  const getRandom = () => draw(1_000_000) / 1_000_000;
  const entries = Array.from({length: options.servers}, (_, index) =>
    createEntry({id: `server-${10_000 + index}`, port: 1 + index}),
  );
  const snapshotBytes = deflateSync(JSON.stringify(entries), {level: 1}).length;
  const kindBytes: Record<string, number> = {};
  const store = {calls: 0, bytes: 0};
  const deliveries = new Map<number, Array<() => void>>();
  const nodes = Array.from({length: options.nodes}, (_, index) =>
    createNode(index),
  );
  for (const node of nodes) clock.schedule(20 * getRandom(), node.start);
  for (let atMs = 0; atMs < options.durationMs; atMs += 10) {
    await clock.runUntil(atMs);
    for (const node of nodes) {
      const isReady = node.getConfigVersion() > 0 && hasServers(node, 1);
      if (isReady) node.readyMs ??= atMs;
    }
  }
  for (const node of nodes) node.stop();
  return {
    readyMs: nodes.map(node => node.readyMs),
    completeCount: nodes.filter(node => hasServers(node, options.servers))
      .length,
    sentBytes: nodes.map(node => node.sentBytes),
    kindBytes,
    storeCalls: store.calls,
    storeBytes: store.bytes,
  };

  function createNode(index: number): ModelNode {
    const record: NodeRecord = {
      name: `front-${1_000 + index}`,
      host: '10.0.0.1',
      peerPort: index,
      controlPort: index,
      failureDomain: `zone-${index % 3}`,
    };
    const state = createFleetState();
    const peers = createModelPeers(
      record,
      message => (to: NodeRecord) => sendMessage(node, to, message),
    );
    const modelStore = createModelStore(index);
    const speeds = createEngineSpeedEstimator();
    const fetchSnapshot = createSnapshotSource({
      seeds: [0, 1, 2]
        .filter(seed => seed !== index)
        .map(port => ({host: '', port})),
      peers,
      getRandom,
      fetch: address => sendSnapshot(nodes[address.port], node),
    });
    const follower = createStoreFollower({
      nodeName: record.name,
      store: modelStore,
      state,
      peers,
      clock,
      logger: SILENT_LOGGER,
      speeds,
      capacities: {listFactors: () => [], addFactors: () => undefined},
      fetchSnapshot: async (...request) => {
        const snapshot = await fetchSnapshot(...request);
        handler.addNodes(snapshot?.nodes ?? []);
        return snapshot;
      },
      listQuarantine: () => [],
      getRandom,
      onChange: () => undefined,
      onEraRise: () => undefined,
    });
    const handler = createPeerMessageHandler({
      self: record,
      store: modelStore,
      state,
      peers,
      clock,
      logger: SILENT_LOGGER,
      follower,
      limits: {listMessages: () => []},
      crashGuard: {mergeEntries: () => []},
      getRandom,
    } as unknown as PeerMessageHandlerOptions);
    const node: ModelNode = {
      record,
      // From 7 to 140 Mbit/s.
      bytesPerMs: 875 * 20 ** getRandom(),
      state,
      handle: message => {
        if (message.isForPassing === true) {
          const passed = {...message, isForPassing: undefined};
          for (const to of peers.listSameDomain()) {
            sendMessage(node, to, passed);
          }
        }
        handler.handle(message);
      },
      start: () => {
        follower.start();
        void handler.registerSelf();
      },
      stop: () => {
        follower.stop();
        handler.stop();
      },
      getConfigVersion: () => state.getConfig()?.version ?? 0,
      openAnswers: 0,
      sentBytes: 0,
      sendFreeAtMs: 0,
      receiveFreeAtMs: 0,
    };
    return node;
  }

  function createModelPeers(
    self: NodeRecord,
    createSend: (message: PeerMessage) => (to: NodeRecord) => void,
  ): Peers {
    const known = new Map<string, NodeRecord>();
    const relayChoice = createRelayChoice({
      localDomain: self.failureDomain,
      clock,
      getRandom,
    });
    const listDomains = () =>
      collectBy(known.values(), node => node.failureDomain);
    return {
      promptScope: {
        selectEngines: engines => engines,
        selectNodes: (_serverId, nodes) => nodes,
      },
      open: () => Promise.resolve(),
      close: () => undefined,
      add: node => {
        if (node.name === self.name || known.has(node.name)) return false;
        known.set(node.name, node);
        return true;
      },
      list: () => [...known.values()],
      listSameDomain: () => listDomains().get(self.failureDomain) ?? [],
      count: () => known.size,
      listFirst: () => [],
      countLowerNames: () =>
        [...known.keys()].filter(name => name < self.name).length,
      tryFind: name => known.get(name),
      notify: message => {
        const {direct, relays} = relayChoice.choose(
          listDomains(),
          message.kind,
        );
        direct.forEach(createSend(message));
        relays.forEach(createSend({...message, isForPassing: true}));
      },
      send: (to, message) => createSend(message)(to),
    };
  }

  /** Returns when bytes from a node, or from the store, have arrived at a node, on the monotonic clock, in milliseconds. */
  function sendBytes(
    from: ModelNode | undefined,
    to: ModelNode,
    bytes: number,
  ): number {
    const nowMs = clock.getMonotonicMs();
    let sentAtMs = nowMs;
    if (from !== undefined) {
      from.sentBytes += bytes;
      from.sendFreeAtMs =
        Math.max(nowMs, from.sendFreeAtMs) + bytes / from.bytesPerMs;
      sentAtMs = from.sendFreeAtMs;
    }
    to.receiveFreeAtMs = Math.max(
      sentAtMs,
      Math.max(nowMs, to.receiveFreeAtMs) + bytes / to.bytesPerMs,
    );
    return to.receiveFreeAtMs + LATENCY_MS;
  }

  async function waitFor(atMs: number): Promise<void> {
    await clock.sleep(atMs - clock.getMonotonicMs());
  }

  /** Delivers a message with all others that arrive in the same millisecond. */
  function sendMessage(
    from: ModelNode,
    to: NodeRecord,
    message: PeerMessage,
  ): void {
    const receiver = nodes[to.peerPort];
    const bytes = encodeMessage(message).length + UDP_HEAD_BYTES;
    kindBytes[message.kind] = (kindBytes[message.kind] ?? 0) + bytes;
    const atMs = Math.ceil(sendBytes(from, receiver, bytes));
    const due = deliveries.get(atMs);
    if (due !== undefined) {
      due.push(() => receiver.handle(message));
      return;
    }
    deliveries.set(atMs, [() => receiver.handle(message)]);
    clock.schedule(atMs - clock.getMonotonicMs(), () => {
      for (const deliver of deliveries.get(atMs) ?? []) deliver();
      deliveries.delete(atMs);
    });
  }

  async function sendSnapshot(
    from: ModelNode,
    to: ModelNode,
  ): Promise<SnapshotAnswer> {
    await clock.sleep(2 * LATENCY_MS);
    if (from.openAnswers >= MAX_OPEN_ANSWERS) return {kind: 'busy'};
    if (from.getConfigVersion() === 0) return {kind: 'none'};
    from.openAnswers++;
    const snapshot = {
      config: from.state.getConfig(),
      configOffset: 1,
      entries: from.state.listEntries(),
      entryOffset: from.state.listEntries().length,
      ageMs: 0,
      nodes: [from.record, ...nodes.map(node => node.record)],
    };
    await waitFor(sendBytes(from, to, snapshotBytes + CONFIG_BYTES));
    from.openAnswers--;
    return {kind: 'loaded', snapshot};
  }

  function createModelStore(index: number): FleetStore {
    const call = async <T>(bytes: number, value: T) => {
      store.calls++;
      if (options.isRefused(index)) {
        await clock.sleep(5 * LATENCY_MS);
        return Err(SILENT_STORE);
      }
      store.bytes += bytes;
      await waitFor(sendBytes(undefined, nodes[index], bytes));
      return Ok(value);
    };
    const end = entries.length;
    const partial: Partial<FleetStore> = {
      getEra: () => 0,
      observeEra: () => undefined,
      loadConfig: () =>
        call(CONFIG_BYTES, {config: EMPTY_CONFIG, nextOffset: 1}),
      waitForConfig: async (_offset, waitMs) => {
        await clock.sleep(waitMs);
        return call(100, {nextOffset: 1});
      },
      loadEntries: async onPart => {
        const changes = entries.map(entry => ({id: entry.id, entry}));
        for (let start = 0; ; start += PAGE_ENTRIES) {
          const part = changes.slice(start, start + PAGE_ENTRIES);
          const page = {changes: part, nextOffset: end};
          const answer = await call(PAGE_ENTRY_BYTES * part.length, page);
          if (answer.err) return answer;
          if (start + PAGE_ENTRIES >= end) return Ok({...page, changes});
          onPart?.(page);
        }
      },
      readEntries: () => call(100, {changes: [], nextOffset: end}),
      registerNode: () => call(100, undefined),
      listNodes: () =>
        call(
          NODE_RECORD_BYTES * options.nodes,
          nodes.map(node => node.record),
        ),
    };
    return partial as FleetStore;
  }
}

function hasServers(node: ModelNode, count: number): boolean {
  return node.state.listEntries().length >= count;
}
