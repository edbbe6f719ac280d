/**
 * Limits which engines a node considers for its prompts, and which nodes are notified of a prompt.
 * A hash of a node's and an engine's name decides whether the node considers the engine; every node
 * computes the same for all pairs, so that a sender knows whose next choice its prompt can change.
 * The number of engines is bounded, and with it the rate at which a node is notified.
 */
import {getRendezvousWeight} from '../runtime/rendezvous';
import {
  computeFraction,
  createEngineCounts,
  type EngineCounts,
} from './scope_fractions';
import type {EngineList, EnginePlace, NodePlace, ScopeSize} from './types';

/** The scope of a node's prompts. */
export interface PromptScope {
  /** Selects the engines that this node considers among usable ones of one service and stage. */
  selectEngines<Engine extends EnginePlace>(
    engines: readonly Engine[],
  ): readonly Engine[];
  /** Selects the nodes that consider an engine; all of them when it is not listed. */
  selectNodes<Node extends NodePlace>(
    serverId: string,
    nodes: readonly Node[],
  ): readonly Node[];
}

/** Options of a scope. */
export interface PromptScopeOptions {
  readonly self: NodePlace;
  readonly engines: EngineList;
  /** Number of other nodes that this node knows. */
  readonly countPeers: () => number;
  readonly size?: ScopeSize;
}

/** Expected number of engines that a node considers; see docs/design/prompt_messages.md for the trials. */
export const DEFAULT_SCOPE_SIZE: ScopeSize = {
  localEngines: 8,
  remoteEngines: 4,
};
/** Minimum number of other nodes in a large fleet, which limits the scope, and in which short prefills, and prefills that end as predicted, are not announced: in smaller ones all nodes are notified of everything at little cost. */
export const MIN_SCOPED_PEERS = 32;
/** Minimum number of engines that a node considers if as many can be used: with fewer, one long queue is most of the choice. */
const MIN_ENGINES = 4;
/** Maximum number of memoized positions: those of the engines that a node considers in a fleet of a thousand nodes, several times over. */
const MAX_POSITIONS = 50_000;
const POSITION_HEX_DIGITS = 8;
const POSITION_RANGE = 16 ** POSITION_HEX_DIGITS;

/** Creates a scope. */
export function createPromptScope(options: PromptScopeOptions): PromptScope {
  const {self, engines: list, size = DEFAULT_SCOPE_SIZE} = options;
  /** Positions of nodes at engines, from 0 to 1, by engine and node. */
  const positions = new Map<string, Map<string, number>>();
  let positionCount = 0;
  const countEngines = createEngineCounts();
  return {selectEngines, selectNodes};

  function selectEngines<Engine extends EnginePlace>(
    engines: readonly Engine[],
  ): readonly Engine[] {
    if (engines.length <= MIN_ENGINES || !isLimited()) return engines;
    const {service, stage} = engines[0];
    const counts = countEngines(list.listUsable(service), stage);
    const ranked = engines.map(engine => ({
      engine,
      rank: computeRank(counts, self, engine),
    }));
    const considered = ranked.filter(({rank}) => rank <= 1);
    if (considered.length < MIN_ENGINES) {
      ranked.sort((left, right) => left.rank - right.rank);
      return ranked.slice(0, MIN_ENGINES).map(({engine}) => engine);
    }
    return considered.map(({engine}) => engine);
  }

  function selectNodes<Node extends NodePlace>(
    serverId: string,
    nodes: readonly Node[],
  ): readonly Node[] {
    const engine = isLimited() ? list.tryGetUsable(serverId) : undefined;
    if (engine === undefined) return nodes;
    const counts = countEngines(list.listUsable(engine.service), engine.stage);
    const fractions = new Map<string, number>();
    return nodes.filter(node => {
      const {failureDomain} = node;
      const fraction =
        fractions.get(failureDomain) ??
        computeFraction(counts, failureDomain, engine.failureDomain, size);
      fractions.set(failureDomain, fraction);
      return fraction >= 1 || getPosition(node.name, engine.id) <= fraction;
    });
  }

  function isLimited(): boolean {
    return options.countPeers() >= MIN_SCOPED_PEERS;
  }

  /** Returns how far the node is from considering the engine; up to 1, it does. */
  function computeRank(
    counts: EngineCounts,
    node: NodePlace,
    engine: EnginePlace,
  ): number {
    const fraction = computeFraction(
      counts,
      node.failureDomain,
      engine.failureDomain,
      size,
    );
    return getPosition(node.name, engine.id) / fraction;
  }

  function getPosition(nodeName: string, engineId: string): number {
    const known = positions.get(engineId)?.get(nodeName);
    if (known !== undefined) return known;
    if (positionCount >= MAX_POSITIONS) {
      positions.clear();
      positionCount = 0;
    }
    const weight = getRendezvousWeight(engineId, nodeName);
    const position =
      Number.parseInt(weight.slice(0, POSITION_HEX_DIGITS), 16) /
      POSITION_RANGE;
    const byNode = positions.get(engineId) ?? new Map<string, number>();
    positions.set(engineId, byNode);
    byNode.set(nodeName, position);
    positionCount++;
    return position;
  }
}
