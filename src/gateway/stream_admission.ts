/** Admission control for prompts: send to an engine, wait at this node for a shorter queue, or refuse at once. */
import type {Route} from './types';

/** Decision on a prompt. */
export const Admission = {
  Send: 'send',
  Wait: 'wait',
  Refuse: 'refuse',
} as const;
export type Admission = (typeof Admission)[keyof typeof Admission];

/** Inputs to the decision; times are in milliseconds. */
export interface AdmissionInput {
  readonly route: Route;
  /** Time since the request was received. */
  readonly elapsedMs: number;
  /** Time until the deadline of the caller or the time-out of the route. */
  readonly remainingMs: number;
  /** Predicted wait in the queue of the best engine; undefined when all engines are full. */
  readonly waitMs?: number;
  /** Predicted time of the prefill and of everything after it up to the first event. */
  readonly workMs: number;
  /** True when the prompt exceeds its account's share: it is sent only to an engine with a short queue. */
  readonly isOverShare?: boolean;
}

/** Shortest time that callers wait for the first event, in milliseconds. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 2_000;
/** Callers also wait for at least these multiples of the route's latency and pause objectives. */
const OBJECTIVE_MULTIPLIER = 4;
const PAUSE_OBJECTIVE_MULTIPLIER = 8;
/** Lower bound on the retry-after time of a refused caller, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 100;
/** Fraction of the objective that a prompt may wait at an engine although it will miss the objective, so that large prompts are served too. */
const LATE_WAIT_FRACTION = 0.25;
/** Fraction of the caller's time-out that is reserved for sending the first event back to it. */
const TIMEOUT_MARGIN_FRACTION = 0.05;

/** Returns how long a caller waits for the first event of a stream, in milliseconds. */
export function getFirstEventTimeoutMs(route: Route): number {
  return Math.max(
    MIN_FIRST_EVENT_TIMEOUT_MS,
    OBJECTIVE_MULTIPLIER * route.objectiveMs,
    PAUSE_OBJECTIVE_MULTIPLIER * route.pauseObjectiveMs,
  );
}

/** Returns the time left for a backend server to send the first event if it is to reach the caller in time, in milliseconds. */
export function getFirstEventBudgetMs(
  input: Pick<AdmissionInput, 'route' | 'elapsedMs' | 'remainingMs'>,
): number {
  const timeoutLeftMs =
    getFirstEventTimeoutMs(input.route) * (1 - TIMEOUT_MARGIN_FRACTION) -
    input.elapsedMs;
  return Math.min(timeoutLeftMs, input.remainingMs);
}

/** Returns the time left to send the prompt to an engine, in milliseconds; afterwards, its first event would come too late. */
export function getSendBudgetMs(
  input: Pick<AdmissionInput, 'route' | 'elapsedMs' | 'remainingMs' | 'workMs'>,
): number {
  return getFirstEventBudgetMs(input) - input.workMs;
}

/**
 * Decides on a prompt. One that can meet its objective is sent to the engine.
 * One that will miss it is sent only to an engine with a short queue, and waits
 * at its node until there is one: late prompts queued at an engine would make
 * the prompts behind them late as well.
 */
export function chooseAdmission(input: AdmissionInput): Admission {
  const {route, elapsedMs, waitMs, workMs} = input;
  const budgetMs = getSendBudgetMs(input);
  if (budgetMs < 0) return Admission.Refuse;
  if (waitMs === undefined) return Admission.Wait;
  const onTimeWaitMs = route.objectiveMs - elapsedMs - workMs;
  const lateWaitMs = LATE_WAIT_FRACTION * route.objectiveMs;
  // Such a prompt takes only what the others leave idle.
  const allowedWaitMs =
    input.isOverShare === true
      ? lateWaitMs
      : Math.max(onTimeWaitMs, lateWaitMs);
  return waitMs <= allowedWaitMs && waitMs <= budgetMs
    ? Admission.Send
    : Admission.Wait;
}

/**
 * Returns the time after which a refused caller may retry, in milliseconds:
 * when the work ahead of it is expected to fit into its objective.
 */
export function computeRetryAfterMs(route: Route, predictedMs: number): number {
  return Math.max(MIN_RETRY_AFTER_MS, predictedMs - route.objectiveMs);
}
