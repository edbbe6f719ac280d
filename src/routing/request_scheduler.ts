/**
 * Starts requests on engines, at once or after a wait in a queue, and refuses those that cannot
 * meet their deadlines.
 */
import type {Clock} from '../runtime';
import type {RequestFailure} from '../verdict';
import {createOverloadedFailure, tryGetDeadlineRefusal} from './admission';
import type {ResolvedOptions} from './dispatcher_options';
import type {EngineEntry, EngineTable} from './engine_table';
import type {OpenRequest} from './open_request';
import type {EstimatedPlan, Placement} from './placement';
import {createWaitingRequest, type WaitingRequest} from './waiting_request';
import {createPoolQueues, type PoolQueue} from './pool_queues';

/** What the scheduler uses from the dispatcher. */
export interface RequestSchedulerHost {
  readonly clock: Clock;
  readonly table: EngineTable;
  readonly placement: Placement;
  startAttempt(entry: OpenRequest, plan: EstimatedPlan): void;
  /** Ends a request that will not be sent. */
  refuse(entry: OpenRequest, failure: RequestFailure): void;
  /** A request has been queued; `waitMs` is its predicted wait. */
  onWait(entry: OpenRequest, waitMs: number): void;
}

/** Schedules requests. */
export interface RequestScheduler {
  /** Starts, queues or refuses a request. */
  submit(entry: OpenRequest): void;
  /** Removes a request from the queue, if it is queued. */
  remove(entry: OpenRequest): void;
  /** Starts queued requests after an engine may have gained free capacity. */
  onCapacityChange(engine: EngineEntry): void;
  /** Returns the number of queued requests. */
  getWaitingCount(): number;
}

/** Creates a scheduler without queued requests. */
export function createRequestScheduler(
  host: RequestSchedulerHost,
  options: ResolvedOptions,
): RequestScheduler {
  const {clock, placement} = host;
  const poolQueues = createPoolQueues<WaitingRequest>(options.queueLimits);
  const items = new Map<OpenRequest, WaitingRequest>();
  return {
    submit,
    remove,
    onCapacityChange,
    getWaitingCount: poolQueues.getSize,
  };

  function submit(entry: OpenRequest): void {
    const queue = poolQueues.tryGetQueue(entry.pool);
    if (queue === undefined || !options.isQueueing) {
      const plan = placement.tryPlan(entry, {
        needsCapacity: options.isQueueing,
      });
      if (plan !== undefined) return startOrRefuse(entry, plan);
    }
    addWaiting(entry);
  }

  function startOrRefuse(entry: OpenRequest, plan: EstimatedPlan): void {
    const refusal = getRefusal(entry, 0, plan);
    if (refusal === undefined) host.startAttempt(entry, plan);
    else host.refuse(entry, refusal);
  }

  function getRefusal(
    entry: OpenRequest,
    waitMs: number,
    plan: EstimatedPlan,
  ): RequestFailure | undefined {
    if (!options.isQueueing) return undefined;
    return tryGetDeadlineRefusal({
      waitMs,
      completionMs: plan.completionMs,
      timeToDeadlineMs: entry.request.deadlineAtMs - clock.getMonotonicMs(),
    });
  }

  function addWaiting(entry: OpenRequest): void {
    const nowMs = clock.getMonotonicMs();
    const estimate = placement.tryPlan(entry, {needsCapacity: false});
    const item = createWaitingRequest(entry, estimate, nowMs);
    const waitMs = poolQueues.predictWaitMs(item);
    const refusal = estimate && getRefusal(entry, waitMs, estimate);
    if (refusal !== undefined) return host.refuse(entry, refusal);
    const result = poolQueues.add(item, nowMs);
    if (result.kind === 'full') {
      return host.refuse(
        entry,
        createOverloadedFailure('the queue is full', waitMs),
      );
    }
    items.set(entry, item);
    setLatestStartTimer(entry, item, nowMs);
    host.onWait(entry, waitMs);
    if (result.kind === 'replaced') refuseEvicted(result.evicted, waitMs);
    const queue = poolQueues.tryGetQueue(entry.pool);
    if (queue !== undefined) startWaiting(queue);
  }

  function refuseEvicted(item: WaitingRequest, waitMs: number): void {
    items.delete(item.entry);
    host.refuse(
      item.entry,
      createOverloadedFailure(
        'the queue is full and the client account has the most queued tokens per weight',
        waitMs,
      ),
    );
  }

  /** Refuses the request at its latest start time: from then on it would miss its deadline. */
  function setLatestStartTimer(
    entry: OpenRequest,
    item: WaitingRequest,
    nowMs: number,
  ): void {
    entry.timer?.cancel();
    const remainingMs = Math.max(0, item.latestStartMs - nowMs);
    entry.timer = clock.schedule(remainingMs, () => {
      if (!items.has(entry)) return;
      remove(entry);
      host.refuse(
        entry,
        createOverloadedFailure(
          'no engine had free capacity early enough to meet the deadline',
          poolQueues.predictWaitMs(item),
        ),
      );
    });
  }

  function remove(entry: OpenRequest): void {
    const item = items.get(entry);
    if (item === undefined) return;
    items.delete(entry);
    poolQueues.remove(item);
  }

  function onCapacityChange(engine: EngineEntry): void {
    if (poolQueues.getSize() === 0) return;
    for (const queue of poolQueues.listQueues()) {
      if (host.table.isMember(queue.pool, engine)) startWaiting(queue, engine);
    }
  }

  function startWaiting(
    queue: PoolQueue<WaitingRequest>,
    freedEngine?: EngineEntry,
  ): void {
    for (;;) {
      const item = queue.queue.tryPeek();
      if (item === undefined) return;
      const {entry} = item;
      const plan = placement.tryPlan(entry, {
        needsCapacity: options.isQueueing,
        freedEngine,
      });
      if (plan === undefined) return;
      const refusal = getRefusal(entry, 0, plan);
      items.delete(entry);
      if (refusal !== undefined) {
        poolQueues.remove(item);
        host.refuse(entry, refusal);
        continue;
      }
      poolQueues.take(item, clock.getMonotonicMs());
      host.startAttempt(entry, plan);
    }
  }
}
