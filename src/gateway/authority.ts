/**
 * Authority to send stage orders to engines: a lease that one node at a time
 * holds, acquired by a conditional append to the store's log. The fencing
 * number increases with each grant.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {Clock} from '../runtime/types';
import type {FleetStore} from './types';

/** A grant of authority to this node. */
export interface Grant {
  readonly fencingNumber: number;
  /** True while orders may be sent; false after this node was suspended for too long. */
  isValid(): boolean;
}

/** Why authority was not granted. */
export interface Denial {
  readonly reason: 'unavailable' | 'held' | 'lost';
  readonly message: string;
}

/** Acquires authority for a short time, when there are orders to send. */
export interface Authority {
  tryAcquire(): Promise<Result<Grant, Denial>>;
}

/** Options of authority. */
export interface AuthorityOptions {
  readonly nodeName: string;
  readonly store: FleetStore;
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
  /** The latest grant of another node, and when this node first observed it. */
  let observed:
    | {readonly era: number; readonly endOffset: number; readonly atMs: number}
    | undefined;
  /** The latest grant to this node. */
  let ownGrant: Grant | undefined;
  return {tryAcquire};

  async function tryAcquire(): Promise<Result<Grant, Denial>> {
    const latest = await store.readAuthority();
    if (latest.err) {
      return Err({reason: 'unavailable', message: latest.val.message});
    }
    const {endOffset, holder, era = 0, mayLackGrants} = latest.val;
    const isFree =
      mayLackGrants === true
        ? ownGrant?.isValid() === true
        : endOffset === 0 || holder === options.nodeName;
    if (!isFree && !isLapsed(era, endOffset)) {
      return Err({reason: 'held', message: `held by ${holder ?? 'a node'}`});
    }
    const requestedAt = readClocks();
    const claim = await store.claimAuthority(options.nodeName, endOffset, era);
    if (claim.err) {
      const reason = claim.val.kind === 'conflict' ? 'lost' : 'unavailable';
      return Err({reason, message: claim.val.message});
    }
    ownGrant = {
      fencingNumber: claim.val,
      isValid: () => getElapsedMs(requestedAt) < VALIDITY_MS,
    };
    return Ok(ownGrant);
  }

  /** Returns whether another node's grant has expired; its time is counted from when this node first observed it. */
  function isLapsed(era: number, endOffset: number): boolean {
    const nowMs = clock.getMonotonicMs();
    if (observed?.era !== era || observed.endOffset !== endOffset) {
      observed = {era, endOffset, atMs: nowMs};
    }
    return nowMs - observed.atMs > options.leaseMs + VALIDITY_MS + GUARD_MS;
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
