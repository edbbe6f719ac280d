/**
 * A fleet without a network: nodes choose prefill engines with the gateway's own placement, queues
 * and prefix directories, and tell each other of their prompts under one of several policies.
 */
import {computePrefillMs} from '../src/gateway/engine_costs';
import type {PeerMessage, PlacedMessage} from '../src/gateway/peer_messages';
import {
  tryChoosePrefill,
  type PrefillPlacement,
} from '../src/gateway/placement';
import {PREFILL_END_TOLERANCE_MS} from '../src/gateway/prefill_queues';
import type {ModelRequest} from '../src/gateway/types';
import {getRendezvousWeight} from '../src/runtime/rendezvous';
import {createRandom} from '../test/support/routing_fleet';
import {
  createEngines,
  createNode,
  createRecord,
  DEFAULT_ENGINES_PER_NODE,
  DOMAINS,
  getDelayMs,
  getDelayTo,
  type SimNode,
} from './prompt_messages_fleet';
import type {ModelOptions, ModelResult} from './prompt_messages_types';
import {createEvents, createWorkload} from './prompt_messages_workload';

/** Run time that is stated of a stream, in milliseconds. */
const RUN_MS = 800;
const LOSS = 0.005;
const LARGE_FLEET_PEERS = 32;
const MIN_ANNOUNCED_MS = 60;
const NOISE = 0.1;
/** Excess of a home VM's answer over the wait that a node assumed for which the node asks another one, in milliseconds. */
const ASK_AGAIN_MS = 20;
/** Number of receivers in another failure domain from which one of them relays a message to the others. */
const MIN_RELAYED_NODES = 6;
const MIN_RELAYED_SCOPED_NODES = 3;

