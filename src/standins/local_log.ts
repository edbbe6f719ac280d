/** A `LogService` on a log model in the same process, for tests and replays. */
import {Err, Ok, type Result} from 'ts-results';
import {
  type LogPage,
  type LogReadOptions,
  type LogService,
  type PlatformFailure,
  PlatformFailureKind,
} from '../control_services';
import type {Clock} from '../runtime';
import type {LogModel} from './log_model';

/** Options of the local log. */
export interface LocalLogOptions {
  readonly model: LogModel;
  readonly clock: Clock;
  /** One-way network latency to the log, in milliseconds. */
  readonly oneWayMs?: number;
  /** Returns false while this process is cut off from the log. */
  readonly isReachable?: () => boolean;
  /** Time until a call without an answer fails, in milliseconds, in addition to a read's `waitMs`. */
  readonly timeoutMs?: number;
}

const DEFAULT_ONE_WAY_MS = 1;
const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_MAX_RECORDS = 1_000;

/** Creates the log client of one process. */
export function createLocalLog(options: LocalLogOptions): LogService {
  const {model, clock} = options;
  const oneWayMs = options.oneWayMs ?? DEFAULT_ONE_WAY_MS;
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const isReachable = options.isReachable ?? (() => true);
  return {append, read};

  async function append(
    stream: string,
    body: string,
  ): Promise<Result<number, PlatformFailure>> {
    await clock.sleep(oneWayMs + model.getDelayMs());
    if (!isReachable()) return failAfterTimeout(true);
    const answer = model.append(stream, body);
    if (answer === 'down') return Err(createUnavailable());
    if (answer === 'throttled') return Err(createThrottled());
    if (model.takeLostReply()) return failAfterTimeout(true);
    await clock.sleep(oneWayMs);
    if (!isReachable()) return failAfterTimeout(true);
    return Ok(answer);
  }

  async function read(
    stream: string,
    fromOffset: number,
    readOptions: LogReadOptions = {},
  ): Promise<Result<LogPage, PlatformFailure>> {
    await clock.sleep(oneWayMs + model.getDelayMs());
    if (!isReachable()) return failAfterTimeout(false);
    const waitMs = readOptions.waitMs ?? 0;
    await new Promise<void>(resolve =>
      model.waitForRecord(stream, fromOffset, waitMs, resolve),
    );
    const answer = model.read(
      stream,
      fromOffset,
      readOptions.maxRecords ?? DEFAULT_MAX_RECORDS,
    );
    await clock.sleep(oneWayMs);
    if (!isReachable()) return failAfterTimeout(false);
    if (answer === 'down') return Err(createUnavailable());
    if ('records' in answer) return Ok(answer);
    return Err({
      kind: PlatformFailureKind.Expired,
      mayHaveTakenEffect: false,
      message: 'the requested records have expired',
      firstOffset: answer.firstOffset,
    });
  }

  async function failAfterTimeout(
    mayHaveTakenEffect: boolean,
  ): Promise<Err<PlatformFailure>> {
    await clock.sleep(timeoutMs);
    return Err({
      kind: PlatformFailureKind.Timeout,
      mayHaveTakenEffect,
      message: 'no answer in time',
    });
  }
}

function createUnavailable(): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    mayHaveTakenEffect: false,
    message: 'the log is unavailable',
  };
}

function createThrottled(): PlatformFailure {
  return {
    kind: PlatformFailureKind.Throttled,
    mayHaveTakenEffect: false,
    message: 'too many appends',
  };
}
