/** How often a node reads the VM list, so that the nodes together read it often enough. */

/** Time between two reads by all nodes together, in milliseconds, at equal spacing. */
const SHARED_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 60_000;

/**
 * Returns the time until this node's next read, in milliseconds. Who reads first that a server
 * leaves tells the others, so each reads less often the more nodes there are.
 * `random` is from 0 up to and without 1 and spreads the nodes' reads.
 */
export function computeListIntervalMs(
  minIntervalMs: number,
  nodeCount: number,
  random: number,
): number {
  const sharedMs = Math.min(MAX_INTERVAL_MS, nodeCount * SHARED_INTERVAL_MS);
  const spreadMs = sharedMs * (0.5 + random);
  return nodeCount === 1 ? minIntervalMs : Math.max(minIntervalMs, spreadMs);
}
