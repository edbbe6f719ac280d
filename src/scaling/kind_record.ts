/** What was ordered of one kind of server in one failure domain, and what the platform shows of it. */
import type {KindState} from './types';

/** Orders of one kind in a failure domain. */
export interface KindRecord {
  ready: number;
  /** Undefined until an order is known. */
  ordered: number | undefined;
  orderedAtMs: number;
  isIncrease: boolean;
  /** True when the platform has not answered the order: it may not be carried out. */
  isUnconfirmed: boolean;
  /** Number of times that the last order was repeated without an effect. */
  repeatCount: number;
  differsSinceMs: number | undefined;
  refusedUntilMs: number;
  reclaimedUntilMs: number;
}

/** How long the platform is taken to have no servers of a kind after it refused an order or took servers away, in milliseconds. */
const UNAVAILABLE_MS = 10_000;
/** How long the listed servers may differ from the ordered number, in milliseconds. */
const MAX_DIFFERENCE_MS = 3_000;
/** Largest factor by which the time grows while repeated orders show no effect: each of them is a write to the store. */
const MAX_REPEAT_FACTOR = 8;

/** Records whether the listed servers match the order. */
export function updateDifference(record: KindRecord, nowMs: number): void {
  if (record.ready !== getDesired(record)) {
    record.differsSinceMs ??= nowMs;
    return;
  }
  record.differsSinceMs = undefined;
  record.repeatCount = 0;
}

/** Returns the state for the plan. */
export function createKindState(
  record: KindRecord,
  startupMs: number,
  nowMs: number,
): KindState {
  const {ready} = record;
  const desired = getDesired(record);
  return {
    ready,
    desired,
    available: getAvailable(record, nowMs),
    isOverdue: isOverdue(record, startupMs, nowMs),
  };
}

function getAvailable(record: KindRecord, nowMs: number): number {
  if (nowMs < record.reclaimedUntilMs) return record.ready;
  if (nowMs >= record.refusedUntilMs) return Number.POSITIVE_INFINITY;
  return Math.max(record.ready, getDesired(record));
}

function isOverdue(
  record: KindRecord,
  startupMs: number,
  nowMs: number,
): boolean {
  const {ordered, differsSinceMs} = record;
  if (record.isUnconfirmed) return true;
  if (ordered === undefined || differsSinceMs === undefined) return false;
  const factor = Math.min(MAX_REPEAT_FACTOR, 2 ** record.repeatCount);
  // Ordered servers are listed once they have started.
  const startMs = record.isIncrease ? startupMs : 0;
  const sinceMs = Math.max(differsSinceMs, record.orderedAtMs + startMs);
  return nowMs - sinceMs >= MAX_DIFFERENCE_MS * factor;
}

/** Sets the ordered number. */
export function setOrdered(
  record: KindRecord,
  count: number,
  nowMs: number,
): void {
  const isRepeat = record.ordered === count;
  record.repeatCount = isRepeat ? record.repeatCount + 1 : 0;
  record.isIncrease = count > record.ready;
  record.isUnconfirmed = false;
  record.ordered = count;
  record.orderedAtMs = nowMs;
  updateDifference(record, nowMs);
}

/** Returns the ordered number, or the listed one while none is known. */
export function getDesired({ordered, ready}: KindRecord): number {
  return ordered ?? ready;
}

/** Creates a record without servers or orders. */
export function createKindRecord(): KindRecord {
  return {
    ready: 0,
    ordered: undefined,
    orderedAtMs: 0,
    isIncrease: false,
    isUnconfirmed: false,
    repeatCount: 0,
    differsSinceMs: undefined,
    refusedUntilMs: Number.NEGATIVE_INFINITY,
    reclaimedUntilMs: Number.NEGATIVE_INFINITY,
  };
}

/** Records that the platform takes servers away. */
export function recordReclaim(record: KindRecord, nowMs: number): void {
  record.reclaimedUntilMs = nowMs + UNAVAILABLE_MS;
}

/**
 * Records that all servers leave at once although none were released. Not all
 * servers state that they were reclaimed, so the order is repeated at once: the
 * platform refuses it if they were.
 */
export function recordDrained(record: KindRecord, nowMs: number): void {
  if (nowMs - record.orderedAtMs < MAX_DIFFERENCE_MS) return;
  record.isUnconfirmed = true;
}

/** Records that the platform has none of the ordered servers. */
export function recordRefusedOrder(
  record: KindRecord,
  count: number,
  nowMs: number,
): void {
  record.refusedUntilMs = nowMs + UNAVAILABLE_MS;
  const desired = getDesired(record);
  if (count > desired) return;
  // A refused repetition or decrease shows that the earlier order has brought only the listed servers.
  setOrdered(record, Math.min(count, record.ready), nowMs);
}
