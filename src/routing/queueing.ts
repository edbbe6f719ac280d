/** Places requests on engines, at once or after a wait, and refuses what cannot make its deadline. */
import type {Clock} from '../runtime';
import type {RequestFailure} from '../verdict';
import {createOverloaded, tryGetRefusal} from './admission';
import type {ResolvedOptions} from './dispatcher_options';
import type {EngineEntry, EngineTable} from './engine_table';
import type {OpenRequest} from './open_request';
import type {PlacedPlan, Placement} from './placement';
import {createWaitingRequest, type WaitingRequest} from './waiting_request';
import {createWaitingRoom, type PoolQueue} from './waiting_room';

/** What placing requests needs of the dispatcher. */
export interface QueueingHost {
  readonly clock: Clock;
  readonly table: EngineTable;
  readonly placement: Placement;
  startAttempt(entry: OpenRequest, plan: PlacedPlan): void;
  /** Answers a request that will not be sent. */
  refuse(entry: OpenRequest, failure: RequestFailure): void;
  onWait(entry: OpenRequest, waitMs: number): void;
}

/** Places requests. */
export interface Queueing {
  /** Starts, queues or refuses a request. */
  submit(entry: OpenRequest): void;
  /** Takes a request out of the queue, if it waits. */
  remove(entry: OpenRequest): void;
  /** Starts waiting requests, now that an engine may have room. */
  onRoom(engine: EngineEntry): void;
  getWaitingCount(): number;
}

/** Creates an empty queue. */
export function createQueueing(
  host: QueueingHost,
  options: ResolvedOptions,
): Queueing {
  const {clock, placement} = host;
  const room = createWaitingRoom<WaitingRequest>(options.waiting);
  const items = new Map<OpenRequest, WaitingRequest>();
  return {submit, remove, onRoom, getWaitingCount: room.getSize};

  function submit(entry: OpenRequest): void {
    const queue = room.tryGetQueue(entry.pool);
    if (queue === undefined || !options.isQueueing) {
      const plan = placement.tryPlan(entry, {needsRoom: options.isQueueing});
      if (plan !== undefined) return startOrRefuse(entry, plan);
    }
    addWaiting(entry);
  }

  function startOrRefuse(entry: OpenRequest, plan: PlacedPlan): void {
    const refusal = getRefusal(entry, 0, plan);
    if (refusal === undefined) host.startAttempt(entry, plan);
    else host.refuse(entry, refusal);
  }

  function getRefusal(
    entry: OpenRequest,
    waitMs: number,
    plan: PlacedPlan,
  ): RequestFailure | undefined {
    if (!options.isQueueing) return undefined;
    return tryGetRefusal({
      waitMs,
      completionMs: plan.completionMs,
      slackMs: entry.request.deadlineAtMs - clock.getMonotonicMs(),
    });
  }

  function addWaiting(entry: OpenRequest): void {
    const nowMs = clock.getMonotonicMs();
    const estimate = placement.tryPlan(entry, {needsRoom: false});
    const item = createWaitingRequest(entry, estimate, nowMs);
    const waitMs = room.predictWaitMs(item);
    const refusal = estimate && getRefusal(entry, waitMs, estimate);
    if (refusal !== undefined) return host.refuse(entry, refusal);
    const result = room.add(item, nowMs);
    if (result.kind === 'full') {
      return host.refuse(entry, createOverloaded('the queue is full', waitMs));
    }
    items.set(entry, item);
    setGiveUpTimer(entry, item, nowMs);
    host.onWait(entry, waitMs);
    if (result.kind === 'replaced') refuseEvicted(result.evicted, waitMs);
    const queue = room.tryGetQueue(entry.pool);
    if (queue !== undefined) startWaiting(queue);
  }

  function refuseEvicted(item: WaitingRequest, waitMs: number): void {
    items.delete(item.entry);
    host.refuse(
      item.entry,
      createOverloaded(
        'the queue is full and the client account has the most in it',
        waitMs,
      ),
    );
  }

  /** A request is answered as soon as it can no longer be in time. */
  function setGiveUpTimer(
    entry: OpenRequest,
    item: WaitingRequest,
    nowMs: number,
  ): void {
    entry.timer?.cancel();
    const leftMs = Math.max(0, item.latestStartMs - nowMs);
    entry.timer = clock.schedule(leftMs, () => {
      if (!items.has(entry)) return;
      remove(entry);
      host.refuse(
        entry,
        createOverloaded(
          'no engine had room early enough for the deadline',
          room.predictWaitMs(item),
        ),
      );
    });
  }

  function remove(entry: OpenRequest): void {
    const item = items.get(entry);
    if (item === undefined) return;
    items.delete(entry);
    room.remove(item);
  }

  function onRoom(engine: EngineEntry): void {
    if (room.getSize() === 0) return;
    for (const queue of room.listQueues()) {
      if (host.table.isMember(queue.pool, engine)) startWaiting(queue, engine);
    }
  }

  function startWaiting(
    queue: PoolQueue<WaitingRequest>,
    hint?: EngineEntry,
  ): void {
    for (;;) {
      const item = queue.queue.tryPeek();
      if (item === undefined) return;
      const {entry} = item;
      const plan = placement.tryPlan(entry, {
        needsRoom: options.isQueueing,
        hint,
      });
      if (plan === undefined) return;
      const refusal = getRefusal(entry, 0, plan);
      items.delete(entry);
      if (refusal !== undefined) {
        room.remove(item);
        host.refuse(entry, refusal);
        continue;
      }
      room.take(item, clock.getMonotonicMs());
      host.startAttempt(entry, plan);
    }
  }
}
