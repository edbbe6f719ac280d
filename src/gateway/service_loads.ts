/** Tracks the open requests and answer times of the servers of plain services. */
import type {ServiceLoad} from './service_choice';

/** Loads by server. */
export interface ServiceLoads {
  get(serverId: string): ServiceLoad;
  recordStart(serverId: string): void;
  /** Records the end of a request; `answerMs` is its answer time, absent when it was not answered. */
  recordEnd(serverId: string, answerMs?: number): void;
  remove(serverId: string): void;
}

/** Answer time assumed for a server without samples, in milliseconds: that of an ordinary small request. */
const ASSUMED_ANSWER_MS = 40;
/** Weight of the newest answer in the moving average. */
const NEWEST_WEIGHT = 0.1;

/** Creates loads without any servers. */
export function createServiceLoads(): ServiceLoads {
  const loads = new Map<string, {openCount: number; answerMs: number}>();
  return {
    get: getLoad,
    recordStart: serverId => {
      getLoad(serverId).openCount++;
    },
    recordEnd: (serverId, answerMs) => {
      const load = getLoad(serverId);
      load.openCount = Math.max(0, load.openCount - 1);
      if (answerMs === undefined) return;
      load.answerMs += NEWEST_WEIGHT * (answerMs - load.answerMs);
    },
    remove: serverId => {
      loads.delete(serverId);
    },
  };

  function getLoad(serverId: string): {openCount: number; answerMs: number} {
    const known = loads.get(serverId);
    if (known !== undefined) return known;
    const created = {openCount: 0, answerMs: ASSUMED_ANSWER_MS};
    loads.set(serverId, created);
    return created;
  }
}
