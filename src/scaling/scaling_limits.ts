/** Checks the limits of a scaled service that the operator configured. */
import type {Logger} from '../diagnostics/log';
import type {ScaledService, ScalingLimits} from './types';

/** Limits that can be planned with, and what was wrong with the configured ones. */
export interface CheckedLimits {
  /** Undefined when nothing may be ordered by these limits. */
  readonly limits?: ScalingLimits;
  readonly faults: readonly string[];
}

/** Returns usable limits; where a value is invalid, the one that orders the least change is taken. */
export function checkScalingLimits(limits: ScalingLimits): CheckedLimits {
  const faults: string[] = [];
  const maxServers = Math.floor(limits.maxServers);
  if (!(maxServers >= 1)) {
    return {faults: [`largest number ${limits.maxServers} allows no servers`]};
  }
  let minServers = Math.ceil(limits.minServers);
  if (!(minServers >= 0)) {
    faults.push(`least number ${limits.minServers} is negative`);
    minServers = 0;
  }
  if (minServers > maxServers) {
    faults.push(
      `least number ${minServers} exceeds largest number ${maxServers}`,
    );
    minServers = maxServers;
  }
  if (!(limits.startupMs >= 0)) faults.push('start-up time is negative');
  const {reclaimablePrice: price} = limits;
  const hasPrice = price !== undefined && price >= 0 && price < 1;
  if (price !== undefined && !hasPrice) {
    faults.push(
      `relative price ${price} of reclaimable servers is not between 0 and 1`,
    );
  }
  const prices = Object.entries(limits.domainPrices);
  if (prices.length === 0) faults.push('no prices of failure domains');
  for (const [domain, value] of prices) {
    if (!(value >= 0)) faults.push(`price of ${domain} is negative`);
  }
  return {
    limits: {
      minServers,
      maxServers,
      startupMs: Math.max(0, limits.startupMs) || 0,
      ...(hasPrice ? {reclaimablePrice: price} : {}),
      domainPrices: Object.fromEntries(prices.filter(([, item]) => item >= 0)),
    },
    faults,
  };
}

/** Returns the price of a server for one second. */
export function getServerPrice(
  limits: ScalingLimits,
  failureDomain: string,
  isReclaimable: boolean,
): number {
  const price = limits.domainPrices[failureDomain] ?? 1;
  return isReclaimable ? price * (limits.reclaimablePrice ?? 1) : price;
}

/** Checked limits of all scaled services. */
export interface LimitChecks {
  /** Returns usable limits; undefined when nothing may be ordered. Logs what is wrong, once. */
  tryGet(service: ScaledService): ScalingLimits | undefined;
}

/** Creates checks that have seen no limits. */
export function createLimitChecks(logger: Logger): LimitChecks {
  const known = new Map<string, {source: ScalingLimits; item: CheckedLimits}>();
  return {
    tryGet: ({name, limits: source}) => {
      const last = known.get(name);
      if (last?.source === source) return last.item.limits;
      const item = checkScalingLimits(source);
      known.set(name, {source, item});
      const {faults, limits} = item;
      if (faults.length > 0) {
        logger.log('warn', 'limits of a scaled service are invalid', {
          service: name,
          faults,
          isScaled: limits !== undefined,
        });
      }
      return limits;
    },
  };
}
