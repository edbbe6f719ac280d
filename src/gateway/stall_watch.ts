/** Notices a model engine that is late with an answer and has not answered anyone lately either. */
import type {Clock, Timer} from '../runtime/types';
import type {HealthTracker} from './server_health';

/** Options of a watch. */
export interface StallWatchOptions {
  readonly clock: Clock;
  readonly health: HealthTracker;
  readonly serverId: string;
  /** Predicted time of the answer, in milliseconds. */
  readonly predictedMs: number;
  /** Time beyond twice the predicted one, in milliseconds. */
  readonly slackMs: number;
  readonly onStall: () => void;
}

/** How many times longer than predicted an answer may take. */
const STALL_FACTOR = 2;
/** Interval of looking again at an engine that is late, in milliseconds. */
const STALL_CHECK_MS = 150;

/** Starts a watch; it ends with the call back or when it is cancelled. */
export function watchForStall(options: StallWatchOptions): Timer {
  const {clock, health, serverId} = options;
  let timer = clock.schedule(
    STALL_FACTOR * options.predictedMs + options.slackMs,
    checkEngine,
  );
  return {cancel: () => timer.cancel()};

  /** An engine that answers others is busy beyond what is known, and gets more time. */
  function checkEngine(): void {
    if (health.hasRecentResponse(serverId)) {
      timer = clock.schedule(STALL_CHECK_MS, checkEngine);
      return;
    }
    options.onStall();
  }
}
