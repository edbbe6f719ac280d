/**
 * Authority over stage orders and duties: a lease that one node at a time
 * holds, acquired by a conditional append to the store's log. The fencing
 * number increases with each grant.
 */
import {Err, Ok, type Result} from 'ts-results';
import {parseFencingNumber} from '../gateway/store_era';
import type {FleetStore} from '../gateway/types';
import type {Clock} from '../runtime/types';
import type {Authority, Denial, Grant} from './types';

/** Options of authority. */
export interface AuthorityOptions {
  readonly nodeName: string;
  readonly store: Pick<
    FleetStore,
    'getEra' | 'readAuthority' | 'claimAuthority'
  >;
  readonly clock: Clock;
  /** Minimum time between the orders of two different holders, in milliseconds. */
  readonly leaseMs: number;
}

/** How long a grant is valid, counted from its request, in milliseconds. */
const VALIDITY_MS = 1_500;
/** Time added to the lease of another holder, in milliseconds: its last orders may still be in flight. */
const GUARD_MS = 700;

/** Creates an authority that this node does not hold yet. */
export function createAuthority(options: AuthorityOptions): Authority {
  const {clock, store} = options;
  /** Time after which another node's grant has expired, from when it was first observed, in milliseconds. */
  const lapseMs = options.leaseMs + VALIDITY_MS + GUARD_MS;
  /** The latest grant of another node, and when this node first observed it. */
  let observed:
    | {readonly era: number; readonly endOffset: number; readonly atMs: number}
    | undefined;
  /** Highest end of the log that this node knows; what is before the last record need not be read. */
  let known = {era: 0, endOffset: 0};
  /** The latest grant to this node. */
  let ownGrant: Grant | undefined;
  /** Highest fencing number that another node has stated. */
  let highestStated = 0;
  let pending: Promise<Result<Grant, Denial>> | undefined;
  let releasedUntilMs = -Infinity;
  let releaseCount = 0;
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
    // The log only grows within an era, so a grant that has not expired needs no read.
    if (
      observed !== undefined &&
      observed.era === store.getEra() &&
      !isLapsed(observed.era, observed.endOffset)
    ) {
      return Err({reason: 'held', message: 'held by another node'});
    }
    const latest = await store.readAuthority(getReadOffset());
    if (latest.err) {
      return Err({reason: 'unavailable', message: latest.val.message});
    }
    const {endOffset, holder, era = 0, mayLackGrants} = latest.val;
    known = {era, endOffset};
    const isFree =
      mayLackGrants === true
        ? ownGrant?.isValid() === true
        : endOffset === 0 || holder === options.nodeName;
    if (!isFree && !isLapsed(era, endOffset)) {
      return Err({reason: 'held', message: `held by ${holder ?? 'a node'}`});
    }
    return appendGrant(endOffset, era);
  }

  async function appendGrant(
    endOffset: number,
    era: number,
  ): Promise<Result<Grant, Denial>> {
    const requestedAt = readClocks();
    const releaseCountBefore = releaseCount;
    const claimed = await store.claimAuthority(
      options.nodeName,
      endOffset,
      era,
    );
    if (claimed.err) {
      const reason = claimed.val.kind === 'conflict' ? 'lost' : 'unavailable';
      return Err({reason, message: claimed.val.message});
    }
    ownGrant = {
      fencingNumber: claimed.val,
      isValid: () =>
        releaseCount === releaseCountBefore &&
        getElapsedMs(requestedAt) < VALIDITY_MS,
    };
    return Ok(ownGrant);
  }

  /** The last known record is read again, because its era tells whether later ones are valid. */
  function getReadOffset(): number {
    return known.era === store.getEra() ? Math.max(0, known.endOffset - 1) : 0;
  }

  /** Starts the wait for the end of another node's grant when that node states it, which is earlier than the next read of the store. */
  function recordGrant(fencingNumber: number): void {
    if (fencingNumber <= highestStated) return;
    highestStated = fencingNumber;
    const {era, endOffset} = parseFencingNumber(fencingNumber);
    if (observed?.era === era && observed.endOffset === endOffset) return;
    observed = {era, endOffset, atMs: clock.getMonotonicMs()};
  }

  function release(forMs: number): void {
    releasedUntilMs = clock.getMonotonicMs() + forMs;
    releaseCount++;
  }

  /** Returns whether another node's grant has expired; its time is counted from when this node first observed it. */
  function isLapsed(era: number, endOffset: number): boolean {
    const nowMs = clock.getMonotonicMs();
    if (observed?.era !== era || observed.endOffset !== endOffset) {
      observed = {era, endOffset, atMs: nowMs};
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
