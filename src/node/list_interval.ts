/**
 * Computes how often a node reads the VM list, so that the rate over all nodes stays about
 * constant.
 */

/** Mean time between two reads by any of the nodes, in milliseconds. */
const SHARED_INTERVAL_MS = 100;
const MAX_INTERVAL_MS = 60_000;

/**
 * Returns the time until this node's next read, in milliseconds. The first node that reads that a
 * server is leaving tells its peers, so each node reads less often as their number grows.
 * `random` is in [0, 1); it spreads the reads between half and one and a half times the interval.
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
