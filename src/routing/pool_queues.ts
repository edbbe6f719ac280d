/** The queued requests of a node: one queue for each engine pool, with common limits. */
import type {EnginePool} from './engine_table';
import type {FairQueue, QueueItem} from './fair_queue';
import {createLaneQueue} from './lane_queue';

/** A queued request and the engine pool that it waits for. */
export interface WaitingItem extends QueueItem {
  readonly pool: EnginePool;
}

/** The queue of one pool. */
export interface PoolQueue<T extends WaitingItem> {
  readonly pool: EnginePool;
  readonly queue: FairQueue<T>;
  /** Average engine time of the requests started per millisecond; 0 until first measured. */
  drainRate: number;
  /** Start of the current measurement interval of the rate. */
  measuredFromMs: number;
  /** Cost of the requests started in the interval, in milliseconds of engine time. */
  drainedMs: number;
}

/** Limits of all queues of a node together. */
export interface QueueLimits {
  readonly maxRequests?: number;
  readonly maxTokens?: number;
}

/** Result of adding a request. */
export type AddResult<T> =
  | {readonly kind: 'added'}
  /** Added in place of a request of the client account with the most queued tokens per weight. */
  | {readonly kind: 'replaced'; readonly evicted: T}
  /** Not added. */
  | {readonly kind: 'full'};

/** The queues of a node. */
export interface PoolQueues<T extends WaitingItem> {
  add(item: T, nowMs: number): AddResult<T>;
  /** Returns whether `add` would add the request. */
  canAdd(item: T): boolean;
  /** Removes a request that starts. */
  take(item: T, nowMs: number): void;
  /** Removes a request that does not start. */
  remove(item: T): void;
  listQueues(): Iterable<PoolQueue<T>>;
  tryGetQueue(pool: EnginePool): PoolQueue<T> | undefined;
  /** Predicts the wait of a new request, in milliseconds; 0 while the drain rate is unknown. */
  predictWaitMs(item: WaitingItem): number;
  getSize(): number;
}

const DEFAULTS = {maxRequests: 1_024, maxTokens: 4_000_000};
/** Shortest interval over which the drain rate is measured, in milliseconds. */
const DRAIN_RATE_INTERVAL_MS = 500;
/** Weight of the last interval in the average drain rate. */
const DRAIN_RATE_WEIGHT = 0.5;

/** Creates the queues of a node, all empty. */
export function createPoolQueues<T extends WaitingItem>(
  options: QueueLimits = {},
): PoolQueues<T> {
  const {maxRequests, maxTokens} = {...DEFAULTS, ...options};
  const queues = new Map<EnginePool, PoolQueue<T>>();
  let size = 0;
  let tokens = 0;
  return {
    add,
    canAdd: item => hasFreeRoom(item) || tryFindEvicted(item) !== undefined,
    take,
    remove,
    listQueues: () => queues.values(),
    tryGetQueue: pool => queues.get(pool),
    predictWaitMs,
    getSize: () => size,
  };

  function add(item: T, nowMs: number): AddResult<T> {
    if (hasFreeRoom(item)) {
      addItem(item, nowMs);
      return {kind: 'added'};
    }
    const evicted = tryFindEvicted(item);
    if (evicted === undefined) return {kind: 'full'};
    remove(evicted);
    addItem(item, nowMs);
    return {kind: 'replaced', evicted};
  }

  function hasFreeRoom(item: T): boolean {
    return size < maxRequests && tokens + item.tokens <= maxTokens;
  }

  /**
   * Returns the request to evict for a new one: the last of the client account with the most
   * queued tokens per weight, if that is more than the new request has by itself. An account
   * does not evict its own requests, except a non-urgent one for an urgent one.
   */
  function tryFindEvicted(item: T): T | undefined {
    let evicted: T | undefined;
    let most = item.tokens / item.weight;
    for (const {queue} of queues.values()) {
      const largest = queue.tryFindLargest();
      if (largest === undefined || largest.tokensPerWeight <= most) continue;
      if (largest.item.clientAccount === item.clientAccount) {
        if (!item.isUrgent || largest.item.isUrgent) return undefined;
      }
      most = largest.tokensPerWeight;
      evicted = largest.item;
    }
    return evicted;
  }

  function addItem(item: T, nowMs: number): void {
    getQueue(item.pool, nowMs).queue.add(item);
    size++;
    tokens += item.tokens;
  }

  function getQueue(pool: EnginePool, nowMs: number): PoolQueue<T> {
    const known = queues.get(pool);
    if (known !== undefined) return known;
    const created: PoolQueue<T> = {
      pool,
      queue: createLaneQueue<T>(),
      drainRate: 0,
      measuredFromMs: nowMs,
      drainedMs: 0,
    };
    queues.set(pool, created);
    return created;
  }

  function take(item: T, nowMs: number): void {
    const poolQueue = queues.get(item.pool);
    if (poolQueue === undefined) return;
    poolQueue.queue.take(item);
    poolQueue.drainedMs += item.costMs;
    updateDrainRate(poolQueue, nowMs);
    recordRemoval(poolQueue, item);
  }

  function updateDrainRate(poolQueue: PoolQueue<T>, nowMs: number): void {
    const elapsedMs = nowMs - poolQueue.measuredFromMs;
    if (elapsedMs < DRAIN_RATE_INTERVAL_MS) return;
    const rate = poolQueue.drainedMs / elapsedMs;
    poolQueue.drainRate +=
      poolQueue.drainRate === 0
        ? rate
        : DRAIN_RATE_WEIGHT * (rate - poolQueue.drainRate);
    poolQueue.measuredFromMs = nowMs;
    poolQueue.drainedMs = 0;
  }

  function remove(item: T): void {
    const poolQueue = queues.get(item.pool);
    if (poolQueue?.queue.remove(item)) recordRemoval(poolQueue, item);
  }

  function recordRemoval(poolQueue: PoolQueue<T>, item: T): void {
    size--;
    tokens -= item.tokens;
    if (poolQueue.queue.getSize() === 0) queues.delete(poolQueue.pool);
  }

  function predictWaitMs(item: WaitingItem): number {
    const poolQueue = queues.get(item.pool);
    if (poolQueue === undefined || poolQueue.drainRate === 0) return 0;
    return poolQueue.queue.getCostAhead(item) / poolQueue.drainRate;
  }
}
