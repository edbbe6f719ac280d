/** Selects the engines that a node reads the reports of: to route to them, or to command them. */
import type {BackendServer} from '../backends';
import {getRendezvousWeight} from '../runtime';

/** Options of `selectPolledEngines`. */
export interface PolledEnginesOptions {
  readonly node: string;
  readonly servers: readonly BackendServer[];
  /** Returns whether the node controls an engine, and so needs its report. */
  readonly isControlled: (server: BackendServer) => boolean;
}

/** Most engines that one node routes to. */
const MAX_ROUTED_ENGINES = 32;

/**
 * Returns all engines of a small fleet. Of a large one it returns those that the node
 * controls and its own subset by rendezvous hashing: engines are spread evenly over
 * nodes, and a change of the fleet changes few subsets.
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
