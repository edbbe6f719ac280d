/** A clock for tests and replay: time jumps from one due timer to the next. */
import type {Timer, VirtualClock} from './types';

interface ScheduledTimer {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** Options of a virtual clock. */
export interface VirtualClockOptions {
  /** Wall time at monotonic time 0, in milliseconds since the Unix epoch. */
  wallStartMs?: number;
}

/** Creates a clock at monotonic time 0. Timers due at the same time run in the order in which they were scheduled. */
export function createVirtualClock(
  options: VirtualClockOptions = {},
): VirtualClock {
  const wallStartMs = options.wallStartMs ?? 0;
  const heap: ScheduledTimer[] = [];
  let nowMs = 0;
  let nextOrder = 0;
  return {
    getMonotonicMs: () => nowMs,
    getWallMs: () => wallStartMs + nowMs,
    schedule,
    sleep: delayMs => new Promise(resolve => schedule(delayMs, resolve)),
    runUntil,
    advance: durationMs => runUntil(nowMs + durationMs),
    getPendingTimers: () => heap.filter(timer => !timer.cancelled).length,
  };

  function schedule(delayMs: number, callback: () => void): Timer {
    const timer: ScheduledTimer = {
      dueMs: nowMs + Math.max(0, delayMs),
      order: nextOrder++,
      callback,
      cancelled: false,
    };
    pushTimer(heap, timer);
    return {
      cancel: () => {
        timer.cancelled = true;
      },
    };
  }

  async function runUntil(untilMs: number): Promise<void> {
    await settlePromises();
    for (;;) {
      const next = heap[0];
      if (next === undefined || next.dueMs > untilMs) break;
      popTimer(heap);
      if (next.cancelled) continue;
      nowMs = Math.max(nowMs, next.dueMs);
      next.callback();
      await settlePromises();
    }
    nowMs = Math.max(nowMs, untilMs);
  }
}

/** Waits until the promise callbacks that need no further timer have run. */
function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

function isEarlier(left: ScheduledTimer, right: ScheduledTimer): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.order < right.order;
}

function pushTimer(heap: ScheduledTimer[], timer: ScheduledTimer): void {
  let index = heap.length;
  heap.push(timer);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isEarlier(timer, heap[parent])) break;
    heap[index] = heap[parent];
    index = parent;
  }
  heap[index] = timer;
}

function popTimer(heap: ScheduledTimer[]): void {
  const last = heap.pop();
  if (last === undefined || heap.length === 0) return;
  let index = 0;
  for (;;) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    if (child + 1 < heap.length && isEarlier(heap[child + 1], heap[child])) {
      child++;
    }
    if (!isEarlier(heap[child], last)) break;
    heap[index] = heap[child];
    index = child;
  }
  heap[index] = last;
}
