/** Takes servers that fail or slow down out of the choice, and lets them back slowly. */

/** What is known of a server's health. */
export interface ServerHealth {
  consecutiveFailures: number;
  /** Ejections since it last worked well. */
  ejections: number;
  /** When the ejection ends, on the node's monotonic clock; 0 when there was none. */
  ejectedUntilMs: number;
  /** Observed over expected time, averaged over the last answers. */
  slowdown: number;
  samples: number;
}

/** Options of ejection. */
export interface EjectionOptions {
  /** Failures in a row that eject a server. */
  readonly maxConsecutiveFailures?: number;
  /** A server is slow above this multiple of the fleet's median slowdown. */
  readonly slowFactor?: number;
  /** Largest part of the fleet ejected for failures, and for slowness alone. */
  readonly maxFailedFraction?: number;
  readonly maxSlowFraction?: number;
  /** Length of the first ejection and of the longest, in milliseconds. */
  readonly baseEjectionMs?: number;
  readonly maxEjectionMs?: number;
  /** Time over which a server comes back to its full share, in milliseconds. */
  readonly rampMs?: number;
}

/** Why a server was ejected. */
export type EjectionCause = 'failures' | 'slow';

/** Decides on the health of the servers of one fleet. */
export interface Ejector {
  /** Returns whether a request may go to the server now; chance decides during the slow return. */
  isUsable(health: ServerHealth, nowMs: number): boolean;
  /** Takes a failure; one is enough when it is certain that the server is down. */
  recordFailure(
    health: ServerHealth,
    nowMs: number,
    isUnreachable?: boolean,
  ): EjectionCause | undefined;
  /** Takes a complete answer and its observed over expected time. */
  recordSuccess(
    health: ServerHealth,
    ratio: number,
    nowMs: number,
  ): EjectionCause | undefined;
}

const DEFAULTS = {
  maxConsecutiveFailures: 3,
  slowFactor: 3,
  maxFailedFraction: 0.6,
  maxSlowFraction: 0.2,
  baseEjectionMs: 2_000,
  maxEjectionMs: 30_000,
  rampMs: 10_000,
};
/** Least share of its requests that a server on its way back gets. */
const MIN_RAMP_SHARE = 0.1;
/** Answers needed before a server is judged by its speed. */
const MIN_SAMPLES = 10;
const SLOWDOWN_WEIGHT = 0.1;
/** How often the median and the number of ejected servers are counted again, in milliseconds. */
const RECOUNT_INTERVAL_MS = 500;

/** Creates the health of a server that nothing is known of. */
export function createServerHealth(): ServerHealth {
  return {
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    slowdown: 1,
    samples: 0,
  };
}

/** Creates an ejector for the servers that `listHealth` gives. */
export function createEjector(
  listHealth: () => Iterable<ServerHealth>,
  getRandom: () => number,
  options: EjectionOptions = {},
): Ejector {
  const limits = {...DEFAULTS, ...options};
  let countedAtMs = Number.NEGATIVE_INFINITY;
  let fleetSize = 0;
  let ejectedCount = 0;
  let medianSlowdown = 1;
  return {isUsable, recordFailure, recordSuccess};

  function isUsable(health: ServerHealth, nowMs: number): boolean {
    if (health.ejectedUntilMs === 0) return true;
    if (nowMs < health.ejectedUntilMs) return false;
    const backMs = nowMs - health.ejectedUntilMs;
    if (backMs >= limits.rampMs) return true;
    return getRandom() < Math.max(MIN_RAMP_SHARE, backMs / limits.rampMs);
  }

  function recordFailure(
    health: ServerHealth,
    nowMs: number,
    isUnreachable = false,
  ): EjectionCause | undefined {
    health.consecutiveFailures++;
    if (isEjected(health, nowMs)) return undefined;
    // On its way back one failure is enough.
    const isReturning =
      health.ejectedUntilMs > 0 &&
      nowMs < health.ejectedUntilMs + limits.rampMs;
    const needed =
      isReturning || isUnreachable ? 1 : limits.maxConsecutiveFailures;
    if (health.consecutiveFailures < needed) return undefined;
    return tryEject(health, 'failures', limits.maxFailedFraction, nowMs);
  }

  function recordSuccess(
    health: ServerHealth,
    ratio: number,
    nowMs: number,
  ): EjectionCause | undefined {
    health.consecutiveFailures = 0;
    health.samples++;
    health.slowdown += SLOWDOWN_WEIGHT * (ratio - health.slowdown);
    if (nowMs >= health.ejectedUntilMs + limits.rampMs) health.ejections = 0;
    if (health.samples < MIN_SAMPLES || isEjected(health, nowMs)) {
      return undefined;
    }
    updateCounts(nowMs);
    if (health.slowdown <= limits.slowFactor * medianSlowdown) return undefined;
    health.samples = 0;
    return tryEject(health, 'slow', limits.maxSlowFraction, nowMs);
  }

  function tryEject(
    health: ServerHealth,
    cause: EjectionCause,
    maxFraction: number,
    nowMs: number,
  ): EjectionCause | undefined {
    updateCounts(nowMs);
    if (ejectedCount + 1 > maxFraction * fleetSize) return undefined;
    const lengthMs = Math.min(
      limits.maxEjectionMs,
      limits.baseEjectionMs * 2 ** health.ejections,
    );
    health.ejections++;
    ejectedCount++;
    // Spread over time, so that nodes do not try a server again all at once.
    health.ejectedUntilMs = nowMs + lengthMs * (0.75 + 0.5 * getRandom());
    return cause;
  }

  function updateCounts(nowMs: number): void {
    if (nowMs - countedAtMs < RECOUNT_INTERVAL_MS) return;
    countedAtMs = nowMs;
    fleetSize = 0;
    ejectedCount = 0;
    const slowdowns: number[] = [];
    for (const health of listHealth()) {
      fleetSize++;
      if (isEjected(health, nowMs)) ejectedCount++;
      else if (health.samples >= MIN_SAMPLES) slowdowns.push(health.slowdown);
    }
    slowdowns.sort((left, right) => left - right);
    medianSlowdown = slowdowns[slowdowns.length >> 1] ?? 1;
  }
}

function isEjected(health: ServerHealth, nowMs: number): boolean {
  return nowMs < health.ejectedUntilMs;
}
