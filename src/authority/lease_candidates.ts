/** Chooses which nodes contend for a shard's lease. */
import {getRendezvousWeight} from '../runtime';

/** How many nodes contend for one lease. */
const MAX_CANDIDATES = 3;

/**
 * Returns a node's place among a shard's candidates, from 0, or undefined when it is none. Nodes
 * that see different lists may differ: this costs a claim that the fold refuses, nothing else.
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
