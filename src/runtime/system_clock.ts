/** The clock of the operating system. */
import type {Clock, Timer} from './types';

/** Creates a clock on `performance.now`, `Date.now` and `setTimeout`. */
export function createSystemClock(): Clock {
  return {getMonotonicMs, getWallMs, schedule, sleep};

  function getMonotonicMs(): number {
    return performance.now();
  }

  function getWallMs(): number {
    return Date.now();
  }

  function schedule(delayMs: number, callback: () => void): Timer {
    const handle = setTimeout(callback, Math.max(0, delayMs));
    return {cancel: () => clearTimeout(handle)};
  }

  function sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => schedule(delayMs, resolve));
  }
}
