/** Decides how long a caller may take nothing of its answer. */

/** Time limits of a route that decide how long its callers wait, in milliseconds. */
export interface ObjectiveTimes {
  readonly objectiveMs: number;
  readonly pauseObjectiveMs: number;
}

/** Callers wait at least this long for the next bytes, in milliseconds. */
const MIN_WAIT_MS = 2_000;
const OBJECTIVES = 4;
const PAUSE_OBJECTIVES = 8;
/**
 * Time for which a caller that reads may seem not to, in milliseconds: the kernel takes more
 * bytes only when a third of its buffer of up to 4 MB is free, which takes 10 s at 140 KB/s.
 */
const KERNEL_BUFFER_MS = 10_000;

/** Computes the time without progress after which a caller has given up by itself. */
export function computeReadLimitMs(times: ObjectiveTimes): number {
  const waitMs = Math.max(
    MIN_WAIT_MS,
    OBJECTIVES * times.objectiveMs,
    PAUSE_OBJECTIVES * times.pauseObjectiveMs,
  );
  return waitMs + KERNEL_BUFFER_MS;
}
