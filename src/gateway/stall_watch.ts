/** Detects a stalled model engine: one whose answer is overdue and that has not answered any other request recently. */
import type {Clock, Timer} from '../runtime/types';
import type {HealthTracker} from './server_health';

/** Options of a watch. */
export interface StallWatchOptions {
  readonly clock: Clock;
  readonly health: HealthTracker;
  readonly serverId: string;
  /** Predicted time of the answer, in milliseconds. */
  readonly predictedMs: number;
  /** Additional time on top of twice the predicted time, in milliseconds. */
  readonly slackMs: number;
  readonly onStall: () => void;
}

/** Multiple of the predicted time that an answer may take. */
const STALL_FACTOR = 2;
/** Interval between checks of an engine that is late, in milliseconds. */
const STALL_CHECK_MS = 150;

/** Starts a watch, which ends with the callback or when it is cancelled. */
export function watchForStall(options: StallWatchOptions): Timer {
  const {clock, health, serverId} = options;
  let timer = clock.schedule(
    STALL_FACTOR * options.predictedMs + options.slackMs,
    checkEngine,
  );
  return {cancel: () => timer.cancel()};

  /** Gives more time to an engine that still answers other requests, as it is only busier than predicted. */
  function checkEngine(): void {
    if (health.hasRecentResponse(serverId)) {
      timer = clock.schedule(STALL_CHECK_MS, checkEngine);
      return;
    }
    options.onStall();
  }
}
