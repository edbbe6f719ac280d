/** The requests of an engine model that wait or run, and the KV memory they hold. */
import {countPieces, getContextTokens} from './engine_model_batch';
import {
  compareByPriority,
  type QueuedRequest,
  removePrefillProgress,
} from './engine_model_request';

/** Options of a schedule. */
export interface EngineScheduleOptions {
  readonly maxRunning: number;
  /** KV memory, in pieces. */
  readonly totalPieces: number;
  /** Called when a request enters the batch. */
  readonly onAdmit: (queued: QueuedRequest) => void;
}

/** Waiting and running requests, in order of priority. */
export interface EngineSchedule {
  getRunning(): readonly QueuedRequest[];
  getWaiting(): readonly QueuedRequest[];
  getUsedPieces(): number;
  addWaiting(queued: QueuedRequest): void;
  /** Moves waiting requests into the batch while it has free slots and memory. */
  admitWaiting(): void;
  /**
   * Reserves memory for the next token of each running request. While there is too little,
   * the running request of the lowest priority returns to the queue.
   */
  grantTokenMemory(): void;
  /** Removes a cancelled request from the queue. */
  removeWaiting(queued: QueuedRequest): void;
  /** Removes ended and cancelled requests from the batch; returns those that ended. */
  takeFinished(): readonly QueuedRequest[];
  /** Frees pieces that were held for an export. */
  releasePieces(pieces: number): void;
  /** Removes all requests and returns them. */
  takeAll(): readonly QueuedRequest[];
}

/** Creates an empty schedule. */
export function createEngineSchedule(
  options: EngineScheduleOptions,
): EngineSchedule {
  const {maxRunning, totalPieces} = options;
  let waiting: QueuedRequest[] = [];
  let running: QueuedRequest[] = [];
  let usedPieces = 0;
  return {
    getRunning: () => running,
    getWaiting: () => waiting,
    getUsedPieces: () => usedPieces,
    addWaiting,
    admitWaiting,
    grantTokenMemory,
    removeWaiting: queued => {
      waiting = waiting.filter(item => item !== queued);
    },
    takeFinished,
    releasePieces: pieces => {
      usedPieces -= pieces;
    },
    takeAll,
  };

  function addWaiting(queued: QueuedRequest): void {
    let index = waiting.length;
    while (index > 0 && compareByPriority(queued, waiting[index - 1]) < 0)
      index--;
    waiting.splice(index, 0, queued);
  }

  function admitWaiting(): void {
    let index = 0;
    while (index < waiting.length && running.length < maxRunning) {
      const queued = waiting[index];
      if (queued.isImporting) {
        index++;
        continue;
      }
      const pieces = countPieces(getContextTokens(queued) + 1);
      if (usedPieces + pieces > totalPieces) return;
      waiting.splice(index, 1);
      queued.pieces = pieces;
      usedPieces += pieces;
      options.onAdmit(queued);
      running.push(queued);
      running.sort(compareByPriority);
    }
  }

  function grantTokenMemory(): void {
    for (const queued of [...running]) {
      if (!running.includes(queued)) continue;
      const needed = countPieces(getContextTokens(queued) + 1) - queued.pieces;
      if (needed <= 0) continue;
      while (usedPieces + needed > totalPieces) {
        const last = running[running.length - 1];
        pushBackToWaiting(last);
        if (last === queued) break;
      }
      if (!running.includes(queued)) continue;
      queued.pieces += needed;
      usedPieces += needed;
    }
  }

  function pushBackToWaiting(queued: QueuedRequest): void {
    releaseMemory(queued);
    running = running.filter(item => item !== queued);
    removePrefillProgress(queued);
    addWaiting(queued);
  }

  function releaseMemory(queued: QueuedRequest): void {
    usedPieces -= queued.pieces;
    queued.pieces = 0;
  }

  function takeFinished(): readonly QueuedRequest[] {
    const finished = running.filter(
      queued => queued.generated >= queued.lastToken && !queued.isCancelled,
    );
    for (const queued of running) {
      // The pieces of a prefilled request stay in use until its KV cache is exported.
      const isHeld = !queued.isCancelled && queued.request.phase === 'prefill';
      if (isRunning(queued) || isHeld) continue;
      releaseMemory(queued);
    }
    running = running.filter(isRunning);
    return finished;
  }

  function takeAll(): readonly QueuedRequest[] {
    const all = [...running, ...waiting];
    running = [];
    waiting = [];
    usedPieces = 0;
    return all;
  }
}

function isRunning(queued: QueuedRequest): boolean {
  return queued.generated < queued.lastToken && !queued.isCancelled;
}
