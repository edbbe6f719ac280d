/**
 * Plans the orders for the servers of a service: reclaimable servers where the
 * loss of all of them in one failure domain leaves enough others, ordinary ones
 * for the rest. Servers are replaced before they are released. Pure functions.
 */
import {getServerPrice} from './scaling_limits';
import type {
  DomainState,
  KindState,
  ScalingLimits,
  ServerOrder,
  ServerPlanInput,
} from './types';

/** Number of servers of one kind in a failure domain that is aimed at. */
interface Target {
  readonly domain: DomainState;
  readonly isReclaimable: boolean;
  readonly kind: KindState;
  readonly price: number;
  count: number;
}

/** Targets of both kinds in a failure domain. */
interface DomainTargets {
  readonly ordinary: Target;
  readonly reclaimable: Target;
}

/** Plans the orders that are to be sent now; those that add servers come first. */
export function planServers(input: ServerPlanInput): ServerOrder[] {
  const targets = createTargets(input);
  setTargetCounts(input, targets);
  const counts = new Map<Target, number>();
  const all = targets.flatMap(item => [item.ordinary, item.reclaimable]);
  for (const target of all) counts.set(target, target.kind.desired);
  applyReleases(input, all, counts);
  applyIncreases(input, targets, counts);
  applyMinimum(input, targets, counts);
  return all
    .map(target => ({target, count: counts.get(target) ?? 0}))
    .filter(
      ({target: {kind}, count}) => count !== kind.desired || kind.isOverdue,
    )
    .sort((left, right) => getChange(right) - getChange(left))
    .map(({target, count}) => ({
      service: input.service,
      failureDomain: target.domain.failureDomain,
      isReclaimable: target.isReclaimable,
      count,
    }));
}

function getChange(item: {readonly target: Target; readonly count: number}) {
  return item.count - item.target.kind.desired;
}

function createTargets({limits, domains}: ServerPlanInput): DomainTargets[] {
  return domains.map(domain => {
    const create = (isReclaimable: boolean): Target => ({
      domain,
      isReclaimable,
      kind: isReclaimable ? domain.reclaimable : domain.ordinary,
      price: getServerPrice(limits, domain.failureDomain, isReclaimable),
      count: 0,
    });
    return {ordinary: create(false), reclaimable: create(true)};
  });
}

/** Chooses the kinds and, where a failure domain has none to give, other failure domains. */
function setTargetCounts(
  input: ServerPlanInput,
  targets: readonly DomainTargets[],
): void {
  const {limits} = input;
  const wanted = computeWantedTotal(input);
  const maxReclaimable =
    limits.reclaimablePrice === undefined
      ? 0
      : Math.max(0, wanted - Math.ceil(input.minAfterLoss));
  const getRoom = (item: DomainTargets, target: Target): number => {
    const {isReclaimable, kind, count} = target;
    const free = limits.maxServers - item.ordinary.count;
    const room = free - item.reclaimable.count;
    const limit = isReclaimable ? maxReclaimable : limits.maxServers;
    return Math.min(room, Math.min(limit, kind.available) - count);
  };
  const add = (item: DomainTargets, target: Target, count: number): number => {
    const added = Math.max(0, Math.min(count, getRoom(item, target)));
    target.count += added;
    return added;
  };
  let missing = wanted;
  for (const item of targets) {
    const count = getWanted(limits, item.ordinary.domain);
    missing -= add(item, item.reclaimable, count);
  }
  // The least number of servers holds in each failure domain, also without reclaimable ones.
  for (const item of targets) {
    const count = limits.minServers - item.reclaimable.count;
    missing -= add(item, item.ordinary, count);
  }
  // Elsewhere, the failure domain with the fewest reclaimable servers loses the fewest at once.
  while (missing > 0) {
    const open = targets.filter(item => getRoom(item, item.reclaimable) > 0);
    const best = open.sort(
      ({reclaimable: left}, {reclaimable: right}) =>
        left.count - right.count || left.price - right.price,
    )[0];
    if (best === undefined) break;
    missing -= add(best, best.reclaimable, 1);
  }
  for (const item of targets) {
    const {ordinary, reclaimable} = item;
    const count = getWanted(limits, ordinary.domain);
    const open = count - ordinary.count - reclaimable.count;
    missing -= add(item, ordinary, Math.min(missing, open));
  }
  const byPrice = [...targets].sort(
    (left, right) => left.ordinary.price - right.ordinary.price,
  );
  for (const item of byPrice) missing -= add(item, item.ordinary, missing);
}

function getWanted(limits: ScalingLimits, {wanted}: DomainState): number {
  return Math.min(limits.maxServers, Math.max(limits.minServers, wanted));
}

function computeWantedTotal({limits, domains}: ServerPlanInput): number {
  return domains.reduce((sum, item) => sum + getWanted(limits, item), 0);
}

/** Releases servers that others replace already: the most expensive ones first. */
function applyReleases(
  input: ServerPlanInput,
  targets: readonly Target[],
  counts: Map<Target, number>,
): void {
  if (!input.canRelease) return;
  const ready = targets.reduce((sum, {kind}) => sum + kind.ready, 0);
  let excess = Math.max(0, ready - computeWantedTotal(input));
  const byPrice = [...targets].sort((left, right) => right.price - left.price);
  for (const target of byPrice) {
    const {kind, count} = target;
    if (count >= kind.desired) continue;
    const released = Math.min(excess, Math.max(0, kind.ready - count));
    excess -= released;
    // Servers that were ordered and are not listed yet may be cancelled: nothing counts on them.
    const next = Math.max(count, kind.ready - released);
    counts.set(target, Math.min(kind.desired, next));
  }
}

/** Orders additional servers as far as the largest number of a failure domain allows it beside those that are still there. */
function applyIncreases(
  {limits}: ServerPlanInput,
  targets: readonly DomainTargets[],
  counts: Map<Target, number>,
): void {
  for (const {ordinary, reclaimable} of targets) {
    for (const [target, other] of [
      [reclaimable, ordinary],
      [ordinary, reclaimable],
    ]) {
      if (target.count <= target.kind.desired) continue;
      // Until a decrease is carried out, its servers are still there.
      const room =
        limits.maxServers -
        Math.max(counts.get(other) ?? 0, other.kind.desired);
      const next = Math.min(target.count, room);
      counts.set(target, Math.max(target.kind.desired, next));
    }
  }
}

/** Delays releases that would leave a failure domain with too few servers until others are ordered there. */
function applyMinimum(
  {limits}: ServerPlanInput,
  targets: readonly DomainTargets[],
  counts: Map<Target, number>,
): void {
  for (const item of targets) {
    const both = [item.ordinary, item.reclaimable];
    let missing =
      limits.minServers -
      both.reduce((sum, target) => sum + (counts.get(target) ?? 0), 0);
    for (const target of both) {
      const count = counts.get(target) ?? 0;
      const kept = Math.max(0, Math.min(missing, target.kind.desired - count));
      counts.set(target, count + kept);
      missing -= kept;
    }
  }
}
