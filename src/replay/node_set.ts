/** The entry nodes of a replay and the load balancer in front of them. */
import type {Clock} from '../runtime';
import type {EntryNode} from './entry_node';

/** Options of the node set. */
export interface NodeSetOptions {
  readonly clock: Clock;
  readonly ids: readonly string[];
  readonly startNode: (id: string, incarnation: number) => EntryNode;
}

/** The entry nodes behind a load balancer. */
export interface NodeSet {
  listIds(): readonly string[];
  /** Lists the nodes that are alive and not paused, in the order of `ids`. */
  listRunning(): readonly EntryNode[];
  forEach(callback: (node: EntryNode) => void): void;
  /** Returns the next node in rotation, round robin; another than `except` if there is one. */
  chooseNode(except?: EntryNode): EntryNode | undefined;
  /** Kills a node; a new process replaces it after `restartAfterMs`, or never when that is undefined. */
  kill(id: string, restartAfterMs: number | undefined): void;
  setPaused(id: string, isPaused: boolean): void;
  watchExit(node: EntryNode, onExit: () => void): () => void;
}

/** Time until the load balancer takes a node that does not answer out of rotation, in milliseconds. */
const HEALTH_LAG_MS = 1_000;

/** Starts every node. */
export function createNodeSet(options: NodeSetOptions): NodeSet {
  const {clock, ids} = options;
  const nodes = new Map<string, EntryNode>();
  const incarnations = new Map<string, number>();
  const unhealthySinceMs = new Map<string, number>();
  const exitCallbacks = new Map<EntryNode, Set<() => void>>();
  let nextIndex = 0;
  for (const id of ids) startNode(id);
  return {
    listIds: () => ids,
    listRunning: () => [...nodes.values()].filter(isRunning),
    forEach: callback => nodes.forEach(callback),
    chooseNode,
    kill,
    setPaused,
    watchExit,
  };

  function startNode(id: string): void {
    const incarnation = (incarnations.get(id) ?? 0) + 1;
    incarnations.set(id, incarnation);
    unhealthySinceMs.delete(id);
    nodes.set(id, options.startNode(id, incarnation));
  }

  function chooseNode(except?: EntryNode): EntryNode | undefined {
    const inRotation = [...nodes.values()].filter(isInRotation);
    const others = inRotation.filter(node => node.id !== except?.id);
    const eligible = others.length > 0 ? others : inRotation;
    if (eligible.length === 0) return undefined;
    return eligible[nextIndex++ % eligible.length];
  }

  function isInRotation(node: EntryNode): boolean {
    const sinceMs = unhealthySinceMs.get(node.id);
    if (sinceMs === undefined) return true;
    return clock.getMonotonicMs() - sinceMs < HEALTH_LAG_MS;
  }

  function kill(id: string, restartAfterMs: number | undefined): void {
    const node = nodes.get(id);
    if (node === undefined || !node.process.isAlive()) return;
    node.kill();
    unhealthySinceMs.set(id, clock.getMonotonicMs());
    const callbacks = [...(exitCallbacks.get(node) ?? [])];
    exitCallbacks.delete(node);
    for (const onExit of callbacks) onExit();
    if (restartAfterMs !== undefined)
      clock.schedule(restartAfterMs, () => startNode(id));
  }

  function setPaused(id: string, isPaused: boolean): void {
    const node = nodes.get(id);
    if (node === undefined || !node.process.isAlive()) return;
    if (isPaused) unhealthySinceMs.set(id, clock.getMonotonicMs());
    else unhealthySinceMs.delete(id);
    node.process.setPaused(isPaused);
  }

  function watchExit(node: EntryNode, onExit: () => void): () => void {
    const callbacks = exitCallbacks.get(node) ?? new Set();
    exitCallbacks.set(node, callbacks);
    callbacks.add(onExit);
    return () => callbacks.delete(onExit);
  }
}

function isRunning(node: EntryNode): boolean {
  return node.process.isAlive() && !node.process.isPaused();
}
