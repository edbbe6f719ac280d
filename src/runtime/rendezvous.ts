/** Rendezvous hashing: each group weighs its members by itself, alike in every process. */
import {createHash} from 'node:crypto';

/** Returns a member's weight in a group; weights compare as texts. */
export function getRendezvousWeight(group: string, member: string): string {
  return createHash('sha256').update(`${group}\n${member}`).digest('hex');
}
