/**
 * Authority over stage orders and duties: a lease that one node at a time
 * holds, acquired by a conditional append to the store's log. The fencing
 * number increases with each grant.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {Clock} from '../runtime/types';
import type {FleetStore} from '../gateway/types';
import type {Authority, Denial, Grant} from './types';

/** Options of authority. */
export interface AuthorityOptions {
  readonly nodeName: string;
  readonly store: Pick<FleetStore, 'readAuthority' | 'claimAuthority'>;
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

  /** Returns whether another node's grant has expired; its time is counted from when this node first observed it. */
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

  /** Takes the larger of two clocks: the monotonic clock stops while a VM is suspended, the wall clock does not. */
  function getElapsedMs(since: ReturnType<typeof readClocks>): number {
    const now = readClocks();
    return Math.max(
      now.monotonicMs - since.monotonicMs,
      now.wallMs - since.wallMs,
    );
  }
}
