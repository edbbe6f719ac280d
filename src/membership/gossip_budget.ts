/** Token bucket for the bytes of gossip: a burst of rumours is delayed rather than sent at once. */
import type {Clock} from '../runtime';
import type {Exchange} from './types';

/** A byte budget that refills over time. */
export interface GossipBudget {
  hasRemaining(): boolean;
  /** Charges the budget for an exchange that was sent or received. */
  record(exchange: Exchange): void;
}

/** Estimated size of an exchange without its rumours, headers included, in bytes. */
const EXCHANGE_BYTES = 700;
/** Estimated size of one rumour, in bytes. */
const RUMOUR_BYTES = 100;

/** Capacity of the bucket, as seconds of the permitted rate. */
const BURST_S = 0.5;

/** Creates a full budget. */
export function createGossipBudget(
  clock: Clock,
  bytesPerS: number,
): GossipBudget {
  const capacityBytes = bytesPerS * BURST_S;
  let availableBytes = capacityBytes;
  let refilledAtMs = clock.getMonotonicMs();
  return {hasRemaining, record};

  function hasRemaining(): boolean {
    const nowMs = clock.getMonotonicMs();
    const refillBytes = ((nowMs - refilledAtMs) / 1_000) * bytesPerS;
    availableBytes = Math.min(capacityBytes, availableBytes + refillBytes);
    refilledAtMs = nowMs;
    return availableBytes > 0;
  }

  function record(exchange: Exchange): void {
    availableBytes -= EXCHANGE_BYTES + exchange.rumours.length * RUMOUR_BYTES;
  }
}
