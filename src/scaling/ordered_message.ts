/** Checks messages about ordered servers. */
import {isCount} from '../runtime/is_count';
import type {OrderedServers} from './types';

/** Returns whether a message is well formed: anyone can send datagrams. */
export function isOrderedServers(message: OrderedServers): boolean {
  return (
    typeof message.from === 'string' &&
    typeof message.service === 'string' &&
    isCount(message.fencingNumber) &&
    Array.isArray(message.domains) &&
    message.domains.every(
      item =>
        typeof item?.failureDomain === 'string' &&
        isCount(item.wanted) &&
        isCount(item.ordinary ?? 0) &&
        isCount(item.reclaimable ?? 0),
    )
  );
}
