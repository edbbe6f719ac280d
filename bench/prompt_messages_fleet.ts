/** Nodes and engines of the model in `prompt_messages_model.ts`. */
import {createPromptScope, type ScopeSize} from '../src/announcements';
import {createEngineAffinity} from '../src/gateway/engine_affinity';
import {
  createPrefillQueues,
  type PrefillQueues,
} from '../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../src/gateway/prefix_directory';
import {
  type BackendEntry,
  EngineStage,
  type NodeRecord,
} from '../src/gateway/types';

/** Failure domains of the model. */
export const DOMAINS = ['a', 'b', 'c'];
/** Prefill engines for each node, unless a run states another number. */
export const DEFAULT_ENGINES_PER_NODE = 0.4;
/** Relative times of the engines, as in the first deployment. */
const ENGINE_FACTORS = [0.7, 0.7, 1.7];
const KV_TOKENS = 450_000;
const ENGINE_SLOTS = 128;
const LOCAL_DELAY_MS = 1;
const REMOTE_DELAY_MS = 4;

/** A node of the model. */
export interface SimNode {
  readonly index: number;
  readonly record: NodeRecord;
  readonly queues: PrefillQueues;
  readonly prefixes: ReturnType<typeof createPrefixDirectory>;
  readonly affinity: ReturnType<typeof createEngineAffinity>;
  readonly scope: ReturnType<typeof createPromptScope>;
  isDown: boolean;
  messages: number;
  received: number;
}

/** An engine of the model. */
export interface SimEngine {
  readonly entry: BackendEntry;
  readonly factor: number;
  readonly cache: ReturnType<typeof createPrefixDirectory>;
  freeAtMs: number;
  isDown: boolean;
  home: number;
}
/** Returns the time of a datagram between two nodes, in milliseconds. */
export function getDelayMs(from: SimNode, to: SimNode): number {
  return from.record.failureDomain === to.record.failureDomain
    ? LOCAL_DELAY_MS
    : REMOTE_DELAY_MS;
}

/** Returns the time of a prompt to an engine, in milliseconds. */
export function getDelayTo(from: SimNode, server: BackendEntry): number {
  return from.record.failureDomain === server.failureDomain
    ? LOCAL_DELAY_MS
    : REMOTE_DELAY_MS;
}

/** Creates the record of a node. */
export function createRecord(index: number): NodeRecord {
  return {
    name: `node-${index}`,
    host: '127.0.0.1',
    peerPort: index,
    controlPort: 1,
    failureDomain: DOMAINS[index % DOMAINS.length],
  };
}

/** Creates a node that considers engines within a scope. */
export function createNode(
  record: NodeRecord,
  index: number,
  nodeCount: number,
  size: ScopeSize,
  entries: readonly BackendEntry[],
): SimNode {
  const byId = new Map(entries.map(entry => [entry.id, entry]));
  const scope = createPromptScope({
    self: record,
    engines: {listUsable: () => entries, tryGetUsable: id => byId.get(id)},
    countPeers: () => nodeCount - 1,
    size,
  });
  return {
    index,
    record,
    scope,
    queues: createPrefillQueues(),
    prefixes: createPrefixDirectory(() => KV_TOKENS),
    affinity: createEngineAffinity(scope),
    isDown: false,
    messages: 0,
    received: 0,
  };
}

/** Creates the engines of a fleet. */
export function createEngines(count: number): SimEngine[] {
  return Array.from({length: count}, (_, index) => ({
    entry: {
      id: `engine-${index}`,
      service: 'llm',
      host: '127.0.0.1',
      port: 1,
      failureDomain: DOMAINS[index % DOMAINS.length],
      maxRunning: ENGINE_SLOTS,
      isLeaving: false,
      stage: EngineStage.Prefill,
      startedAtMs: 1,
    },
    factor:
      ENGINE_FACTORS[
        Math.floor(index / DOMAINS.length) % ENGINE_FACTORS.length
      ],
    cache: createPrefixDirectory(() => KV_TOKENS),
    freeAtMs: 0,
    isDown: false,
    home: 0,
  }));
}
