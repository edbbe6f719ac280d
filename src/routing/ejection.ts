/**
 * Outlier ejection: takes servers that fail or are slow out of rotation, and returns them to
 * their full share gradually.
 */

/** Health of a server, as observed by this node. */
export interface ServerHealth {
  consecutiveFailures: number;
  /**
   * Ejections since the server last worked at its full share; each doubles the next one's
   * length.
   */
  ejections: number;
  /** When the last ejection ends, on the node's monotonic clock; 0 when there was none. */
  ejectedUntilMs: number;
  /** Moving average of observed over expected time. */
  slowdown: number;
  /** Complete answers seen; reset to 0 when the server is found slow. */
  samples: number;
}

/** Options of ejection. */
export interface EjectionOptions {
  /** Consecutive failures that eject a server. */
  readonly maxConsecutiveFailures?: number;
  /** Multiple of the median slowdown of the group above which a server is slow. */
  readonly slowFactor?: number;
  /** Fraction of the group that may be ejected when a server fails, 0 to 1. */
  readonly maxFailedFraction?: number;
  /** Fraction of the group that may be ejected when a server is slow, 0 to 1. */
  readonly maxSlowFraction?: number;
  /** Length of the first ejection, in milliseconds. */
  readonly baseEjectionMs?: number;
  /** Length of the longest ejection before randomization, in milliseconds. */
  readonly maxEjectionMs?: number;
  /** Time after an ejection over which a server returns to its full share, in milliseconds. */
  readonly rampMs?: number;
}

/** Why a server was ejected. */
export type EjectionCause = 'failures' | 'slow';

/** Ejects and returns the servers of one group: the engines, or the servers of one service. */
export interface Ejector {
  /**
   * Returns whether a request may be sent to the server now; random while the server returns, by
   * the group's random numbers unless others are given.
   */
  isUsable(
    health: ServerHealth,
    nowMs: number,
    getRandom?: () => number,
  ): boolean;
  /** Returns the probability that `isUsable` returns true, 0 to 1. */
  getUsableChance(health: ServerHealth, nowMs: number): number;
  /**
   * Records a failure; returns the cause if it ejects the server. One failure is enough if the
   * server is unreachable.
   */
  recordFailure(
    health: ServerHealth,
    nowMs: number,
    isUnreachable?: boolean,
  ): EjectionCause | undefined;
  /**
   * Records a complete answer with its observed over expected time; returns the cause if it
   * ejects the server.
   */
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
/** Smallest fraction of its full share of requests that a returning server gets, 0 to 1. */
const MIN_RAMP_SHARE = 0.1;
/** Answers needed before a server's slowdown is used. */
const MIN_SAMPLES = 10;
/** Weight of one answer in the average slowdown. */
const SLOWDOWN_WEIGHT = 0.1;
/**
 * Shortest time between two computations of the median slowdown and the number of ejected
 * servers, in milliseconds.
 */
const RECOUNT_INTERVAL_MS = 500;

/** Creates the health of a server without observations. */
export function createServerHealth(): ServerHealth {
  return {
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    slowdown: 1,
    samples: 0,
  };
}

/** Creates an ejector for the group of servers that `listHealth` lists. */
export function createEjector(
  listHealth: () => Iterable<ServerHealth>,
  getRandom: () => number,
  options: EjectionOptions = {},
): Ejector {
  const limits = {...DEFAULTS, ...options};
  let countedAtMs = Number.NEGATIVE_INFINITY;
  let groupSize = 0;
  let ejectedCount = 0;
  let medianSlowdown = 1;
  return {isUsable, getUsableChance, recordFailure, recordSuccess};

  function isUsable(
    health: ServerHealth,
    nowMs: number,
    getOwnRandom = getRandom,
  ): boolean {
    const chance = getUsableChance(health, nowMs);
    if (chance === 0 || chance === 1) return chance === 1;
    return getOwnRandom() < chance;
  }

  function getUsableChance(health: ServerHealth, nowMs: number): number {
    if (health.ejectedUntilMs === 0) return 1;
    if (nowMs < health.ejectedUntilMs) return 0;
    const returningMs = nowMs - health.ejectedUntilMs;
    if (returningMs >= limits.rampMs) return 1;
    return Math.max(MIN_RAMP_SHARE, returningMs / limits.rampMs);
  }

  function recordFailure(
    health: ServerHealth,
    nowMs: number,
    isUnreachable = false,
  ): EjectionCause | undefined {
    health.consecutiveFailures++;
    if (isEjected(health, nowMs)) return undefined;
    // One failure ejects a returning server again.
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
    if (ejectedCount + 1 > maxFraction * groupSize) return undefined;
    const lengthMs = Math.min(
      limits.maxEjectionMs,
      limits.baseEjectionMs * 2 ** health.ejections,
    );
    health.ejections++;
    ejectedCount++;
    // Randomized by 25 % either way, so that nodes do not all retry a server at the same time.
    health.ejectedUntilMs = nowMs + lengthMs * (0.75 + 0.5 * getRandom());
    return cause;
  }

  function updateCounts(nowMs: number): void {
    if (nowMs - countedAtMs < RECOUNT_INTERVAL_MS) return;
    countedAtMs = nowMs;
    groupSize = 0;
    ejectedCount = 0;
    const slowdowns: number[] = [];
    for (const health of listHealth()) {
      groupSize++;
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
