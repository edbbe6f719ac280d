/** Lets requests wait until a claim changes. */
import type {Clock} from '../runtime';

/** Waiting requests by the claim's key. */
export interface KeyWaiters {
  /** Resolves at the key's next change, or after `timeoutMs`. */
  wait(key: string, timeoutMs: number): Promise<void>;
  /** Ends the waits for a key. */
  notify(key: string): void;
}

/** Creates an empty set of waiting requests. */
export function createKeyWaiters(clock: Clock): KeyWaiters {
  const waitersByKey = new Map<string, Set<() => void>>();
  return {wait, notify};

  function wait(key: string, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const waiters = waitersByKey.get(key) ?? new Set();
      waitersByKey.set(key, waiters);
      const timer = clock.schedule(timeoutMs, settleWaiter);
      waiters.add(settleWaiter);
      function settleWaiter(): void {
        timer.cancel();
        waiters.delete(settleWaiter);
        if (waiters.size === 0 && waitersByKey.get(key) === waiters) {
          waitersByKey.delete(key);
        }
        resolve();
      }
    });
  }

  function notify(key: string): void {
    const waiters = waitersByKey.get(key);
    if (waiters === undefined) return;
    for (const settleWaiter of [...waiters]) settleWaiter();
  }
}
