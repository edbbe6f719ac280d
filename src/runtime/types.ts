/** Types of clocks and timers. */

/** A scheduled timer. */
export interface Timer {
  cancel(): void;
}

/** Source of time. Code that depends on time uses this interface, so that tests and replay can run it on a virtual clock. */
export interface Clock {
  /** Returns milliseconds of a monotonic clock. */
  getMonotonicMs(): number;
  /** Returns milliseconds since the Unix epoch; may jump in either direction. */
  getWallMs(): number;
  /** Calls `callback` once, `delayMs` milliseconds from now. */
  schedule(delayMs: number, callback: () => void): Timer;
  /** Resolves `delayMs` milliseconds from now. */
  sleep(delayMs: number): Promise<void>;
}

/** A clock whose time advances only through `runUntil` and `advance`. */
export interface VirtualClock extends Clock {
  /** Runs every timer due at or before `untilMs` (monotonic) and the promise callbacks that follow from it. */
  runUntil(untilMs: number): Promise<void>;
  /** Runs timers and promise callbacks for `durationMs` milliseconds of virtual time. */
  advance(durationMs: number): Promise<void>;
  /** Returns the number of timers that are scheduled and not cancelled. */
  getPendingTimers(): number;
}
