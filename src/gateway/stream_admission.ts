/** Decides whether a prompt is sent to an engine, waits for one that has less ahead, or is refused at once. */
import type {Route} from './types';

/** What becomes of a prompt now. */
export const Admission = {
  Send: 'send',
  Wait: 'wait',
  Refuse: 'refuse',
} as const;
export type Admission = (typeof Admission)[keyof typeof Admission];

/** What the decision looks at; times in milliseconds. */
export interface AdmissionInput {
  readonly route: Route;
  /** Time since the request was read. */
  readonly elapsedMs: number;
  /** Time until the caller or the route gives up. */
  readonly remainingMs: number;
  /** Predicted wait at the best engine; undefined when all engines are full. */
  readonly waitMs?: number;
  /** Predicted time of reading and of all that follows up to the first event. */
  readonly workMs: number;
}

/** Callers wait for the first event at least this long, in milliseconds, and these multiples of the route's objectives. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 2_000;
const OBJECTIVE_MULTIPLIER = 4;
const PAUSE_OBJECTIVE_MULTIPLIER = 8;
/** Shortest time after which a refused caller may come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
/** Part of the objective that a prompt may wait at an engine though it will be late, so that large prompts are served. */
const LATE_WAIT_FRACTION = 0.25;
/** Part of a caller's patience that is kept for the way back to it. */
const TIMEOUT_MARGIN_FRACTION = 0.05;

/** Returns how long a caller waits for the first event of a stream, in milliseconds. */
export function getFirstEventTimeoutMs(route: Route): number {
  return Math.max(
    MIN_FIRST_EVENT_TIMEOUT_MS,
    OBJECTIVE_MULTIPLIER * route.objectiveMs,
    PAUSE_OBJECTIVE_MULTIPLIER * route.pauseObjectiveMs,
  );
}

/** Returns the time in which the first event must come to reach the caller, in milliseconds. */
export function getFirstEventBudgetMs(
  input: Pick<AdmissionInput, 'route' | 'elapsedMs' | 'remainingMs'>,
): number {
  const timeoutLeftMs =
    getFirstEventTimeoutMs(input.route) * (1 - TIMEOUT_MARGIN_FRACTION) -
    input.elapsedMs;
  return Math.min(timeoutLeftMs, input.remainingMs);
}

/**
 * A prompt that can be in time goes to its engine. One that will be late goes
 * only where it delays few others, and waits for that at its node: behind a
 * queue of late prompts no later one would be in time.
 */
export function chooseAdmission(input: AdmissionInput): Admission {
  const {route, elapsedMs, waitMs, workMs} = input;
  const budgetMs = getFirstEventBudgetMs(input);
  if (workMs > budgetMs) return Admission.Refuse;
  if (waitMs === undefined) return Admission.Wait;
  const onTimeWaitMs = route.objectiveMs - elapsedMs - workMs;
  const allowedWaitMs = Math.max(
    onTimeWaitMs,
    LATE_WAIT_FRACTION * route.objectiveMs,
  );
  return waitMs <= allowedWaitMs && waitMs + workMs <= budgetMs
    ? Admission.Send
    : Admission.Wait;
}

/**
 * Returns after how many milliseconds a refused caller may come back, when
 * the work ahead has shrunk enough for its objective.
 */
export function computeRetryAfterMs(route: Route, predictedMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, predictedMs - route.objectiveMs);
}
