/**
 * Authority over stage orders and duties: a lease that one node at a time
 * holds, acquired by a conditional append to the store's log. The fencing
 * number increases with each grant.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {FleetStore} from '../gateway/types';
import type {Clock} from '../runtime/types';
import type {Authority, Denial, Grant} from './types';

/** Options of authority. */
export interface AuthorityOptions {
  readonly nodeName: string;
  readonly store: Pick<FleetStore, 'readAuthority' | 'claimAuthority'>;
  readonly clock: Clock;
  /** Minimum time between the orders of two different holders, in milliseconds. */
  readonly leaseMs: number;
  /** Returns how often the store has lost records. */
  readonly getEra?: () => number;
}

/** How long a grant is valid, counted from its request, in milliseconds. */
const VALIDITY_MS = 1_500;
/** Time added to the lease of another holder, in milliseconds: its last orders may still be in flight. */
const GUARD_MS = 700;
/** A fencing number is the store's era times this number, plus the end of the log after the grant. */
const ERA_FACTOR = 2 ** 32;

/** Creates an authority that this node does not hold yet. */
export function createAuthority(options: AuthorityOptions): Authority {
  const {clock, store} = options;
  /** Time after which another node's grant has expired, from when it was first observed, in milliseconds. */
  const lapseMs = options.leaseMs + VALIDITY_MS + GUARD_MS;
  const getEra = options.getEra ?? (() => 0);
  /** The latest grant of another node, and when this node first observed it. */
  let observed: {endOffset: number; atMs: number} | undefined;
  /** Highest end of the log that this node knows; what is before the last record need not be read. */
  let knownEnd = 0;
  /** Highest fencing number that another node has stated. */
  let highestStated = 0;
  let pending: Promise<Result<Grant, Denial>> | undefined;
  let releasedUntilMs = -Infinity;
  let releaseCount = 0;
  /** Era of the last read; undefined before the first one. */
  let era: number | undefined;
  /** When the era last increased; a grant that the store lost may be valid for some time after. */
  let eraAtMs = -Infinity;
  return {tryAcquire, recordGrant, release};

  /** Concurrent callers share one acquisition: two appends of one node would conflict. */
  function tryAcquire(): Promise<Result<Grant, Denial>> {
    pending ??= claim().finally(() => {
      pending = undefined;
    });
    return pending;
  }

  async function claim(): Promise<Result<Grant, Denial>> {
    if (clock.getMonotonicMs() < releasedUntilMs) {
      return Err({reason: 'released', message: 'released by this node'});
    }
    // Other calls to the store may have shown a new era; the first read only learns it.
    if (era !== undefined) hasNewEra();
    // The log only grows, so a grant that has not expired needs no read.
    if (observed !== undefined && !isLapsed(observed.endOffset)) {
      return Err({reason: 'held', message: 'held by another node'});
    }
    const latest = await store.readAuthority(Math.max(0, knownEnd - 1));
    if (latest.err) {
      return Err({reason: 'unavailable', message: latest.val.message});
    }
    if (hasNewEra() || clock.getMonotonicMs() - eraAtMs <= lapseMs) {
      return Err({reason: 'held', message: 'the store lost recent grants'});
    }
    const {endOffset, holder} = latest.val;
    knownEnd = endOffset;
    const isFree = endOffset === 0 || holder === options.nodeName;
    if (!isFree && !isLapsed(endOffset)) {
      return Err({reason: 'held', message: `held by ${holder ?? 'a node'}`});
    }
    const requestedAt = readClocks();
    const releaseCountBefore = releaseCount;
    const claimed = await store.claimAuthority(options.nodeName, endOffset);
    if (claimed.err) {
      const reason = claimed.val.kind === 'conflict' ? 'lost' : 'unavailable';
      return Err({reason, message: claimed.val.message});
    }
    if (hasNewEra()) {
      return Err({reason: 'lost', message: 'the store lost recent grants'});
    }
    return Ok({
      fencingNumber: claimed.val,
      isValid: () =>
        releaseCount === releaseCountBefore &&
        getEra() === era &&
        getElapsedMs(requestedAt) < VALIDITY_MS,
    });
  }

  /** Starts the wait for the end of another node's grant when that node states it, which is earlier than the next read of the store. */
  function recordGrant(fencingNumber: number): void {
    if (fencingNumber <= highestStated) return;
    highestStated = fencingNumber;
    const endOffset = fencingNumber % ERA_FACTOR;
    if (observed?.endOffset === endOffset) return;
    observed = {endOffset, atMs: clock.getMonotonicMs()};
  }

  /** Returns whether the era has increased since the last call; the first one only learns it. */
  function hasNewEra(): boolean {
    const latest = getEra();
    const isNew = era !== undefined && latest !== era;
    era = latest;
    if (!isNew) return false;
    // Offsets of the new era say nothing about grants of the old one.
    observed = undefined;
    knownEnd = 0;
    eraAtMs = clock.getMonotonicMs();
    return true;
  }

  function release(forMs: number): void {
    releasedUntilMs = clock.getMonotonicMs() + forMs;
    releaseCount++;
  }

  /** Returns whether another node's grant has expired; its time is counted from when this node first observed it. */
  function isLapsed(endOffset: number): boolean {
    const nowMs = clock.getMonotonicMs();
    if (observed === undefined || observed.endOffset !== endOffset) {
      observed = {endOffset, atMs: nowMs};
    }
    return nowMs - observed.atMs > lapseMs;
  }

  function readClocks() {
    return {monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs()};
  }

  /** Takes the larger of two clocks: the monotonic clock stops while a VM is suspended, the wall clock does not. */
  function getElapsedMs(since: ReturnType<typeof readClocks>): number {
    const now = readClocks();
    return Math.max(
      now.monotonicMs - since.monotonicMs,
      now.wallMs - since.wallMs,
    );
  }
}
