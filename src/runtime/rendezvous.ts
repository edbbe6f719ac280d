/** Rendezvous hashing: every process computes the same ranking of members for a group. */
import {createHash} from 'node:crypto';

/** Returns the weight of a member in a group as a hexadecimal SHA-256; weights are compared as strings. */
export function getRendezvousWeight(group: string, member: string): string {
  return createHash('sha256').update(`${group}\n${member}`).digest('hex');
}
