/** Collects the counts of all nodes on the few nodes that can report them. */
import type {Clock} from '../runtime/types';
import {expireWindows} from './expire_windows';
import type {UsageMessage} from './usage_messages';

/** What a receiver has of one node in a window. */
export interface ReceivedCounts {
  readonly total: number;
  readonly isFinal: boolean;
}

/** Counts of all nodes. */
export interface UsageCollector {
  /** Merges counts; returns what this node now has of the sender's counts in the window. */
  add(message: UsageMessage): ReceivedCounts;
  /** Returns the sum of all nodes' counts by account, without accounts that have none. */
  computeSums(windowId: number): Readonly<Record<string, number>>;
  /** Lists the nodes that sent counts lately and have not left. */
  listHeard(): readonly string[];
  /** Lists the nodes among them whose final counts of the window are not complete. */
  listIncomplete(windowId: number): readonly string[];
  /** Deletes the windows before the given one. */
  expire(firstKept: number): void;
}

/** Options of the collector. */
export interface UsageCollectorOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  /** Time without counts after which a node is taken for gone, in milliseconds. */
  readonly hearingMs: number;
}

interface ProcessCounts {
  readonly counts: Map<string, number>;
  sum: number;
  total: number;
  isFinal: boolean;
}

/** Creates a collector without counts. */
export function createUsageCollector(
  options: UsageCollectorOptions,
): UsageCollector {
  /** Counts by window, node and incarnation. */
  const windows = new Map<number, Map<string, Map<string, ProcessCounts>>>();
  const heard = new Map<string, {incarnation: string; atMs: number}>();
  return {
    add,
    computeSums,
    listHeard,
    listIncomplete,
    expire: firstKept => expireWindows(windows, firstKept),
  };

  function add(message: UsageMessage): ReceivedCounts {
    const {from, incarnation} = message;
    const atMs = options.clock.getMonotonicMs();
    if (message.isLeaving === true) heard.delete(from);
    else heard.set(from, {incarnation, atMs});
    const process = getProcess(message);
    for (const [account, count] of Object.entries(message.counts)) {
      const before = process.counts.get(account) ?? 0;
      if (count <= before) continue;
      process.counts.set(account, count);
      process.sum += count - before;
    }
    process.total = Math.max(process.total, message.total);
    process.isFinal ||= message.isFinal;
    return {total: process.sum, isFinal: process.isFinal};
  }

  function getProcess(message: UsageMessage): ProcessCounts {
    const nodes = getOrAdd(windows, message.windowId, () => new Map());
    const processes = getOrAdd(nodes, message.from, () => new Map());
    return getOrAdd(processes, message.incarnation, () => ({
      counts: new Map(),
      sum: 0,
      total: 0,
      isFinal: false,
    }));
  }

  function computeSums(windowId: number): Readonly<Record<string, number>> {
    const sums = new Map<string, number>();
    for (const processes of windows.get(windowId)?.values() ?? []) {
      for (const {counts} of processes.values()) {
        for (const [account, count] of counts) {
          if (count > 0) sums.set(account, (sums.get(account) ?? 0) + count);
        }
      }
    }
    return Object.fromEntries(sums);
  }

  function listHeard(): readonly string[] {
    const oldestMs = options.clock.getMonotonicMs() - options.hearingMs;
    for (const [name, {atMs}] of heard) {
      if (atMs < oldestMs) heard.delete(name);
    }
    return [...heard.keys()];
  }

  function listIncomplete(windowId: number): readonly string[] {
    const nodes = windows.get(windowId);
    return listHeard().filter(name => {
      const incarnation = heard.get(name)?.incarnation ?? '';
      const process = nodes?.get(name)?.get(incarnation);
      return !process?.isFinal || process.sum < process.total;
    });
  }
}

function getOrAdd<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}
