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
    const {openCount, answerMs} = getLoad(server);
    const queueMs = (openCount * answerMs) / Math.max(1, server.maxRunning);
    const score =
      answerMs * (1 + RANDOM_FRACTION * getRandom()) +
      queueMs +
      computePathMs(server, path);
    if (score >= bestScore) continue;
    best = server;
    bestScore = score;
  }
  return best;
}
