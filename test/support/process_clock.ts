/** Clock of one simulated process: it can run fast or slow, and the process can be paused. */
import type {Clock, Timer} from '../../src/runtime';

export interface ProcessClock extends Clock {
  /** While paused, callbacks are deferred; the clock keeps running. */
  setPaused(isPaused: boolean): void;
}

export interface ProcessClockOptions {
  readonly base: Clock;
  /** Speed relative to the base clock; 1 by default. */
  readonly rate?: number;
}

export function createProcessClock(options: ProcessClockOptions): ProcessClock {
  const {base} = options;
  const rate = options.rate ?? 1;
  let isPaused = false;
  let deferred: Array<() => void> = [];
  return {
    getMonotonicMs: () => base.getMonotonicMs() * rate,
    getWallMs: base.getWallMs,
    schedule,
    sleep: delayMs => new Promise(resolve => schedule(delayMs, resolve)),
    setPaused,
  };

  function schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const timer = base.schedule(delayMs / rate, () => {
      if (isPaused) deferred.push(run);
      else run();
    });
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };

    function run(): void {
      if (!isCancelled) callback();
    }
  }

  function setPaused(value: boolean): void {
    isPaused = value;
    if (isPaused) return;
    const callbacks = deferred;
    deferred = [];
    for (const callback of callbacks) base.schedule(0, callback);
  }
}
