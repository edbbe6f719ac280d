/** Computes which fraction of a failure domain's engines the nodes of another one consider. */
import type {EnginePlace, ScopeSize} from './types';

/** Number of engines of one service and stage by failure domain. */
export type EngineCounts = ReadonlyMap<string, number>;

/** Returns the engines of a stage by failure domain. */
export type CountEngines = (
  engines: readonly EnginePlace[],
  stage: string | undefined,
) => EngineCounts;

/** Creates a function that counts each list of engines once: a list is replaced when an engine changes, and every message about a prompt asks for its counts. */
export function createEngineCounts(): CountEngines {
  const known = new WeakMap<
    readonly EnginePlace[],
    ReadonlyMap<string | undefined, EngineCounts>
  >();
  return (engines, stage) => {
    const byStage = known.get(engines) ?? countEngines(engines);
    known.set(engines, byStage);
    return byStage.get(stage) ?? NO_ENGINES;
  };
}

const NO_ENGINES: EngineCounts = new Map();

function countEngines(
  engines: readonly EnginePlace[],
): ReadonlyMap<string | undefined, EngineCounts> {
  const byStage = new Map<string | undefined, Map<string, number>>();
  for (const {stage, failureDomain} of engines) {
    const counts = byStage.get(stage) ?? new Map<string, number>();
    byStage.set(stage, counts);
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return byStage;
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
