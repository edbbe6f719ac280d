/** Answer times of plain services by route, and this node's open requests to their servers. */
import type {Clock} from '../runtime/types';

/** Answer times and open requests. */
export interface ServiceTimes {
  /** Returns the usual answer time of a route's requests, in milliseconds. */
  getAnswerMs(service: string, route: string): number;
  /** Records an answer time, in milliseconds. */
  recordAnswer(service: string, route: string, answerMs: number): void;
  /** Number of this node's requests that the server has not answered yet. */
  countOpen(serverId: string): number;
  /** Estimates the open requests of all nodes. */
  estimateFleetOpen(serverId: string): number;
  recordStart(serverId: string): void;
  recordEnd(serverId: string): void;
  remove(serverId: string): void;
}

interface OpenRequests {
  count: number;
  /** Moving average of the count over time. */
  mean: number;
  updatedAtMs: number;
}

interface AnswerTime {
  medianMs: number;
  samples: number;
}

/** Answer time assumed without samples, in milliseconds: that of an ordinary small request. */
const ASSUMED_ANSWER_MS = 40;
/** Relative step of the running median with each answer, and during the first answers. */
const MEDIAN_STEP = 0.02;
const FIRST_STEP = 0.1;
const FIRST_SAMPLES = 20;
/** Time constant of the mean number of open requests, in milliseconds: many answers at a few requests a second. */
const MEAN_TIME_MS = 2_000;

/** Creates times without samples. */
export function createServiceTimes(options: {
  readonly clock: Clock;
  /** Number of other nodes, whose callers are taken to be as many as this node's. */
  readonly countPeers: () => number;
}): ServiceTimes {
  const answers = new Map<string, AnswerTime>();
  const open = new Map<string, OpenRequests>();
  return {
    getAnswerMs: (service, route) =>
      answers.get(formatKey(service, route))?.medianMs ?? ASSUMED_ANSWER_MS,
    recordAnswer,
    countOpen: serverId => open.get(serverId)?.count ?? 0,
    estimateFleetOpen: serverId => {
      const {count, mean} = computeOpen(serverId);
      return count + options.countPeers() * mean;
    },
    recordStart: serverId => {
      updateOpen(serverId, 1);
    },
    recordEnd: serverId => {
      updateOpen(serverId, -1);
    },
    remove: serverId => {
      open.delete(serverId);
    },
  };

  /** Moves the running median by a step towards the answer, however far the answer deviates. */
  function recordAnswer(
    service: string,
    route: string,
    answerMs: number,
  ): void {
    const key = formatKey(service, route);
    const time = answers.get(key);
    if (time === undefined) {
      answers.set(key, {medianMs: Math.max(1, answerMs), samples: 1});
      return;
    }
    const step = time.samples < FIRST_SAMPLES ? FIRST_STEP : MEDIAN_STEP;
    time.samples++;
    if (answerMs > time.medianMs) time.medianMs *= 1 + step;
    else if (answerMs < time.medianMs) time.medianMs /= 1 + step;
  }

  /** Returns the open requests with the mean up to now. */
  function computeOpen(serverId: string): OpenRequests {
    const nowMs = options.clock.getMonotonicMs();
    const {count, mean, updatedAtMs} = open.get(serverId) ?? {
      count: 0,
      mean: 0,
      updatedAtMs: nowMs,
    };
    const weight = 1 - Math.exp((updatedAtMs - nowMs) / MEAN_TIME_MS);
    return {count, mean: mean + weight * (count - mean), updatedAtMs: nowMs};
  }

  function updateOpen(serverId: string, change: number): void {
    const requests = computeOpen(serverId);
    requests.count = Math.max(0, requests.count + change);
    open.set(serverId, requests);
  }
}

function formatKey(service: string, route: string): string {
  return `${service} ${route}`;
}
