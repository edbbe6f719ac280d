/** Chooses which nodes contend for a shard's lease. */
import {getRendezvousWeight} from '../runtime';

/** How many nodes contend for one lease. */
const CANDIDATES = 3;

/**
 * Returns a node's place among a shard's candidates, from 0, or undefined when it is none. Nodes
 * that see different lists may differ: this costs a claim that the fold refuses, nothing else.
 */
export function tryGetRank(
  shard: string,
  node: string,
  nodes: readonly string[],
): number | undefined {
  if (!nodes.includes(node)) return undefined;
  const own = getRendezvousWeight(shard, node);
  let rank = 0;
  for (const other of nodes) {
    if (other === node) continue;
    if (getRendezvousWeight(shard, other) < own) rank++;
    if (rank >= CANDIDATES) return undefined;
  }
  return rank;
}
