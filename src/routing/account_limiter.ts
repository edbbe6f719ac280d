/**
 * Rate and concurrency limits of client accounts, enforced by each node on its own. A node
 * grants its share of the fleet-wide limits. If the usage at other nodes is known, that is
 * what they leave unused, but at least an even share; otherwise it is an even share times an
 * overcommit factor, which allows for uneven load balancing.
 */

/** Fleet-wide limits of a client account. */
export interface FleetLimits {
  readonly requestsPerS: number;
  /** Capacity of the token bucket: requests that may arrive at once. */
  readonly burst: number;
  readonly maxConcurrent: number;
}

/** Usage of a client account at all other nodes together. */
export interface PeerUsage {
  readonly requestsPerS: number;
  readonly concurrent: number;
}

/** Result of checking a request against the limits. */
export type Admission =
  /** `release` must be called when the request is over; further calls have no effect. */
  | {readonly kind: 'admitted'; release(): void}
  | {
      readonly kind: 'refused';
      /** Reason, shown to the caller. */
      readonly reason: string;
      readonly retryAfterMs: number;
    };

/** A refusal by the limits. */
export type LimitRefusal = Extract<Admission, {readonly kind: 'refused'}>;

/** Usage of a client account at this node, for digests to other nodes. */
export interface AccountUsage {
  readonly clientAccount: string;
  readonly requestsPerS: number;
  readonly concurrent: number;
}

/** Enforces the limits of client accounts. */
export interface AccountLimiter {
  tryAdmit(
    clientAccount: string,
    limits: FleetLimits,
    nowMs: number,
  ): Admission;
  /** Returns the refusal that a request would get now, without counting it. */
  tryPredictRefusal(
    clientAccount: string,
    limits: FleetLimits,
    nowMs: number,
  ): LimitRefusal | undefined;
  /** Lists the `count` client accounts with the most requests per second at this node. */
  listHeaviest(count: number, nowMs: number): readonly AccountUsage[];
  /** Returns the number of client accounts held. */
  getSize(): number;
}

/** Options of a limiter. */
export interface AccountLimiterOptions {
  /** Returns the number of live nodes, including this one; 1 when omitted. */
  readonly getNodeCount?: () => number;
  /** Returns the usage at other nodes according to their digests; undefined when unknown. */
  readonly tryGetPeerUsage?: (clientAccount: string) => PeerUsage | undefined;
  /** Multiple of an even share that a node grants while the usage at other nodes is unknown. */
  readonly overcommitFactor?: number;
  /** Number of client accounts above which idle ones are removed. */
  readonly capacity?: number;
}

interface AccountState {
  /** Tokens left in the token bucket; each admits one request. */
  tokens: number;
  updatedAtMs: number;
  concurrent: number;
  /** Requests per second, as an exponential moving average over `RATE_TIME_CONSTANT_MS`. */
  rate: number;
}

const DEFAULTS = {overcommitFactor: 2, capacity: 40_000};
/** Time constant of the average request rate and age of an idle account, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 5_000;
/** Retry delay given when too many requests are open, in milliseconds. */
const CONCURRENCY_RETRY_MS = 500;
/** Most accounts checked for being idle, for each new account above the capacity. */
const MAX_SWEEP_STEPS = 4;

/** Creates a limiter that holds no client accounts yet. */
export function createAccountLimiter(
  options: AccountLimiterOptions = {},
): AccountLimiter {
  const {overcommitFactor, capacity} = {...DEFAULTS, ...options};
  const accounts = new Map<string, AccountState>();
  return {
    tryAdmit,
    tryPredictRefusal,
    listHeaviest,
    getSize: () => accounts.size,
  };

  function tryAdmit(
    clientAccount: string,
    limits: FleetLimits,
    nowMs: number,
  ): Admission {
    const share = getNodeShare(clientAccount, limits);
    const state = getState(clientAccount, limits, share, nowMs);
    updateTokens(state, limits, share, nowMs);
    const refusal = tryGetRefusal(state, limits, share);
    if (refusal !== undefined) return refusal;
    state.tokens--;
    state.concurrent++;
    state.rate += 1_000 / RATE_TIME_CONSTANT_MS;
    return {kind: 'admitted', release: createRelease(state)};
  }

  function tryPredictRefusal(
    clientAccount: string,
    limits: FleetLimits,
    nowMs: number,
  ): LimitRefusal | undefined {
    const share = getNodeShare(clientAccount, limits);
    const known = accounts.get(clientAccount);
    const copy = {...(known ?? createState(limits, share, nowMs))};
    updateTokens(copy, limits, share, nowMs);
    return tryGetRefusal(copy, limits, share);
  }

  function tryGetRefusal(
    state: AccountState,
    limits: FleetLimits,
    share: number,
  ): LimitRefusal | undefined {
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
    return undefined;
  }

  /** Returns the share of the fleet-wide limits that this node grants, 0 to 1. */
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
    const created = createState(limits, share, nowMs);
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

  /** Removes idle accounts among the first of the map; the others move to its end. */
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

function createState(
  limits: FleetLimits,
  share: number,
  nowMs: number,
): AccountState {
  const tokens = getNodeBurst(limits, share);
  return {tokens, updatedAtMs: nowMs, concurrent: 0, rate: 0};
}

/**
 * Returns the burst that a node grants. Random balancing sends more than its share to a node
 * by chance, so two standard deviations of a Poisson count and one request are added.
 */
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
