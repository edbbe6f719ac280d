/**
 * Lease durations, and the wait that keeps the times of a holder and its challenger from
 * overlapping.
 */

/** Largest relative error of a clock's rate. */
export const MAX_CLOCK_DRIFT = 0.05;

/**
 * How long a holder may act after it sent its last confirmed renewal, in milliseconds on its own
 * clock.
 */
export const LEASE_DURATION_MS = 6_000;

/** How often a holder renews, in milliseconds. */
export const LEASE_RENEW_INTERVAL_MS = 1_500;

/** Additional wait of each candidate compared with the one ranked before it, in milliseconds. */
export const CANDIDATE_STAGGER_MS = 1_000;

/**
 * Returns how long a challenger waits after it has read the last renewal, in milliseconds on its own
 * clock. The holder's lease ends first even when its clock is slow and the challenger's is fast:
 * wait / (1 + drift) >= leaseDuration / (1 - drift).
 */
export function getChallengeWaitMs(
  leaseDurationMs: number,
  rank: number,
): number {
  const wait =
    (leaseDurationMs * (1 + MAX_CLOCK_DRIFT)) / (1 - MAX_CLOCK_DRIFT);
  return Math.ceil(wait) + rank * CANDIDATE_STAGGER_MS;
}
