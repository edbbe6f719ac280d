/** The times of leases, and the rule that keeps a holder's and its challenger's apart. */

/** Largest part by which a clock may run fast or slow. */
export const MAX_CLOCK_DRIFT = 0.05;

/** How long a holder acts after it sent its last confirmed renewal, in milliseconds. */
export const LEASE_DURATION_MS = 6_000;

/** How often a holder renews, in milliseconds. */
export const LEASE_RENEW_INTERVAL_MS = 1_500;

/** What each further candidate waits longer than the one before it, in milliseconds. */
export const CANDIDATE_STAGGER_MS = 1_000;

/**
 * Returns how long a challenger waits after it read the last renewal, in milliseconds on its own
 * clock. The holder's time ends first even when its clock is slow and the challenger's is fast:
 * wait / (1 + drift) >= hold / (1 - drift).
 */
export function getChallengeWaitMs(
  leaseDurationMs: number,
  rank: number,
): number {
  const wait =
    (leaseDurationMs * (1 + MAX_CLOCK_DRIFT)) / (1 - MAX_CLOCK_DRIFT);
  return Math.ceil(wait) + rank * CANDIDATE_STAGGER_MS;
}