/** Runs the model. */
export function runModel(options: ModelOptions): ModelResult {
  const {nodes: nodeCount, policy, durationMs} = options;
  const getRandom = createRandom(options.seed);
  const events = createEvents();
  const engines = createEngines(
    Math.round(
      nodeCount * (options.enginesPerNode ?? DEFAULT_ENGINES_PER_NODE),
    ),
  );
  const entries = engines.map(({entry}) => entry);
  const byId = new Map(engines.map(engine => [engine.entry.id, engine]));
  const records = Array.from({length: nodeCount}, (_, index) =>
    createRecord(index),
  );
  const size =
    policy.kind === 'scope'
      ? policy.size
      : {localEngines: Infinity, remoteEngines: Infinity};
  const nodes = records.map((record, index) =>
    createNode(record, index, nodeCount, size, entries),
  );
  const isLarge = nodeCount - 1 >= LARGE_FLEET_PEERS;
  const {minPrefillMs, assumesEnds} = options.rule ?? {
    minPrefillMs: isLarge ? MIN_ANNOUNCED_MS : 0,
    assumesEnds: isLarge,
  };
  // A generator of its own, so that all policies get the same prompts.
  const workload = createWorkload(
    options,
    nodes,
    engines,
    createRandom(options.seed + 1_000),
  );
  const minRelayedNodes =
    options.minRelayedNodes ??
    (policy.kind === 'scope' && isLarge
      ? MIN_RELAYED_SCOPED_NODES
      : MIN_RELAYED_NODES);
  const latencies: number[] = [];
  let remoteCount = 0;
  let prompts = 0;
  let served = 0;
  let refused = 0;
  let errorMs = 0;
  let placedCount = 0;
  let cachedTokens = 0;
  let promptTokens = 0;
  updateHomes();
  scheduleArrival(0);
  if (policy.kind === 'home') scheduleReports(policy.reportMs);
  if (options.losesDomain === true) events.add(durationMs / 2, crashDomain);
  events.run(durationMs + 5_000);
  const total = nodes.map(node => node.messages);
  return {
    prompts,
    goodput: served / prompts,
    refused: refused / prompts,
    errorMs: errorMs / Math.max(1, placedCount),
    p99Ms: latencies.sort((left, right) => left - right)[
      Math.floor(latencies.length * 0.99)
    ],
    cached: cachedTokens / promptTokens,
    messagesPerPrompt:
      nodes.reduce((sum, node) => sum + node.received, 0) / prompts,
    remotePerPrompt: remoteCount / prompts,
    busiestPerS: (Math.max(...total) * 1_000) / durationMs,
    busiestNode: total.indexOf(Math.max(...total)),
  };

  function scheduleArrival(atMs: number): void {
    if (atMs > durationMs) return;
    events.add(atMs, () => {
      const {node, model, objectiveMs} = workload.next();
      if (!node.isDown) {
        prompts++;
        submitPrompt(node, model, objectiveMs, atMs, new Map(), prompts);
      }
      scheduleArrival(atMs + workload.nextGapMs());
    });
  }

  function submitPrompt(
    node: SimNode,
    model: ModelRequest,
    objectiveMs: number,
    arrivedMs: number,
    answers: ReadonlyMap<string, number>,
    id: number,
  ): void {
    const nowMs = events.nowMs();
    const placement = tryChoosePrefill({
      request: model,
      engines: entries.filter(
        ({id: engineId}) => byId.get(engineId)?.isDown !== true,
      ),
      prefillQueues:
        answers.size === 0
          ? node.queues
          : {
              ...node.queues,
              getWaitMs: (serverId, atMs) =>
                answers.get(serverId) ?? node.queues.getWaitMs(serverId, atMs),
            },
      prefixes: node.prefixes,
      affinity: node.affinity,
      path: {
        localDomain: node.record.failureDomain,
        hasConnection: () => true,
      },
      isHomeCacheWarm: false,
      predictPrefillMs: computePrefillMs,
      getTimeFactor: server => byId.get(server.id)?.factor ?? 1,
      getRandom,
      countStreams: () => 0,
      getSlotWaitMs: () => 0,
      handoffMs: 20,
      bodyBytes: 4 * model.promptTokens,
      nowMs,
    });
    const elapsedMs = nowMs - arrivedMs;
    if (placement === undefined) {
      refused++;
      return;
    }
    const {server, waitMs, prefillMs} = placement;
    if (policy.kind === 'home' && policy.isAsked && answers.size < 2) {
      const engine = byId.get(server.id);
      const home = engine === undefined ? node : nodes[engine.home];
      if (!answers.has(server.id)) {
        sendQuestion(node, home, server.id, reply => {
          const known = new Map(answers).set(server.id, reply);
          if (reply > waitMs + ASK_AGAIN_MS || answers.size > 0) {
            submitPrompt(node, model, objectiveMs, arrivedMs, known, id);
          } else {
            submit(node, model, objectiveMs, arrivedMs, placement, id);
          }
        });
        return;
      }
    }
    if (elapsedMs + waitMs + prefillMs > objectiveMs) {
      refused++;
      return;
    }
    submit(node, model, objectiveMs, arrivedMs, placement, id);
  }

  /** Asks a home VM for the wait at an engine; a home VM that does not answer is skipped. */
  function sendQuestion(
    node: SimNode,
    home: SimNode,
    serverId: string,
    onReply: (waitMs: number) => void,
  ): void {
    if (home === node) {
      onReply(node.queues.getWaitMs(serverId, events.nowMs()));
      return;
    }
    const delayMs = getDelayMs(node, home);
    count(node, home);
    count(home, node);
    if (home.isDown || getRandom() < 2 * LOSS) {
      events.add(events.nowMs() + 20, () =>
        onReply(node.queues.getWaitMs(serverId, events.nowMs())),
      );
      return;
    }
    events.add(events.nowMs() + delayMs, () => {
      const waitMs = home.queues.getWaitMs(serverId, events.nowMs());
      events.add(events.nowMs() + delayMs, () => onReply(waitMs));
    });
  }

  function submit(
    node: SimNode,
    model: ModelRequest,
    objectiveMs: number,
    arrivedMs: number,
    {server, waitMs, prefillMs}: PrefillPlacement,
    number: number,
  ): void {
    const engine = byId.get(server.id);
    if (engine === undefined) return;
    const nowMs = events.nowMs();
    const id = `j${number}`;
    const shared = model.parts.slice(0, -1);
    const actualCached = engine.cache.getCachedTokens(server.id, shared);
    engine.cache.recordPrefill(server.id, model.parts);
    cachedTokens += actualCached;
    promptTokens += model.promptTokens;
    const actualMs =
      computePrefillMs(model.promptTokens, actualCached) *
      engine.factor *
      (1 + NOISE * (2 * getRandom() - 1));
    const arrivesMs = nowMs + getDelayTo(node, server);
    engine.freeAtMs = Math.max(engine.freeAtMs, arrivesMs) + actualMs;
    const endMs = engine.freeAtMs;
    node.queues.add({id, serverId: server.id, costMs: prefillMs}, nowMs);
    node.prefixes.recordPrefill(server.id, model.parts);
    const endsInMs = waitMs + prefillMs;
    const isAnnounced = prefillMs >= minPrefillMs;
    if (isAnnounced) {
      const placed: PlacedMessage = {
        kind: 'placed',
        jobId: id,
        serverId: server.id,
        costMs: Math.round(prefillMs),
        parts: shared,
        ...(assumesEnds ? {endsInMs: Math.round(endsInMs)} : {}),
      };
      notify(node, server.id, placed, (receiver, atMs) => {
        receiver.queues.add({...placed, id}, atMs);
        receiver.prefixes.recordPrefill(server.id, shared);
      });
    }
    const latestMs = nowMs + endsInMs + PREFILL_END_TOLERANCE_MS;
    if (isAnnounced && assumesEnds && endMs > latestMs) {
      const overdue = {
        kind: 'overdue',
        jobId: id,
        serverId: server.id,
      } as const;
      events.add(latestMs, () =>
        notify(node, server.id, overdue, (receiver, atMs) =>
          receiver.queues.recordOverdue(id, atMs),
        ),
      );
    }
    placedCount++;
    errorMs += Math.abs(endMs - nowMs - endsInMs);
    events.add(endMs, () => {
      node.queues.remove(id, endMs);
      if (!engine.isDown && !node.isDown) {
        latencies.push(endMs - arrivedMs);
        if (endMs - arrivedMs <= objectiveMs + PREFILL_END_TOLERANCE_MS) {
          served++;
        }
      }
      const isAsPredicted =
        assumesEnds &&
        Math.abs(endMs - nowMs - endsInMs) <= PREFILL_END_TOLERANCE_MS;
      if (!isAnnounced || isAsPredicted) return;
      const read: PeerMessage = {
        kind: 'read',
        jobId: id,
        serverId: server.id,
        isRead: true,
        decodeId: server.id,
        runMs: RUN_MS,
        sample: {
          service: server.service,
          sheetMs: waitMs + prefillMs,
          observedMs: endMs - nowMs,
        },
      };
      notify(node, server.id, read, (receiver, atMs) =>
        receiver.queues.remove(id, atMs),
      );
    });
  }

  /** Delivers a message about a prompt to the nodes that the policy names. */
  function notify(
    sender: SimNode,
    serverId: string,
    message: PeerMessage,
    deliver: (receiver: SimNode, atMs: number) => void,
  ): void {
    if (sender.isDown) return;
    const {onMessage} = options;
    const sentAtMs = events.nowMs();
    onMessage?.({node: sender.index, atMs: sentAtMs, isSent: true, message});
    const waitMs = policy.kind === 'batch' ? policy.windowMs * getRandom() : 0;
    for (const [domain, members] of listReceivers(sender, serverId)) {
      const isRelayed =
        domain !== sender.record.failureDomain &&
        members.length >= minRelayedNodes;
      const relay = isRelayed
        ? members[Math.floor(getRandom() * members.length)]
        : undefined;
      if (relay?.isDown === true) continue;
      for (const receiver of members) {
        const from = relay === undefined || receiver === relay ? sender : relay;
        count(from, receiver);
        if (receiver.isDown || getRandom() < LOSS) continue;
        const atMs = sentAtMs + waitMs + getDelayMs(sender, receiver);
        onMessage?.({
          node: receiver.index,
          atMs,
          isSent: false,
          message:
            receiver === relay ? {...message, isForPassing: true} : message,
        });
        events.add(atMs, () => deliver(receiver, atMs));
      }
    }
  }

  function listReceivers(
    sender: SimNode,
    serverId: string,
  ): ReadonlyMap<string, readonly SimNode[]> {
    const groups = new Map<string, SimNode[]>();
    for (const node of listNamed()) {
      if (node === sender) continue;
      const {failureDomain} = node.record;
      const group = groups.get(failureDomain) ?? [];
      groups.set(failureDomain, group);
      group.push(node);
    }
    return groups;

    function listNamed(): readonly SimNode[] {
      switch (policy.kind) {
        case 'none':
          return [];
        case 'home':
          return [nodes[byId.get(serverId)?.home ?? 0]];
        case 'all':
        case 'batch':
          return nodes;
        case 'scope':
          return sender.scope
            .selectNodes(serverId, records)
            .map(({peerPort}) => nodes[peerPort]);
      }
    }
  }

  /** Each home VM reports the queues of its engines to all nodes, through one relay in each failure domain. */
  function scheduleReports(intervalMs: number): void {
    for (const node of nodes) {
      const start = getRandom() * intervalMs;
      for (let atMs = start; atMs < durationMs; atMs += intervalMs) {
        events.add(atMs, () => reportQueues(node));
      }
    }
  }

  function reportQueues(node: SimNode): void {
    if (node.isDown) return;
    const own = engines.filter(({home}) => home === node.index);
    if (own.length === 0) return;
    const reports = own.map(({entry}) => ({
      id: entry.id,
      waitMs: node.queues.getWaitMs(entry.id, events.nowMs()),
    }));
    for (const receiver of nodes) {
      if (receiver === node || receiver.isDown) continue;
      count(node, receiver);
      const delayMs = getDelayMs(node, receiver);
      events.add(events.nowMs() + delayMs, () => {
        const nowMs = events.nowMs();
        for (const {id, waitMs} of reports) {
          // A report replaces what the node knows of other nodes' prompts there.
          receiver.queues.removeServer(id);
          if (waitMs > 0) {
            receiver.queues.add(
              {id: `r-${id}`, serverId: id, costMs: waitMs},
              nowMs,
            );
          }
        }
      });
    }
  }

  function count(from: SimNode, to: SimNode): void {
    if (from.record.failureDomain !== to.record.failureDomain) remoteCount++;
    from.messages++;
    to.messages++;
    to.received++;
  }

  function updateHomes(): void {
    const alive = nodes.filter(node => !node.isDown);
    for (const engine of engines) {
      let best = '';
      for (const node of alive) {
        const weight = getRendezvousWeight(engine.entry.id, node.record.name);
        if (weight <= best) continue;
        best = weight;
        engine.home = node.index;
      }
    }
  }

  function crashDomain(): void {
    for (const node of nodes) {
      node.isDown ||= node.record.failureDomain === DOMAINS[2];
    }
    for (const engine of engines) {
      engine.isDown ||= engine.entry.failureDomain === DOMAINS[2];
    }
    // The nodes notice that the homes are silent.
    events.add(events.nowMs() + 500, updateHomes);
  }
}
