/** Two fair queues, urgent requests first, with a share kept for the others. */
import {createFairQueue, type FairQueue, type QueueItem} from './fair_queue';

/** Engine time of urgent requests for each millisecond of the others, while both wait. */
const URGENT_RATIO = 4;
/** Engine time by which urgent requests may be ahead of that, in milliseconds. */
const URGENT_WINDOW_MS = 4_000;

/** Creates an empty queue. */
export function createLaneQueue<T extends QueueItem>(): FairQueue<T> {
  const urgent = createFairQueue<T>();
  const nonUrgent = createFairQueue<T>();
  /** How far urgent requests are ahead of their share, in milliseconds of engine time. */
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

  /** Those that are not urgent make room first. */
  function tryFindLargest(): {item: T; tokensPerWeight: number} | undefined {
    return nonUrgent.tryFindLargest() ?? urgent.tryFindLargest();
  }
}
