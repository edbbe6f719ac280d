/** Types of the runtime: clock and task. */

/** A timer that has been scheduled and can be cancelled. */
export interface Timer {
  cancel(): void;
}

/** Source of time. Decisions take the time from here and nowhere else. */
export interface Clock {
  /** Returns milliseconds on a clock that never goes back. */
  getMonotonicMs(): number;
  /** Returns milliseconds since the Unix epoch; may jump. */
  getWallMs(): number;
  /** Calls `callback` once, `delayMs` milliseconds from now. */
  schedule(delayMs: number, callback: () => void): Timer;
  /** Resolves `delayMs` milliseconds from now. */
  sleep(delayMs: number): Promise<void>;
}

/** A clock that moves only when told to. */
export interface VirtualClock extends Clock {
  /** Runs every timer due up to `untilMs` (monotonic), and the promises they settle. */
  runUntil(untilMs: number): Promise<void>;
  /** Runs timers and promises for `durationMs` milliseconds of virtual time. */
  advance(durationMs: number): Promise<void>;
  /** Returns the number of timers that are scheduled. */
  getPendingTimers(): number;
}
