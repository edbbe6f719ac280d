/** Bounds the bytes that news may cost, so that a burst of it costs time and not traffic. */
import type {Clock} from '../runtime';
import type {Exchange} from './types';

/** An allowance that refills with time. */
export interface SendAllowance {
  isOpen(): boolean;
  /** Counts an exchange that was sent or received. */
  record(exchange: Exchange): void;
}

/** Estimated size of an exchange without its rumours, headers included, in bytes. */
const EXCHANGE_BYTES = 700;
/** Estimated size of one rumour, in bytes. */
const RUMOUR_BYTES = 100;

/** How much may be spent at once, in parts of a second's bytes. */
const BURST_S = 0.5;

/** Creates a full allowance. */
export function createSendAllowance(
  clock: Clock,
  bytesPerS: number,
): SendAllowance {
  const maxBytes = bytesPerS * BURST_S;
  let allowance = maxBytes;
  let atMs = clock.getMonotonicMs();
  return {isOpen, record};

  function isOpen(): boolean {
    const nowMs = clock.getMonotonicMs();
    const refill = ((nowMs - atMs) / 1_000) * bytesPerS;
    allowance = Math.min(maxBytes, allowance + refill);
    atMs = nowMs;
    return allowance > 0;
  }

  function record(exchange: Exchange): void {
    allowance -= EXCHANGE_BYTES + exchange.rumours.length * RUMOUR_BYTES;
  }
}
