/** Chooses which nodes contend for a shard's lease. */
import {createHash} from 'node:crypto';

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
  const own = getWeight(shard, node);
  let rank = 0;
  for (const other of nodes) {
    if (other === node) continue;
    if (getWeight(shard, other) < own) rank++;
    if (rank >= CANDIDATES) return undefined;
  }
  return rank;
}

function getWeight(shard: string, node: string): string {
  return createHash('sha256').update(`${shard}\n${node}`).digest('hex');
}
