/** Keeps which windows are still to be reported, as this node knows. */
import {expireWindows} from './expire_windows';

/** The latest windows. */
export interface UsageWindows {
  /** Opens the windows that have ended meanwhile and forgets old ones; returns the first window that is still of interest. */
  advance(): number;
  /** Lists the open windows, oldest first: they have ended and are not known to be reported. */
  listOpen(): readonly number[];
  countOpen(): number;
  /** Opens a window of which a record was found, unless it is known already or its report would be too late. */
  addRecorded(windowId: number): void;
  /** Records that a window is settled for the whole fleet, whichever node reported it. */
  recordDone(windowId: number): void;
  /** Removes a window that this node no longer tries to report. */
  remove(windowId: number): void;
  /** Lists the latest settled windows. */
  listDone(count: number): readonly number[];
  /** Postpones the next attempt at a window; returns whether the problem is a new one. */
  recordProblem(windowId: number, problem: string, nextAtMs: number): boolean;
  tryGetProblem(windowId: number): string | undefined;
  /** Time of the next attempt on the monotonic clock, in milliseconds; 0 when there was none. */
  getNextAtMs(windowId: number): number;
  /** Time since the end of a window, in milliseconds. */
  getElapsedMs(windowId: number): number;
  /** Number of the window that has not ended yet. */
  getCurrent(): number;
}

/** Options of the windows. */
export interface UsageWindowsOptions {
  readonly getTimeMs: () => number;
  readonly windowMs: number;
  /** Time after a window's end within which its report is due, in milliseconds. */
  readonly dueMs: number;
}

/** Creates the windows; the current one is the first. */
export function createUsageWindows(options: UsageWindowsOptions): UsageWindows {
  const {windowMs, dueMs} = options;
  const open = new Map<number, {nextAtMs: number; problem?: string}>();
  const done = new Set<number>();
  const keptWindows = Math.ceil(dueMs / windowMs) + 1;
  let nextWindow = getCurrent();
  return {
    advance,
    listOpen: () => [...open.keys()].sort((left, right) => left - right),
    countOpen: () => open.size,
    addRecorded,
    recordDone: windowId => {
      done.add(windowId);
      open.delete(windowId);
    },
    remove: windowId => open.delete(windowId),
    listDone: count =>
      [...done].sort((left, right) => left - right).slice(-count),
    recordProblem,
    tryGetProblem: windowId => open.get(windowId)?.problem,
    getNextAtMs: windowId => open.get(windowId)?.nextAtMs ?? 0,
    getElapsedMs,
    getCurrent,
  };

  function advance(): number {
    const current = getCurrent();
    const firstKept = current - keptWindows;
    // After a jump of the time the windows in between are not reported by this node.
    nextWindow = Math.min(current, Math.max(nextWindow, firstKept));
    for (; nextWindow < current; nextWindow++) {
      if (!done.has(nextWindow)) open.set(nextWindow, {nextAtMs: 0});
    }
    expireWindows(done, firstKept);
    return firstKept;
  }

  function addRecorded(windowId: number): void {
    const elapsedMs = getElapsedMs(windowId);
    const isKnown = open.has(windowId) || done.has(windowId);
    if (isKnown || elapsedMs < 0 || elapsedMs >= dueMs) return;
    open.set(windowId, {nextAtMs: 0});
  }

  function recordProblem(
    windowId: number,
    problem: string,
    nextAtMs: number,
  ): boolean {
    const window = open.get(windowId);
    if (window === undefined) return false;
    const isNew = window.problem !== problem;
    open.set(windowId, {nextAtMs, problem});
    return isNew;
  }

  function getElapsedMs(windowId: number): number {
    return options.getTimeMs() - (windowId + 1) * windowMs;
  }

  function getCurrent(): number {
    return Math.floor(options.getTimeMs() / windowMs);
  }
}
