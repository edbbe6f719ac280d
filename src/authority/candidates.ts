/** Chooses the nodes that may claim a shard's lease, by rendezvous hashing. */
import {getRendezvousWeight} from '../runtime';

/** Number of candidates for one lease. */
const MAX_CANDIDATES = 3;

/**
 * Returns a node's rank among the candidates for a shard's lease, starting at 0, or undefined when
 * it is not a candidate. Nodes with different node lists may compute different ranks; the only
 * effect is an additional claim, which the fold of the control stream rejects.
 */
export function tryGetCandidateRank(
  shard: string,
  node: string,
  nodes: readonly string[],
): number | undefined {
  if (!nodes.includes(node)) return undefined;
  const ownWeight = getRendezvousWeight(shard, node);
  let rank = 0;
  for (const peer of nodes) {
    if (peer === node) continue;
    if (getRendezvousWeight(shard, peer) < ownWeight) rank++;
    if (rank >= MAX_CANDIDATES) return undefined;
  }
  return rank;
}
