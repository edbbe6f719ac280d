/**
 * Selects the engines whose load reports a node polls: those it routes to and those it controls.
 */
import type {BackendServer} from '../backends';
import {getRendezvousWeight} from '../runtime';

/** Options of `selectPolledEngines`. */
export interface PolledEnginesOptions {
  readonly node: string;
  readonly servers: readonly BackendServer[];
  /** Returns whether the node controls an engine, and so needs its report. */
  readonly isControlled: (server: BackendServer) => boolean;
}

/** Maximum number of engines that one node routes to. */
const MAX_ROUTED_ENGINES = 32;

/**
 * Returns the ids of all engines of a small fleet. For a large fleet it returns the engines that
 * the node controls and a subset chosen by rendezvous hashing, which spreads the engines evenly
 * over the nodes and changes few subsets when an engine joins or leaves.
 */
export function selectPolledEngines(
  options: PolledEnginesOptions,
): ReadonlySet<string> {
  const engines = options.servers.filter(
    server => server.kind === 'model_engine',
  );
  const controlled = engines.filter(options.isControlled);
  const polled = [...controlled, ...selectRoutedEngines(options.node, engines)];
  return new Set(polled.map(server => server.id));
}

function selectRoutedEngines(
  node: string,
  engines: readonly BackendServer[],
): readonly BackendServer[] {
  if (engines.length <= MAX_ROUTED_ENGINES) return engines;
  return engines
    .map(engine => ({engine, weight: getRendezvousWeight(node, engine.id)}))
    .sort((left, right) => (left.weight > right.weight ? -1 : 1))
    .slice(0, MAX_ROUTED_ENGINES)
    .map(item => item.engine);
}
