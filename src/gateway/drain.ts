/** Decides what becomes of the requests that arrive at a gateway that is being stopped. */
import type {Clock} from '../runtime/types';

/** The time left to a gateway that is being stopped. */
export interface Drain {
  start(): void;
  /** Time until open requests are cut off, in milliseconds; infinite while the gateway is not being stopped. */
  getRemainingMs(): number;
  /** True when a new request that may take `limitMs` should go to another gateway, because this one may end before it. */
  mustRefuse(limitMs: number): boolean;
}

/** Options of the drain. */
export interface DrainOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  /** Time from the start of the drain until open requests are cut off, in milliseconds. */
  readonly durationMs: number;
}

/** Time from the start of the drain in which requests are accepted whatever their time limit, in milliseconds: the load balancer still sends callers here, and few requests need all the time that is left. */
const ACCEPT_ALL_MS = 2_800;

/** Creates a drain that has not started. */
export function createDrain({clock, durationMs}: DrainOptions): Drain {
  let startedAtMs: number | undefined;
  return {
    start: () => {
      startedAtMs ??= clock.getMonotonicMs();
    },
    getRemainingMs,
    mustRefuse: limitMs => {
      const remainingMs = getRemainingMs();
      return durationMs - remainingMs >= ACCEPT_ALL_MS && limitMs > remainingMs;
    },
  };

  function getRemainingMs(): number {
    return startedAtMs === undefined
      ? Number.POSITIVE_INFINITY
      : startedAtMs + durationMs - clock.getMonotonicMs();
  }
}
