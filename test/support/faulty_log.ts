/** A log whose appends can be lost before or after they take effect, or take effect late. */
import {Err} from 'ts-results';
import {type LogService, PlatformFailureKind} from '../../src/control_services';
import type {Clock} from '../../src/runtime';

export type AppendFault =
  /** The append takes effect, but its answer is lost. */
  | {readonly kind: 'lost-answer'}
  /** The append never reaches the log. */
  | {readonly kind: 'lost-request'}
  /** The append takes effect `delayMs` after the caller's timeout. */
  | {readonly kind: 'late'; readonly delayMs: number};

const APPEND_TIMEOUT_MS = 100;

/** Wraps a log; `takeFault` returns the fault of each append, or undefined for none. */
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
