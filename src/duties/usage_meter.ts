/** Counts the requests that begin to run at servers, by window and client account. */
import type {Clock} from '../runtime/types';
import {expireWindows} from './expire_windows';
import type {FleetTime} from './fleet_time';

/** Counts of one node. */
export interface UsageMeter {
  /** Counts a request of an account that has just begun to run. */
  recordStart(account: string): void;
  /** Returns the counts of a window so far; requests whose window is not known yet are left out. */
  getCounts(windowId: number): ReadonlyMap<string, number>;
  /** Deletes the windows before the given one. */
  expire(firstKept: number): void;
}

/** Options of the meter. */
export interface UsageMeterOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly time: Pick<FleetTime, 'toTimeMs' | 'isSettled'>;
  readonly windowMs: number;
}

/** Starts kept while the time is not settled, which takes 1.5 s at most; more are counted by the time as it seems. */
const MAX_UNPLACED = 20_000;
const NO_COUNTS: ReadonlyMap<string, number> = new Map();

/** Creates a meter without counts. */
export function createUsageMeter(options: UsageMeterOptions): UsageMeter {
  const {clock, time} = options;
  const windows = new Map<number, Map<string, number>>();
  let unplaced: Array<{account: string; atMs: number}> = [];
  return {
    recordStart,
    getCounts: windowId => {
      applyStarts();
      return windows.get(windowId) ?? NO_COUNTS;
    },
    expire: firstKept => expireWindows(windows, firstKept),
  };

  function recordStart(account: string): void {
    unplaced.push({account, atMs: clock.getMonotonicMs()});
    applyStarts();
  }

  function applyStarts(): void {
    if (unplaced.length === 0) return;
    if (!time.isSettled() && unplaced.length < MAX_UNPLACED) return;
    for (const {account, atMs} of unplaced) {
      const windowId = Math.floor(time.toTimeMs(atMs) / options.windowMs);
      const counts = windows.get(windowId) ?? new Map<string, number>();
      windows.set(windowId, counts);
      counts.set(account, (counts.get(account) ?? 0) + 1);
    }
    unplaced = [];
  }
}
