/** Selects the engines that a node reads the reports of, and so routes to. */
import {createHash} from 'node:crypto';
import type {BackendServer} from '../backends';

/** Most engines that one node reads the reports of. */
const MAX_POLLED_ENGINES = 128;
/** Length of the compared part of a hash, in bytes: fits a number exactly. */
const SCORE_BYTES = 6;

/**
 * Returns all engines of a small fleet, and of a large one the node's own subset by
 * rendezvous hashing: engines are spread evenly over nodes, and a change of the fleet
 * changes few subsets.
 */
export function selectPolledEngines(
  node: string,
  servers: readonly BackendServer[],
): ReadonlySet<string> {
  const engines = servers
    .filter(server => server.kind === 'model_engine')
    .map(server => server.id);
  if (engines.length <= MAX_POLLED_ENGINES) return new Set(engines);
  const scored = engines
    .map(engine => ({engine, score: computeScore(node, engine)}))
    .sort((left, right) => right.score - left.score)
    .slice(0, MAX_POLLED_ENGINES);
  return new Set(scored.map(item => item.engine));
}

function computeScore(node: string, engine: string): number {
  return createHash('sha256')
    .update(`${node}\n${engine}`)
    .digest()
    .readUIntBE(0, SCORE_BYTES);
}
