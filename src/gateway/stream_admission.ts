/** Decides which model requests are refused at once because their callers would leave first. */
import type {Route} from './types';

/** Callers wait for the first event at least this long, in milliseconds, and these multiples of the route's objectives. */
const MIN_PATIENCE_MS = 2_000;
const OBJECTIVES_OF_PATIENCE = 4;
const PAUSES_OF_PATIENCE = 8;
/** Shortest time after which a refused caller may come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;

/** Returns how long a caller waits for the first event of a stream, in milliseconds. */
export function getPatienceMs(route: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    OBJECTIVES_OF_PATIENCE * route.objectiveMs,
    PAUSES_OF_PATIENCE * route.pauseObjectiveMs,
  );
}

/**
 * Returns after how many milliseconds a refused caller may come back, when
 * the work ahead has shrunk enough for its objective.
 */
export function computeRetryAfterMs(route: Route, predictedMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, predictedMs - route.objectiveMs);
}
