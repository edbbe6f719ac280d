/** Two fair queues, urgent requests first, with a share kept for the others. */
import {createFairQueue, type FairQueue, type QueueItem} from './fair_queue';

/** Engine time of urgent requests for each millisecond of the others, while both wait. */
const URGENT_RATIO = 4;
/** Engine time by which urgent requests may be ahead of that, in milliseconds. */
const URGENT_WINDOW_MS = 4_000;

/** Creates an empty queue. */
export function createLaneQueue<T extends QueueItem>(): FairQueue<T> {
  const urgent = createFairQueue<T>();
  const usual = createFairQueue<T>();
  /** How far urgent requests are ahead of their share, in milliseconds of engine time. */
  let aheadMs = 0;
  return {
    add: item => getLane(item).add(item),
    tryPeek,
    take,
    remove: item => getLane(item).remove(item),
    getSize: () => urgent.getSize() + usual.getSize(),
    getCostAhead,
    tryFindLargest,
  };

  function getLane(item: QueueItem): FairQueue<T> {
    return item.isUrgent ? urgent : usual;
  }

  function tryPeek(): T | undefined {
    const isUsualDue = usual.getSize() > 0 && aheadMs > URGENT_WINDOW_MS;
    if (urgent.getSize() === 0 || isUsualDue) return usual.tryPeek();
    return urgent.tryPeek();
  }

  function take(item: T): void {
    getLane(item).take(item);
    if (urgent.getSize() === 0 && usual.getSize() === 0) aheadMs = 0;
    else if (!item.isUrgent) aheadMs -= item.costMs * URGENT_RATIO;
    else if (usual.getSize() > 0) aheadMs += item.costMs;
    aheadMs = Math.max(0, aheadMs);
  }

  function getCostAhead(item: QueueItem): number {
    const urgentMs = urgent.getCostAhead(item);
    return item.isUrgent ? urgentMs : urgentMs + usual.getCostAhead(item);
  }

  /** Those that are not urgent make room first. */
  function tryFindLargest(): {item: T; tokensPerWeight: number} | undefined {
    return usual.tryFindLargest() ?? urgent.tryFindLargest();
  }
}
