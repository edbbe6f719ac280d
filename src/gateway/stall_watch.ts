/**
 * Watches a call to a model engine whose answer may become overdue. The
 * prediction of this node only says when to ask: a fresh node does not know the
 * queues that the other nodes fill. The engine's report, or its failure to give
 * one, decides.
 */
import type {Clock, Timer} from '../runtime/types';
import {
  type EngineLiveness,
  Liveness,
  type LivenessCheck,
} from './engine_liveness';
import type {HealthTracker} from './server_health';
import type {BackendEntry, CallFailure} from './types';

/** Why a call should be given up. */
export type StallReason = Extract<
  CallFailure['reason'],
  'stalled' | 'late' | 'moved'
>;

/** Options of a watch. */
export interface StallWatchOptions {
  readonly clock: Clock;
  readonly health: Pick<HealthTracker, 'hasRecentResponse'>;
  readonly liveness: Pick<EngineLiveness, 'check' | 'hasCompletedSince'>;
  readonly server: BackendEntry;
  /** Predicted time of the answer, in milliseconds. */
  readonly predictedMs: number;
  /** Predicted time if the engine has nothing cached, in milliseconds: what an engine has cached is only assumed. */
  readonly uncachedMs: number;
  /** Additional time on top of twice the predicted time, in milliseconds. */
  readonly slackMs: number;
  /** Returns how much later another engine could still start in time for the caller, in milliseconds. */
  readonly getSpareMs: () => number;
  /** Called when the engine has stated that it lives. */
  readonly onAlive?: (check: LivenessCheck) => void;
  /** Called once, after which the watch has ended. */
  readonly onStall: (reason: StallReason) => void;
}

/** Multiple of the predicted time that an answer may take before the engine is asked. */
const STALL_FACTOR = 2;
/** Interval between checks of an engine that is late but answers other calls, or cannot be asked, in milliseconds. */
const CHECK_MS = 150;
/** Interval after the first report of an engine, in milliseconds; it grows by the factor with each report up to the maximum, so that an engine that dies meanwhile is still left within about a second. */
const FIRST_INTERVAL_MS = 500;
const INTERVAL_FACTOR = 1.5;
const MAX_INTERVAL_MS = 1_000;
/** An engine that answers questions but has not completed a call of this node for this multiple of the predicted time without caches plus the slack, in milliseconds, may hang. */
const LATE_FACTOR = 4;
const LATE_SLACK_MS = 1_000;
/** A call to an engine that cannot be asked is moved when the caller's spare time falls below this, in milliseconds. */
const MOVE_MARGIN_MS = 150;

/** Starts a watch, which ends with `onStall` or when it is cancelled. */
export function watchForStall(options: StallWatchOptions): Timer {
  const {clock, health, liveness, server, predictedMs} = options;
  const startedAtMs = clock.getMonotonicMs();
  const lateAtMs =
    startedAtMs +
    LATE_FACTOR * Math.max(predictedMs, options.uncachedMs) +
    LATE_SLACK_MS;
  let intervalMs = FIRST_INTERVAL_MS;
  let isOver = false;
  let timer = clock.schedule(
    STALL_FACTOR * predictedMs + options.slackMs,
    checkEngine,
  );
  return {
    cancel: () => {
      isOver = true;
      timer.cancel();
    },
  };

  function checkEngine(): void {
    if (!isLate() && health.hasRecentResponse(server.id)) {
      scheduleCheck(CHECK_MS);
      return;
    }
    void liveness.check(server).then(check => {
      if (!isOver) handleCheck(check);
    });
  }

  function handleCheck(check: LivenessCheck): void {
    switch (check.state) {
      case Liveness.Alive:
        if (isLate()) {
          stopWatch('late');
          return;
        }
        options.onAlive?.(check);
        scheduleCheck(computeDelay(intervalMs));
        intervalMs = Math.min(MAX_INTERVAL_MS, INTERVAL_FACTOR * intervalMs);
        return;
      case Liveness.Silent:
        stopWatch('stalled');
        return;
      case Liveness.Replaced:
        stopWatch('moved');
        return;
      case Liveness.Unknown: {
        const spareMs = options.getSpareMs();
        if (spareMs > 0 && spareMs <= MOVE_MARGIN_MS) stopWatch('moved');
        else scheduleCheck(computeRecheckMs(spareMs));
        return;
      }
    }
  }

  function isLate(): boolean {
    return (
      clock.getMonotonicMs() >= lateAtMs &&
      !liveness.hasCompletedSince(server.id, startedAtMs)
    );
  }

  /** Shortens a delay that would pass the late limit: a check up to a second after it left callers no time for another engine. */
  function computeDelay(delayMs: number): number {
    const untilLateMs = lateAtMs - clock.getMonotonicMs();
    return untilLateMs > 0 ? Math.min(delayMs, untilLateMs) : delayMs;
  }

  /** Returns the time to the next check of an engine that cannot be asked: the last one comes just in time to move the call. */
  function computeRecheckMs(spareMs: number): number {
    if (spareMs <= MOVE_MARGIN_MS) return CHECK_MS;
    return Math.min(CHECK_MS, spareMs - MOVE_MARGIN_MS);
  }

  function scheduleCheck(delayMs: number): void {
    timer = clock.schedule(delayMs, checkEngine);
  }

  function stopWatch(reason: StallReason): void {
    isOver = true;
    options.onStall(reason);
  }
}
