/** The entry nodes of a replay and the balancer before them. */
import type {Clock} from '../runtime';
import type {EntryNode} from './entry_node';

/** Options of the set. */
export interface NodeSetOptions {
  readonly clock: Clock;
  readonly ids: readonly string[];
  readonly startNode: (id: string, incarnation: number) => EntryNode;
}

/** The nodes. */
export interface NodeSet {
  listIds(): readonly string[];
  /** Lists the nodes that live and are not paused, in order. */
  listRunning(): readonly EntryNode[];
  forEach(callback: (node: EntryNode) => void): void;
  /** Takes the nodes in turn, past those that have looked unhealthy for a time. */
  choose(except?: EntryNode): EntryNode | undefined;
  /** Ends a node; a new process takes its place after `forMs`, or never. */
  kill(id: string, forMs: number | undefined): void;
  setPaused(id: string, isPaused: boolean): void;
  watchDeath(node: EntryNode, onDeath: () => void): () => void;
}

/** How long the balancer takes to notice that a node does not answer, in milliseconds. */
const HEALTH_LAG_MS = 1_000;

/** Starts every node. */
export function createNodeSet(options: NodeSetOptions): NodeSet {
  const {clock, ids} = options;
  const nodes = new Map<string, EntryNode>();
  const incarnations = new Map<string, number>();
  const unhealthySinceMs = new Map<string, number>();
  const watchers = new Map<EntryNode, Set<() => void>>();
  let turn = 0;
  for (const id of ids) startNode(id);
  return {
    listIds: () => ids,
    listRunning: () => [...nodes.values()].filter(isRunning),
    forEach: callback => nodes.forEach(callback),
    choose,
    kill,
    setPaused,
    watchDeath,
  };

  function startNode(id: string): void {
    const incarnation = (incarnations.get(id) ?? 0) + 1;
    incarnations.set(id, incarnation);
    unhealthySinceMs.delete(id);
    nodes.set(id, options.startNode(id, incarnation));
  }

  function choose(except?: EntryNode): EntryNode | undefined {
    const listed = [...nodes.values()].filter(isListed);
    const others = listed.filter(node => node.id !== except?.id);
    const eligible = others.length > 0 ? others : listed;
    if (eligible.length === 0) return undefined;
    return eligible[turn++ % eligible.length];
  }

  function isListed(node: EntryNode): boolean {
    const since = unhealthySinceMs.get(node.id);
    if (since === undefined) return true;
    return clock.getMonotonicMs() - since < HEALTH_LAG_MS;
  }

  function kill(id: string, forMs: number | undefined): void {
    const node = nodes.get(id);
    if (node === undefined || !node.process.isAlive()) return;
    node.kill();
    unhealthySinceMs.set(id, clock.getMonotonicMs());
    const callbacks = [...(watchers.get(node) ?? [])];
    watchers.delete(node);
    for (const onDeath of callbacks) onDeath();
    if (forMs !== undefined) clock.schedule(forMs, () => startNode(id));
  }

  function setPaused(id: string, isPaused: boolean): void {
    const node = nodes.get(id);
    if (node === undefined || !node.process.isAlive()) return;
    if (isPaused) unhealthySinceMs.set(id, clock.getMonotonicMs());
    else unhealthySinceMs.delete(id);
    node.process.setPaused(isPaused);
  }

  function watchDeath(node: EntryNode, onDeath: () => void): () => void {
    const callbacks = watchers.get(node) ?? new Set();
    watchers.set(node, callbacks);
    callbacks.add(onDeath);
    return () => callbacks.delete(onDeath);
  }
}

function isRunning(node: EntryNode): boolean {
  return node.process.isAlive() && !node.process.isPaused();
}
