/**
 * Gives each shared part of a prompt a home among the engines, alike on all
 * nodes, so that prompts find their parts after a restart of the nodes.
 */
import {getRendezvousWeight} from '../runtime/rendezvous';
import type {BackendEntry} from './types';

/** Homes of parts. */
export interface EngineAffinity {
  /** Returns the id of the engine with the highest weight for a part. */
  tryFindHome(
    partId: string,
    engines: readonly BackendEntry[],
  ): string | undefined;
  /** Lists the engines with the highest weights for a node, at most `count`. */
  listPreferred(
    nodeName: string,
    engines: readonly BackendEntry[],
    count: number,
  ): readonly BackendEntry[];
}

/** Most weights that are kept; some times the parts of a day over the engines of a large fleet. */
const MAX_WEIGHTS = 50_000;

/** Creates homes that keep the weights they have computed. */
export function createEngineAffinity(): EngineAffinity {
  const weights = new Map<string, string>();
  return {
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
