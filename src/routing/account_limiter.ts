/**
 * Limits of each client account, kept by every node alone. A node grants its part
 * of the fleet's limit: what other nodes are known to use is left to them, and without
 * that knowledge a stated slack allows for uneven balancing.
 */

/** Limits of a client account over the whole fleet. */
export interface FleetLimits {
  readonly requestsPerS: number;
  readonly burst: number;
  readonly maxConcurrent: number;
}

/** Use of a client account's limits by other nodes. */
export interface PeerUsage {
  readonly requestsPerS: number;
  readonly concurrent: number;
}

/** Whether a request is within the limits. */
export type Admission =
  /** Call `release` once, when the request is over. */
  | {readonly kind: 'admitted'; release(): void}
  | {
      readonly kind: 'refused';
      /** Why, for the caller. */
      readonly reason: string;
      readonly retryAfterMs: number;
    };

/** Use of a client account at this node, for digests to other nodes. */
export interface AccountUsage {
  readonly clientAccount: string;
  readonly requestsPerS: number;
  readonly concurrent: number;
}

/** Keeps the limits. */
export interface AccountLimiter {
  tryAdmit(
    clientAccount: string,
    limits: FleetLimits,
    nowMs: number,
  ): Admission;
  /** Lists the client accounts with the most requests a second here. */
  listHeaviest(count: number, nowMs: number): readonly AccountUsage[];
  getSize(): number;
}

/** Options of a limiter. */
export interface AccountLimiterOptions {
  /** Returns the number of live nodes, this one included. */
  readonly getNodeCount?: () => number;
  /** Returns other nodes' use as far as their digests tell. */
  readonly tryGetPeerUsage?: (clientAccount: string) => PeerUsage | undefined;
  /** Factor of a node's even part that it grants without knowledge of the others. */
  readonly overcommitFactor?: number;
  /** Client accounts remembered; idle ones go first. */
  readonly capacity?: number;
}

interface AccountState {
  /** Requests that may come at once. */
  tokens: number;
  updatedAtMs: number;
  concurrent: number;
  /** Requests a second, averaged over some seconds. */
  rate: number;
}

const DEFAULTS = {overcommitFactor: 2, capacity: 40_000};
/** Time constant of the average rate, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 5_000;
const CONCURRENCY_RETRY_MS = 500;
/** States looked at to find an idle one, for each new client account beyond the capacity. */
const MAX_SWEEP_STEPS = 4;

/** Creates a limiter that has admitted nothing. */
export function createAccountLimiter(
  options: AccountLimiterOptions = {},
): AccountLimiter {
  const {overcommitFactor, capacity} = {...DEFAULTS, ...options};
  const accounts = new Map<string, AccountState>();
  return {tryAdmit, listHeaviest, getSize: () => accounts.size};

  function tryAdmit(
    clientAccount: string,
    limits: FleetLimits,
    nowMs: number,
  ): Admission {
    const share = getNodeShare(clientAccount, limits);
    const state = getState(clientAccount, limits, share, nowMs);
    updateTokens(state, limits, share, nowMs);
    if (state.concurrent >= Math.max(1, limits.maxConcurrent * share)) {
      return {
        kind: 'refused',
        reason: `${state.concurrent} requests of the client account are open at this node`,
        retryAfterMs: CONCURRENCY_RETRY_MS,
      };
    }
    if (state.tokens < 1) {
      const ratePerMs = (limits.requestsPerS * share) / 1_000;
      return {
        kind: 'refused',
        reason: `the client account's limit is ${limits.requestsPerS} requests a second`,
        retryAfterMs: Math.ceil((1 - state.tokens) / ratePerMs),
      };
    }
    state.tokens--;
    state.concurrent++;
    state.rate += 1_000 / RATE_TIME_CONSTANT_MS;
    return {kind: 'admitted', release: createRelease(state)};
  }

  /** Returns the part of the fleet's limits that this node grants, 0 to 1. */
  function getNodeShare(clientAccount: string, limits: FleetLimits): number {
    const nodes = Math.max(1, options.getNodeCount?.() ?? 1);
    if (nodes === 1) return 1;
    const peerUsage = options.tryGetPeerUsage?.(clientAccount);
    if (peerUsage === undefined) return Math.min(1, overcommitFactor / nodes);
    const unusedShare = 1 - peerUsage.requestsPerS / limits.requestsPerS;
    return Math.min(1, Math.max(1 / nodes, unusedShare));
  }

  function getState(
    clientAccount: string,
    limits: FleetLimits,
    share: number,
    nowMs: number,
  ): AccountState {
    const known = accounts.get(clientAccount);
    if (known !== undefined) return known;
    const created: AccountState = {
      tokens: getNodeBurst(limits, share),
      updatedAtMs: nowMs,
      concurrent: 0,
      rate: 0,
    };
    accounts.set(clientAccount, created);
    if (accounts.size > capacity) sweepIdle(nowMs);
    return created;
  }

  function updateTokens(
    state: AccountState,
    limits: FleetLimits,
    share: number,
    nowMs: number,
  ): void {
    const elapsedMs = nowMs - state.updatedAtMs;
    const gained = (elapsedMs * limits.requestsPerS * share) / 1_000;
    state.tokens = Math.min(getNodeBurst(limits, share), state.tokens + gained);
    state.rate *= Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
    state.updatedAtMs = nowMs;
  }

  /** Drops idle states among the oldest; busy ones move to the end. */
  function sweepIdle(nowMs: number): void {
    let steps = 0;
    for (const [clientAccount, state] of accounts) {
      if (accounts.size <= capacity || steps++ >= MAX_SWEEP_STEPS) return;
      accounts.delete(clientAccount);
      const isIdle =
        state.concurrent === 0 &&
        nowMs - state.updatedAtMs > RATE_TIME_CONSTANT_MS;
      if (!isIdle) accounts.set(clientAccount, state);
    }
  }

  function listHeaviest(count: number, nowMs: number): readonly AccountUsage[] {
    const usages: AccountUsage[] = [];
    for (const [clientAccount, state] of accounts) {
      const elapsedMs = nowMs - state.updatedAtMs;
      const requestsPerS =
        state.rate * Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS);
      if (requestsPerS < 0.01 && state.concurrent === 0) continue;
      usages.push({clientAccount, requestsPerS, concurrent: state.concurrent});
    }
    usages.sort((left, right) => right.requestsPerS - left.requestsPerS);
    return usages.slice(0, count);
  }
}

/** A node's part of the burst, with room for the chance by which requests meet at one node. */
function getNodeBurst(limits: FleetLimits, share: number): number {
  const nodeBurst = limits.burst * share;
  return Math.min(limits.burst, nodeBurst + 2 * Math.sqrt(nodeBurst) + 1);
}

function createRelease(state: AccountState): () => void {
  let isReleased = false;
  return () => {
    if (isReleased) return;
    isReleased = true;
    state.concurrent--;
  };
}
