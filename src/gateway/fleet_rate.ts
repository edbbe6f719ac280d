/**
 * The rate at which all nodes together send requests to one server. Each node
 * reports its own rate as an exponentially decaying average, so that the sum
 * of the reports is the fleet's rate and the next report replaces a lost one.
 */

/** The rates of all nodes at one server, in requests per second; each function takes the time on the monotonic clock and the time constant of the averages, in milliseconds. */
export interface FleetRate {
  /** Adds a request of this node. */
  recordSend(nowMs: number, timeConstantMs: number): void;
  /** Replaces the rate of another node. */
  recordReport(node: string, ratePerS: number, nowMs: number): void;
  /** Counts the rise of a limit as use that decays, so that the fleet gets the additional requests over time instead of at once; a fall (negative) cancels what is left of earlier rises. */
  recordLimitChange(
    changePerS: number,
    nowMs: number,
    timeConstantMs: number,
  ): void;
  getOwnPerS(nowMs: number, timeConstantMs: number): number;
  /** Returns the sum over all nodes and what is withheld after a rise of the limit. */
  getTotalPerS(nowMs: number, timeConstantMs: number): number;
}

interface Rate {
  perS: number;
  atMs: number;
}

const MS_PER_S = 1_000;
/** Rates below this are forgotten. */
const MIN_RATE_PER_S = 0.001;

/** Creates rates of 0. */
export function createFleetRate(): FleetRate {
  let own: Rate = {perS: 0, atMs: 0};
  let withheld: Rate = {perS: 0, atMs: 0};
  const others = new Map<string, Rate>();
  return {
    recordSend: (nowMs, timeConstantMs) => {
      const perS =
        computeDecayed(own, nowMs, timeConstantMs) + MS_PER_S / timeConstantMs;
      own = {perS, atMs: nowMs};
    },
    recordReport: (node, ratePerS, nowMs) => {
      others.set(node, {perS: ratePerS, atMs: nowMs});
    },
    recordLimitChange: (changePerS, nowMs, timeConstantMs) => {
      const leftPerS = computeDecayed(withheld, nowMs, timeConstantMs);
      withheld = {perS: Math.max(0, leftPerS + changePerS), atMs: nowMs};
    },
    getOwnPerS: (nowMs, timeConstantMs) =>
      computeDecayed(own, nowMs, timeConstantMs),
    getTotalPerS,
  };

  function getTotalPerS(nowMs: number, timeConstantMs: number): number {
    let totalPerS =
      computeDecayed(own, nowMs, timeConstantMs) +
      computeDecayed(withheld, nowMs, timeConstantMs);
    for (const [node, rate] of others) {
      const perS = computeDecayed(rate, nowMs, timeConstantMs);
      if (perS < MIN_RATE_PER_S) others.delete(node);
      totalPerS += perS;
    }
    return totalPerS;
  }
}

function computeDecayed(
  rate: Rate,
  nowMs: number,
  timeConstantMs: number,
): number {
  return rate.perS * Math.exp(-(nowMs - rate.atMs) / timeConstantMs);
}
