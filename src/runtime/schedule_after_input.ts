/** A time-out that does not overtake input which has arrived before it. */
import type {Clock, Timer} from './types';

/**
 * Calls back after `delayMs` milliseconds, and after what has arrived by then is
 * read: a process that was held up runs its timers first.
 */
export function scheduleAfterInput(
  clock: Pick<Clock, 'schedule'>,
  delayMs: number,
  callback: () => void,
): Timer {
  let timer = clock.schedule(delayMs, () => {
    timer = clock.schedule(0, callback);
  });
  return {cancel: () => timer.cancel()};
}
