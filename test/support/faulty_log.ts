/** A log whose appends can be lost before or after they take effect, or land late. */
import {Err} from 'ts-results';
import {type LogService, PlatformFailureKind} from '../../src/control_services';
import type {Clock} from '../../src/runtime';

export type AppendFault =
  /** Takes effect, and the answer is lost. */
  | {readonly kind: 'lost-answer'}
  /** Never reaches the log, and no answer comes. */
  | {readonly kind: 'lost-request'}
  /** Takes effect `delayMs` after the caller gave up. */
  | {readonly kind: 'late'; readonly delayMs: number};

const APPEND_TIMEOUT_MS = 100;

/** Returns the log with `takeFault` asked before each append. */
export function createFaultyLog(
  log: LogService,
  clock: Clock,
  takeFault: (stream: string) => AppendFault | undefined,
): LogService {
  return {append, read: log.read};

  async function append(
    stream: string,
    body: string,
  ): ReturnType<LogService['append']> {
    const fault = takeFault(stream);
    if (fault === undefined) return log.append(stream, body);
    if (fault.kind === 'lost-answer') await log.append(stream, body);
    if (fault.kind === 'late') {
      clock.schedule(APPEND_TIMEOUT_MS + fault.delayMs, () => {
        void log.append(stream, body);
      });
    }
    await clock.sleep(APPEND_TIMEOUT_MS);
    return Err({
      kind: PlatformFailureKind.Timeout,
      mayHaveTakenEffect: true,
      message: 'no answer in time',
    });
  }
}
