/**
 * The recent requests of all nodes to one server. Each node reports its own
 * ones as an exponentially decaying count, so that the sum of the reports is
 * the fleet's count and the next report replaces a lost one. Divided by the time
 * constant, a count is the mean rate.
 */

/** The decaying counts of all nodes at one server; each function takes the time on the monotonic clock and the time constant of the decay, in milliseconds. */
export interface FleetRate {
  /** Adds a request of this node. */
  recordSend(nowMs: number, timeConstantMs: number): void;
  /** Replaces the count of another node. */
  recordReport(node: string, count: number, nowMs: number): void;
  /** Counts additional requests that a limit admits as sent, so that the fleet gets them over time instead of at once; a negative number cancels what is left of them. */
  withhold(count: number, nowMs: number, timeConstantMs: number): void;
  getOwnCount(nowMs: number, timeConstantMs: number): number;
  /** Returns the sum over all nodes and what is withheld. */
  getTotalCount(nowMs: number, timeConstantMs: number): number;
}

interface DecayingCount {
  count: number;
  atMs: number;
}

/** Counts below this are forgotten. */
const MIN_COUNT = 0.001;

/** Creates counts of 0. */
export function createFleetRate(): FleetRate {
  let own: DecayingCount = {count: 0, atMs: 0};
  let withheld: DecayingCount = {count: 0, atMs: 0};
  const others = new Map<string, DecayingCount>();
  return {
    recordSend: (nowMs, timeConstantMs) => {
      const count = computeDecayed(own, nowMs, timeConstantMs) + 1;
      own = {count, atMs: nowMs};
      expireCounts(nowMs, timeConstantMs);
    },
    recordReport: (node, count, nowMs) => {
      others.set(node, {count, atMs: nowMs});
    },
    withhold: (count, nowMs, timeConstantMs) => {
      const left = computeDecayed(withheld, nowMs, timeConstantMs);
      withheld = {count: Math.max(0, left + count), atMs: nowMs};
    },
    getOwnCount: (nowMs, timeConstantMs) =>
      computeDecayed(own, nowMs, timeConstantMs),
    getTotalCount,
  };

  function getTotalCount(nowMs: number, timeConstantMs: number): number {
    let total =
      computeDecayed(own, nowMs, timeConstantMs) +
      computeDecayed(withheld, nowMs, timeConstantMs);
    for (const other of others.values()) {
      total += computeDecayed(other, nowMs, timeConstantMs);
    }
    return total;
  }

  function expireCounts(nowMs: number, timeConstantMs: number): void {
    for (const [node, other] of others) {
      const count = computeDecayed(other, nowMs, timeConstantMs);
      if (count < MIN_COUNT) others.delete(node);
    }
  }
}

function computeDecayed(
  {count, atMs}: DecayingCount,
  nowMs: number,
  timeConstantMs: number,
): number {
  return count * Math.exp(-(nowMs - atMs) / timeConstantMs);
}
