/** Chooses a server of a plain service: few open requests, quick answers, close by. */
import {computePathMs, type PathView} from './path_costs';
import type {BackendEntry} from './types';

/** What is known of a server of a plain service. */
export interface ServiceLoad {
  /** Requests of this node that it has not answered. */
  readonly openCount: number;
  /** Average time of its answers, in milliseconds. */
  readonly answerMs: number;
}

/** Part of the score that chance decides, so that nodes do not all choose alike. */
const RANDOM_FRACTION = 0.2;

/** Returns the server with the least predicted time, or undefined when there is none. */
export function tryChooseServer(
  servers: readonly BackendEntry[],
  getLoad: (serverId: string) => ServiceLoad,
  path: PathView,
  getRandom: () => number,
): BackendEntry | undefined {
  let best: BackendEntry | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const server of servers) {
    const {openCount, answerMs} = getLoad(server.id);
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
