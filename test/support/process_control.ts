/** A simulated process that can be paused, resumed and killed at any moment of virtual time. */
import type {Clock, Timer} from '../../src/runtime';

/** One process. Its code runs only while it is neither paused nor killed. */
export interface ProcessControl {
  /** The clock that the process's code uses; callbacks are deferred until a pause ends. */
  readonly clock: Clock;
  /** Resolves at once, after the current pause, or never when the process has been killed. */
  waitUntilRunning(): Promise<void>;
  isKilled(): boolean;
  setPause(durationMs: number): void;
  kill(): void;
}

/** Creates a running process on a base clock. */
export function createProcessControl(base: Clock): ProcessControl {
  let pausedUntilMs = 0;
  let isKilled = false;
  let deferred: Array<() => void> = [];
  return {
    clock: {
      getMonotonicMs: base.getMonotonicMs,
      getWallMs: base.getWallMs,
      schedule,
      sleep: delayMs => new Promise(resolve => schedule(delayMs, resolve)),
    },
    waitUntilRunning: () => new Promise(resolve => runWhenRunning(resolve)),
    isKilled: () => isKilled,
    setPause,
    kill: () => {
      isKilled = true;
      deferred = [];
    },
  };

  function schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const timer = base.schedule(delayMs, () =>
      runWhenRunning(() => {
        if (!isCancelled) callback();
      }),
    );
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  function runWhenRunning(callback: () => void): void {
    if (isKilled) return;
    if (base.getMonotonicMs() < pausedUntilMs) deferred.push(callback);
    else callback();
  }

  function setPause(durationMs: number): void {
    const untilMs = base.getMonotonicMs() + durationMs;
    if (untilMs <= pausedUntilMs) return;
    pausedUntilMs = untilMs;
    base.schedule(durationMs, resume);
  }

  function resume(): void {
    if (base.getMonotonicMs() < pausedUntilMs) return;
    const callbacks = deferred;
    deferred = [];
    for (const callback of callbacks) runWhenRunning(callback);
  }
}
