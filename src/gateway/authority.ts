/**
 * Authority to give orders to engines: one node at a time, by conditional
 * appends to the store's log. The fencing number grows with each grant.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {Clock} from '../runtime/types';
import type {FleetStore} from './types';

/** Authority that was granted to this node. */
export interface Grant {
  readonly fencingNumber: number;
  /** True while orders may be sent; a node that was frozen finds it false. */
  isValid(): boolean;
}

/** Why authority was not granted. */
export interface Denial {
  readonly reason: 'unavailable' | 'held' | 'lost';
  readonly message: string;
}

/** Takes authority for short spells, when orders are to be given. */
export interface Authority {
  tryAcquire(): Promise<Result<Grant, Denial>>;
}

/** Options of authority. */
export interface AuthorityOptions {
  readonly nodeName: string;
  readonly store: FleetStore;
  readonly clock: Clock;
  /** Shortest time between orders of two holders, in milliseconds. */
  readonly leaseMs: number;
}

/** How long orders may be sent after a grant was asked for, in milliseconds. */
const VALIDITY_MS = 1_500;
/** Time added to the lease of another holder, in milliseconds: orders on their way. */
const GUARD_MS = 700;

/** Creates authority that is not held. */
export function createAuthority(options: AuthorityOptions): Authority {
  const {clock, store} = options;
  /** The latest grant of another node, and when this node first saw it. */
  let observed: {endOffset: number; atMs: number} | undefined;
  return {tryAcquire};

  async function tryAcquire(): Promise<Result<Grant, Denial>> {
    const latest = await store.readAuthority();
    if (latest.err) {
      return Err({reason: 'unavailable', message: latest.val.message});
    }
    const {endOffset, holder} = latest.val;
    const isFree = endOffset === 0 || holder === options.nodeName;
    if (!isFree && !isLapsed(endOffset)) {
      return Err({reason: 'held', message: `held by ${holder ?? 'a node'}`});
    }
    const requestedAt = readClocks();
    const claim = await store.claimAuthority(options.nodeName, endOffset);
    if (claim.err) {
      const reason = claim.val.kind === 'conflict' ? 'lost' : 'unavailable';
      return Err({reason, message: claim.val.message});
    }
    return Ok({
      fencingNumber: claim.val,
      isValid: () => getElapsedMs(requestedAt) < VALIDITY_MS,
    });
  }

  /** The other holder's time is counted from when this node first saw its grant. */
  function isLapsed(endOffset: number): boolean {
    const nowMs = clock.getMonotonicMs();
    if (observed === undefined || observed.endOffset !== endOffset) {
      observed = {endOffset, atMs: nowMs};
    }
    return nowMs - observed.atMs > options.leaseMs + VALIDITY_MS + GUARD_MS;
  }

  function readClocks() {
    return {monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs()};
  }

  /** The monotonic clock stands still while a VM is suspended; the time of day does not. */
  function getElapsedMs(since: ReturnType<typeof readClocks>): number {
    const now = readClocks();
    return Math.max(
      now.monotonicMs - since.monotonicMs,
      now.wallMs - since.wallMs,
    );
  }
}
