/** Computes which fraction of a failure domain's engines the nodes of another one consider. */
import type {EnginePlace, ScopeSize} from './types';

/** Number of engines of one service and stage by failure domain. */
export type EngineCounts = ReadonlyMap<string, number>;

/** Counts the engines of a stage in each failure domain. */
export function countEngines(
  engines: readonly EnginePlace[],
  stage: string | undefined,
): EngineCounts {
  const counts = new Map<string, number>();
  for (const engine of engines) {
    if (engine.stage !== stage) continue;
    const {failureDomain} = engine;
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return counts;
}

/**
 * Returns the fraction of the engines in `engineDomain` that a node in `nodeDomain` considers, and
 * thus the fraction of those nodes that are notified of a prompt there. What the node's own failure
 * domain lacks is made up for by the others.
 */
export function computeFraction(
  counts: EngineCounts,
  nodeDomain: string,
  engineDomain: string,
  size: ScopeSize,
): number {
  const localCount = counts.get(nodeDomain) ?? 0;
  if (nodeDomain === engineDomain) {
    return Math.min(1, size.localEngines / Math.max(1, localCount));
  }
  let total = 0;
  for (const count of counts.values()) total += count;
  const lacking = Math.max(0, size.localEngines - localCount);
  return Math.min(
    1,
    (size.remoteEngines + lacking) / Math.max(1, total - localCount),
  );
}
