/**
 * Assigns prompt parts and nodes to engines by rendezvous hashing. Every node
 * computes the same assignment, so that prompts reach the engines that have
 * cached their parts even after the nodes have restarted.
 */
import type {PromptScope} from '../announcements';
import {getRendezvousWeight} from '../runtime/rendezvous';
import type {BackendEntry} from './types';

/** Affinity of prompt parts and nodes to engines. */
export interface EngineAffinity {
  /** Selects the engines that this node considers for a prefill among those of one service and stage. */
  selectConsidered(engines: readonly BackendEntry[]): readonly BackendEntry[];
  /** Returns the id of the part's home engine, the one with the highest weight, or undefined without engines. */
  tryFindHome(
    partId: string,
    engines: readonly BackendEntry[],
  ): string | undefined;
  /** Lists the `count` engines with the highest weights for a node; all of them when there are fewer. */
  listPreferred(
    nodeName: string,
    engines: readonly BackendEntry[],
    count: number,
  ): readonly BackendEntry[];
}

/** Maximum number of memoized weights: several times the number of pairs of a day's parts and the engines of a large fleet. */
const MAX_WEIGHTS = 50_000;

/** Creates an affinity that memoizes the weights; without a scope, the node considers all engines. */
export function createEngineAffinity(
  scope?: Pick<PromptScope, 'selectEngines'>,
): EngineAffinity {
  const weights = new Map<string, string>();
  return {
    selectConsidered: engines => scope?.selectEngines(engines) ?? engines,
    tryFindHome: (partId, engines) => {
      let best: string | undefined;
      let bestWeight = '';
      for (const {id} of engines) {
        const weight = getWeight(partId, id);
        if (weight <= bestWeight) continue;
        best = id;
        bestWeight = weight;
      }
      return best;
    },
    listPreferred: (nodeName, engines, count) => {
      if (engines.length <= count) return engines;
      return engines
        .map(engine => ({engine, weight: getWeight(nodeName, engine.id)}))
        .sort((left, right) => (left.weight < right.weight ? 1 : -1))
        .slice(0, count)
        .map(({engine}) => engine);
    },
  };

  function getWeight(partId: string, serverId: string): string {
    const key = `${partId} ${serverId}`;
    const known = weights.get(key);
    if (known !== undefined) return known;
    if (weights.size >= MAX_WEIGHTS) weights.clear();
    const weight = getRendezvousWeight(partId, serverId);
    weights.set(key, weight);
    return weight;
  }
}
