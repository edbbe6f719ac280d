/** A queue with two lanes: urgent requests go first, up to a share of the engine time. */
import {createFairQueue, type FairQueue, type QueueItem} from './fair_queue';

/** Ratio of engine time for urgent to non-urgent requests while both are queued. */
const URGENT_RATIO = 4;
/** Engine time by which urgent requests may exceed that ratio, in milliseconds. */
const URGENT_WINDOW_MS = 4_000;

/** Creates an empty queue. */
export function createLaneQueue<T extends QueueItem>(): FairQueue<T> {
  const urgent = createFairQueue<T>();
  const nonUrgent = createFairQueue<T>();
  /** How far urgent requests are beyond their ratio, in milliseconds of engine time. */
  let urgentLeadMs = 0;
  return {
    add: item => getLane(item).add(item),
    tryPeek,
    take,
    remove: item => getLane(item).remove(item),
    getSize: () => urgent.getSize() + nonUrgent.getSize(),
    getCostAhead,
    tryFindLargest,
  };

  function getLane(item: QueueItem): FairQueue<T> {
    return item.isUrgent ? urgent : nonUrgent;
  }

  function tryPeek(): T | undefined {
    const isNonUrgentDue =
      nonUrgent.getSize() > 0 && urgentLeadMs > URGENT_WINDOW_MS;
    if (urgent.getSize() === 0 || isNonUrgentDue) return nonUrgent.tryPeek();
    return urgent.tryPeek();
  }

  function take(item: T): void {
    getLane(item).take(item);
    if (urgent.getSize() === 0 && nonUrgent.getSize() === 0) urgentLeadMs = 0;
    else if (!item.isUrgent) urgentLeadMs -= item.costMs * URGENT_RATIO;
    else if (nonUrgent.getSize() > 0) urgentLeadMs += item.costMs;
    urgentLeadMs = Math.max(0, urgentLeadMs);
  }

  function getCostAhead(item: QueueItem): number {
    const urgentMs = urgent.getCostAhead(item);
    return item.isUrgent ? urgentMs : urgentMs + nonUrgent.getCostAhead(item);
  }

  /** Prefers non-urgent requests, which are evicted first. */
  function tryFindLargest(): {item: T; tokensPerWeight: number} | undefined {
    return nonUrgent.tryFindLargest() ?? urgent.tryFindLargest();
  }
}
