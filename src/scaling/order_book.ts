/**
 * Remembers what was ordered for one service: by this node, by others, and what
 * the platform refused. Without a known order, the listed servers are taken as
 * ordered.
 */
import {
  createKindRecord,
  createKindState,
  getDesired,
  type KindRecord,
  recordDrained,
  recordReclaim,
  recordRefusedOrder,
  setOrdered,
  updateDifference,
} from './kind_record';
import type {
  DomainState,
  ListedServer,
  OrderedDomain,
  ServerOrder,
} from './types';

/** Orders of one service. */
export interface OrderBook {
  /** Takes the listed servers into account. */
  update(listed: readonly ListedServer[], nowMs: number): void;
  list(startupMs: number, nowMs: number): DomainState[];
  /** Adds a failure domain, which may have no servers yet. */
  add(failureDomain: string): void;
  setWanted(failureDomain: string, count: number, nowMs: number): void;
  canDecrease(failureDomain: string, nowMs: number): boolean;
  /** Returns the number that was ordered of the order's kind so far, or the listed one while none is known. */
  getDesired(order: ServerOrder): number;
  /** Records an order that was carried out, or that may be when the platform has not confirmed it. */
  recordOrder(order: ServerOrder, nowMs: number, isConfirmed: boolean): void;
  /** Records that none of the ordered servers can be had. */
  recordRefusal(order: ServerOrder, nowMs: number): void;
  /** Takes the listed servers as the wanted numbers. */
  start(nowMs: number): void;
  /** Adds ordinary servers that were listed later than others to the wanted numbers, as long as none were ordered. */
  addLateServers(nowMs: number): void;
  /** Lists the numbers for other nodes. */
  listOrdered(): OrderedDomain[];
  /** Replaces numbers by those of another node; they count as ordered just now where they differ. */
  apply(domains: readonly OrderedDomain[], nowMs: number): void;
}

interface DomainRecord {
  wanted: number;
  decreasedAtMs: number;
  readonly ordinary: KindRecord;
  readonly reclaimable: KindRecord;
}

/** Time between two steps that release servers of a failure domain, in milliseconds. */
const DECREASE_INTERVAL_MS = 5_000;

/** Creates a book without orders. */
export function createOrderBook(): OrderBook {
  const domains = new Map<string, DomainRecord>();
  return {
    update,
    list,
    add: failureDomain => void getDomain(failureDomain),
    setWanted,
    canDecrease: (failureDomain, nowMs) =>
      nowMs - getDomain(failureDomain).decreasedAtMs >= DECREASE_INTERVAL_MS,
    getDesired: order => getDesired(getKind(order)),
    recordOrder,
    recordRefusal,
    start,
    addLateServers,
    listOrdered,
    apply,
  };

  function update(listed: readonly ListedServer[], nowMs: number): void {
    for (const {ordinary, reclaimable} of domains.values()) {
      ordinary.ready = 0;
      reclaimable.ready = 0;
    }
    const leavingCounts = new Map<KindRecord, number>();
    const reclaimed = new Set<KindRecord>();
    for (const server of listed) {
      const record = getKind(server);
      if (!server.isLeaving) {
        record.ready++;
        continue;
      }
      if (!server.isReclaimable) continue;
      leavingCounts.set(record, (leavingCounts.get(record) ?? 0) + 1);
      if (server.isReclaimed) reclaimed.add(record);
    }
    for (const [record, count] of leavingCounts) {
      const {ordered, ready} = record;
      // A server that leaves after a release leaves no fewer than were ordered.
      if (ordered !== undefined && ready >= ordered) continue;
      if (reclaimed.has(record)) recordReclaim(record, nowMs);
      else if (ready === 0 && count > 1) recordDrained(record, nowMs);
    }
    for (const {ordinary, reclaimable} of domains.values()) {
      updateDifference(ordinary, nowMs);
      updateDifference(reclaimable, nowMs);
    }
  }

  function list(startupMs: number, nowMs: number): DomainState[] {
    return [...domains]
      .map(([failureDomain, {wanted, ordinary, reclaimable}]) => ({
        failureDomain,
        wanted,
        ordinary: createKindState(ordinary, startupMs, nowMs),
        reclaimable: createKindState(reclaimable, startupMs, nowMs),
      }))
      .sort((left, right) =>
        left.failureDomain < right.failureDomain ? -1 : 1,
      );
  }

  function setWanted(
    failureDomain: string,
    count: number,
    nowMs: number,
  ): void {
    const domain = getDomain(failureDomain);
    if (count < domain.wanted) domain.decreasedAtMs = nowMs;
    domain.wanted = count;
  }

  function recordOrder(
    order: ServerOrder,
    nowMs: number,
    isConfirmed: boolean,
  ): void {
    const record = getKind(order);
    setOrdered(record, order.count, nowMs);
    record.isUnconfirmed = !isConfirmed;
  }

  function recordRefusal(order: ServerOrder, nowMs: number): void {
    recordRefusedOrder(getKind(order), order.count, nowMs);
  }

  function start(nowMs: number): void {
    for (const [domain, {ordinary, reclaimable}] of domains) {
      setWanted(domain, ordinary.ready + reclaimable.ready, nowMs);
    }
  }

  function addLateServers(nowMs: number): void {
    for (const [domain, {wanted, ordinary}] of domains) {
      const isLate = ordinary.ordered === undefined && ordinary.ready > wanted;
      if (isLate) setWanted(domain, ordinary.ready, nowMs);
    }
  }

  function listOrdered(): OrderedDomain[] {
    return [...domains].map(([failureDomain, domain]) => {
      const {ordinary, reclaimable, wanted} = domain;
      return {
        failureDomain,
        wanted,
        ...(isTellable(ordinary) ? {ordinary: ordinary.ordered} : {}),
        ...(isTellable(reclaimable) ? {reclaimable: reclaimable.ordered} : {}),
      };
    });
  }

  function apply(ordered: readonly OrderedDomain[], nowMs: number): void {
    for (const item of ordered) {
      const domain = getDomain(item.failureDomain);
      setWanted(item.failureDomain, item.wanted, nowMs);
      for (const kind of ['ordinary', 'reclaimable'] as const) {
        const record = domain[kind];
        const count = item[kind];
        if (count !== undefined && record.ordered !== count) {
          setOrdered(record, count, nowMs);
        }
      }
    }
  }

  /** A number that may not have reached the platform is not told: another node would wait for its effect. */
  function isTellable({ordered, isUnconfirmed}: KindRecord): boolean {
    return ordered !== undefined && !isUnconfirmed;
  }

  function getKind(server: {
    readonly failureDomain: string;
    readonly isReclaimable: boolean;
  }): KindRecord {
    const domain = getDomain(server.failureDomain);
    return server.isReclaimable ? domain.reclaimable : domain.ordinary;
  }

  function getDomain(failureDomain: string): DomainRecord {
    const known = domains.get(failureDomain);
    if (known !== undefined) return known;
    const created: DomainRecord = {
      wanted: 0,
      decreasedAtMs: Number.NEGATIVE_INFINITY,
      ordinary: createKindRecord(),
      reclaimable: createKindRecord(),
    };
    domains.set(failureDomain, created);
    return created;
  }
}
