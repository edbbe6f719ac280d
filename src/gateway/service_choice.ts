/** Chooses a server of a plain service by its open requests, answer times and network path. */
import {computePathMs, type PathView} from './path_costs';
import type {BackendEntry} from './types';

/** Load of one server of a plain service as seen by this node. */
export interface ServiceLoad {
  /** Number of this node's requests that the server has not answered yet. */
  readonly openCount: number;
  /** Predicted answer time with one more request, in milliseconds. */
  readonly answerMs: number;
}

/** Random addition to the answer time, as a fraction of it at most, so that the nodes do not all choose the same server. */
const RANDOM_FRACTION = 0.2;

/** Returns the server with the lowest predicted time, or undefined when the list is empty. */
export function tryChooseServer(
  servers: readonly BackendEntry[],
  getLoad: (server: BackendEntry) => ServiceLoad,
  path: PathView,
  getRandom: () => number,
): BackendEntry | undefined {
  let best: BackendEntry | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const server of servers) {
    const score = computeScore(server, getLoad(server), path, getRandom());
    if (score >= bestScore) continue;
    best = server;
    bestScore = score;
  }
  return best;
}

/** A server with the range of its score, in milliseconds; lower is better. */
export interface ScoredServer {
  readonly server: BackendEntry;
  readonly load: ServiceLoad;
  readonly minScore: number;
  /** The score stays below this. */
  readonly maxScore: number;
}

/** Returns the servers with the ranges of their scores. */
export function listScoredServers(
  servers: readonly BackendEntry[],
  getLoad: (server: BackendEntry) => ServiceLoad,
  path: PathView,
): readonly ScoredServer[] {
  return servers.map(server => {
    const load = getLoad(server);
    return {
      server,
      load,
      minScore: computeScore(server, load, path, 0),
      maxScore: computeScore(server, load, path, 1),
    };
  });
}

/** Lists the servers that `tryChooseServer` may return. */
export function listPossibleServers(
  servers: readonly ScoredServer[],
): readonly ScoredServer[] {
  const limit = Math.min(...servers.map(server => server.maxScore));
  return servers.filter(({minScore}) => minScore < limit);
}

function computeScore(
  server: BackendEntry,
  {openCount, answerMs}: ServiceLoad,
  path: PathView,
  chance: number,
): number {
  const queueMs = (openCount * answerMs) / Math.max(1, server.maxRunning);
  return (
    answerMs * (1 + RANDOM_FRACTION * chance) +
    queueMs +
    computePathMs(server, path)
  );
}
