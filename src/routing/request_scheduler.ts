/**
 * Starts requests on engines, at once or after a wait in a queue, and refuses those that cannot
 * meet their deadlines.
 */
import type {Clock} from '../runtime';
import type {RequestFailure} from '../verdict';
import {createOverloadedFailure} from './admission';
import type {ResolvedOptions} from './dispatcher_options';
import type {EngineEntry, EngineTable} from './engine_table';
import type {OpenRequest} from './open_request';
import type {EstimatedPlan, Placement} from './placement';
import {createPoolQueues, type PoolQueue} from './pool_queues';
import {chooseStart, chooseSubmission, type Submission} from './submission';
import type {WaitingRequest} from './waiting_request';

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
  /** Returns what `submit` would do with the plans of `view`, without an effect. */
  predictSubmission(entry: OpenRequest, view: Placement): Submission;
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
    predictSubmission,
    remove,
    onCapacityChange,
    getWaitingCount: poolQueues.getSize,
  };

  function submit(entry: OpenRequest): void {
    const submission = chooseFor(entry, placement);
    switch (submission.kind) {
      case 'start':
        return host.startAttempt(entry, submission.plan);
      case 'refuse':
        return host.refuse(entry, submission.failure);
      case 'wait':
        return addWaiting(entry, submission.item, submission.waitMs);
    }
  }

  function predictSubmission(entry: OpenRequest, view: Placement): Submission {
    const submission = chooseFor(entry, view);
    const isAlone = poolQueues.tryGetQueue(entry.pool) === undefined;
    if (submission.kind !== 'wait' || !isAlone) return submission;
    // A request that is alone in its queue is planned once more at once, as `startWaiting` does.
    const plan = view.tryPlan(entry, {needsCapacity: options.isQueueing});
    return plan === undefined ? submission : chooseFirst(entry, plan);
  }

  function chooseFor(entry: OpenRequest, view: Placement): Submission {
    return chooseSubmission(entry, {
      placement: view,
      poolQueues,
      isQueueing: options.isQueueing,
      nowMs: clock.getMonotonicMs(),
    });
  }

  /** Starts or refuses a request that no other request of its pool precedes. */
  function chooseFirst(entry: OpenRequest, plan: EstimatedPlan) {
    return chooseStart(entry, plan, {
      isQueueing: options.isQueueing,
      nowMs: clock.getMonotonicMs(),
    });
  }

  function addWaiting(
    entry: OpenRequest,
    item: WaitingRequest,
    waitMs: number,
  ): void {
    const nowMs = clock.getMonotonicMs();
    const result = poolQueues.add(item, nowMs);
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
      const start = chooseFirst(entry, plan);
      items.delete(entry);
      if (start.kind === 'refuse') {
        poolQueues.remove(item);
        host.refuse(entry, start.failure);
        continue;
      }
      poolQueues.take(item, clock.getMonotonicMs());
      host.startAttempt(entry, plan);
    }
  }
}
