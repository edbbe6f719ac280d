/** Messages between nodes about usage. Counts are cumulative, so a repeated or late message does no harm. */
import {isCount} from '../runtime/is_count';

/** Counts of one node in a window, or a part of them. */
export interface UsageMessage {
  readonly kind: 'usage';
  readonly from: string;
  /** Distinguishes the process from earlier ones of the same node. */
  readonly incarnation: string;
  readonly windowId: number;
  readonly counts: Readonly<Record<string, number>>;
  /** Sum of the node's counts in the window; the receiver has all of them when its own sum is the same. */
  readonly total: number;
  /** True when the window has ended, so that the counts do not change any more. */
  readonly isFinal: boolean;
  /** True when the process ends. */
  readonly isLeaving?: true;
  /** Wall clock of the sender, in milliseconds since the Unix epoch. */
  readonly wallMs: number;
}

/** States which counts of the addressed node the sender has. */
export interface UsageAckMessage {
  readonly kind: 'usage-ack';
  readonly from: string;
  readonly incarnation: string;
  readonly windowId: number;
  /** Sum of the counts received. */
  readonly total: number;
  readonly isFinal: boolean;
  /** The fleet's time as the sender knows it, in milliseconds since the Unix epoch. */
  readonly timeMs: number;
}

/** States which windows the holder of the duty has reported. */
export interface UsageDoneMessage {
  readonly kind: 'usage-done';
  readonly from: string;
  /** The latest windows that were reported. */
  readonly windowIds: readonly number[];
  /** End of the store's topic of usage records; absent when the sender does not know it. */
  readonly endOffset?: number;
  /** Era of the store to which the offset belongs. */
  readonly era: number;
  /** Fencing number of the sender's latest grant. */
  readonly fencingNumber: number;
}

/** A message about usage. */
export type UsagePeerMessage =
  UsageMessage | UsageAckMessage | UsageDoneMessage;

/** Largest size of the counts in a message, in bytes: with the other fields it fits into a datagram of 1,400 bytes. */
const MAX_COUNTS_BYTES = 1_050;
/** Largest number of windows that a message may name. */
const MAX_DONE_WINDOWS = 16;
/** Quotes, colon and comma of an entry and up to ten digits. */
const ENTRY_BYTES = 14;

/** Splits counts so that each part fits into a message; without counts there is one empty part. */
export function splitCounts(
  counts: ReadonlyMap<string, number>,
): ReadonlyArray<Readonly<Record<string, number>>> {
  const parts: Array<Array<[string, number]>> = [[]];
  let bytes = 0;
  for (const entry of counts) {
    const entryBytes =
      Buffer.byteLength(JSON.stringify(entry[0])) + ENTRY_BYTES;
    if (bytes + entryBytes > MAX_COUNTS_BYTES && bytes > 0) {
      parts.push([]);
      bytes = 0;
    }
    parts[parts.length - 1].push(entry);
    bytes += entryBytes;
  }
  // Entries define own properties, also for an account that is named like a property of objects.
  return parts.map(part => Object.fromEntries(part));
}

/** Returns whether a decoded datagram has the fields of a message; anyone can send to the port. */
export function isUsageMessage(message: UsagePeerMessage): boolean {
  if (typeof message.from !== 'string') return false;
  switch (message.kind) {
    case 'usage':
      return (
        isAddressed(message) &&
        Number.isFinite(message.wallMs) &&
        typeof message.counts === 'object' &&
        message.counts !== null &&
        Object.values(message.counts).every(isCount)
      );
    case 'usage-ack':
      return isAddressed(message) && Number.isFinite(message.timeMs);
    case 'usage-done':
      return (
        Array.isArray(message.windowIds) &&
        message.windowIds.length <= MAX_DONE_WINDOWS &&
        message.windowIds.every(isCount) &&
        (message.endOffset === undefined || isCount(message.endOffset)) &&
        isCount(message.era) &&
        isCount(message.fencingNumber)
      );
    default:
      return false;
  }
}

function isAddressed(message: UsageMessage | UsageAckMessage): boolean {
  return (
    typeof message.incarnation === 'string' &&
    isCount(message.windowId) &&
    isCount(message.total)
  );
}
