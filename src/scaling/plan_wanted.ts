/**
 * Plans how many servers of both kinds together each failure domain should
 * have: more at once when the load requires it, fewer in small steps. Pure
 * functions.
 */
import {getServerPrice} from './scaling_limits';
import type {ScalingLimits, ServerNeed} from './types';

/** Number of servers of a failure domain that the load required so far. */
export interface WantedDomain {
  readonly failureDomain: string;
  readonly wanted: number;
  /** True when the time between two steps that release servers has passed. */
  readonly canDecrease: boolean;
}

/** Input of `planWanted`. */
export interface WantedInput {
  readonly limits: ScalingLimits;
  readonly domains: readonly WantedDomain[];
  readonly need: ServerNeed;
  /** Least number of servers in each failure domain: engines of both stages. */
  readonly minPerDomain: number;
  /** Least number of servers of all failure domains together. */
  readonly minTotal: number;
}

/** Largest fraction of a failure domain's servers released in one step; at least one server may be. */
const MAX_DECREASE_FRACTION = 1 / 8;
/** Fraction by which the need may exceed the servers: it includes capacity for bursts. */
const MAX_SHORTFALL_FRACTION = 0.15;
/** Smallest increase relative to the servers that are wanted already: a load that rises step by step would cause an order for each server. */
const MIN_INCREASE_FRACTION = 1 / 8;
/** Fraction by which the need must be lower before servers are released: below it the numbers would follow random variation. */
const MIN_DECREASE_FRACTION = 0.1;
/** Fraction of its share of the servers below which a failure domain gets more of them: KV caches moved between failure domains are expensive. */
const MIN_SHARE_FRACTION = 0.75;

/** Returns the wanted number of servers by failure domain. */
export function planWanted(input: WantedInput): Map<string, number> {
  const {limits, domains, need} = input;
  const wanted = new Map(
    domains.map(({failureDomain, wanted: count}) => [
      failureDomain,
      getAllowedCount(input, count),
    ]),
  );
  const forecast = Math.max(need.forecast, input.minTotal);
  const required = Math.max(forecast, need.peak ?? 0);
  const shares = computeShares(input, required);
  for (const [domain, share] of shares) {
    const count = wanted.get(domain) ?? 0;
    // Without a known peak the shares are not known well enough either.
    const isShort =
      need.peak !== undefined && count < MIN_SHARE_FRACTION * share;
    if (isShort) wanted.set(domain, Math.min(limits.maxServers, share));
  }
  applyIncrease(input, wanted, shares, forecast);
  if (need.peak !== undefined) applyDecrease(input, wanted, shares, required);
  return wanted;
}

function getAllowedCount({limits, minPerDomain}: WantedInput, count: number) {
  const least = Math.max(limits.minServers, minPerDomain);
  return Math.min(limits.maxServers, Math.max(least, count));
}

/** Returns each failure domain's part of a number of servers, rounded up. */
function computeShares(input: WantedInput, count: number): Map<string, number> {
  const {domains, need} = input;
  const getShare = (domain: string) =>
    Math.max(0, need.domainShares[domain] ?? 0);
  const total = domains.reduce(
    (sum, {failureDomain}) => sum + getShare(failureDomain),
    0,
  );
  return new Map(
    domains.map(({failureDomain}) => {
      const share =
        total > 0 ? getShare(failureDomain) / total : 1 / domains.length;
      return [failureDomain, getAllowedCount(input, Math.ceil(share * count))];
    }),
  );
}

function applyIncrease(
  {limits, minTotal}: WantedInput,
  wanted: Map<string, number>,
  shares: ReadonlyMap<string, number>,
  required: number,
): void {
  const total = computeSum(wanted);
  const tolerated = (1 + MAX_SHORTFALL_FRACTION) * total;
  if (required <= tolerated && total >= minTotal) return;
  const step = Math.ceil(total * MIN_INCREASE_FRACTION);
  for (let missing = Math.max(required - total, step); missing > 0; missing--) {
    const open = [...wanted].filter(([, count]) => count < limits.maxServers);
    const [domain, count] = open.sort((left, right) =>
      compareSurplus(limits, shares, left, right),
    )[0] ?? ['', -1];
    if (count < 0) return;
    wanted.set(domain, count + 1);
  }
}

function applyDecrease(
  input: WantedInput,
  wanted: Map<string, number>,
  shares: ReadonlyMap<string, number>,
  required: number,
): void {
  const surplus = computeSum(wanted) - required;
  if (surplus < Math.max(1, MIN_DECREASE_FRACTION * computeSum(wanted))) return;
  const floors = new Map(
    input.domains
      .filter(({canDecrease}) => canDecrease)
      .map(({failureDomain}) => {
        const count = wanted.get(failureDomain) ?? 0;
        const step = Math.max(1, Math.floor(count * MAX_DECREASE_FRACTION));
        return [failureDomain, getAllowedCount(input, count - step)];
      }),
  );
  for (let rest = Math.floor(surplus); rest > 0; rest--) {
    const open = [...wanted].filter(
      ([domain, count]) =>
        count > (floors.get(domain) ?? Number.POSITIVE_INFINITY),
    );
    const [domain, count] = open.sort((left, right) =>
      compareSurplus(input.limits, shares, right, left),
    )[0] ?? ['', -1];
    if (count < 0) return;
    wanted.set(domain, count - 1);
  }
}

/** Orders failure domains by their servers above their share, then by price. */
function compareSurplus(
  limits: ScalingLimits,
  shares: ReadonlyMap<string, number>,
  left: readonly [string, number],
  right: readonly [string, number],
): number {
  const getSurplus = ([domain, count]: readonly [string, number]) =>
    count - (shares.get(domain) ?? 0);
  return (
    getSurplus(left) - getSurplus(right) ||
    getServerPrice(limits, left[0], false) -
      getServerPrice(limits, right[0], false)
  );
}

function computeSum(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
