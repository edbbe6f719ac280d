/** Stand-in for the platform's log, in memory and with fault injection. */
import type {LogPage, LogRecord} from '../control_services';
import type {Clock, Timer} from '../runtime';

/** Options of the log. */
export interface LogModelOptions {
  readonly clock: Clock;
  /** How long a record is kept, in milliseconds. */
  readonly retentionMs?: number;
  /** Appends accepted per second; further ones are throttled. */
  readonly appendsPerS?: number;
}

/** A log of streams, with fault injection. */
export interface LogModel {
  /** Returns the record's offset, or why the append was rejected. */
  append(stream: string, body: string): number | 'down' | 'throttled';
  /** Returns the page, `down`, or only the first offset when the requested records have expired. */
  read(
    stream: string,
    fromOffset: number,
    maxRecords: number,
  ): LogPage | 'down' | {readonly firstOffset: number};
  /** Calls back at once when the stream has a record at `fromOffset`; else at its next append, an outage, or after `waitMs`. */
  waitForRecord(
    stream: string,
    fromOffset: number,
    waitMs: number,
    callback: () => void,
  ): void;
  setDown(isDown: boolean): void;
  /** The next `count` appends take effect, but their answers are lost. */
  loseReplies(count: number): void;
  /** Returns whether the answer to the append just made is to be lost. */
  takeLostReply(): boolean;
  /** Sets the delay added to every answer, in milliseconds. */
  setDelay(delayMs: number): void;
  getDelayMs(): number;
  /** Drops the records of a stream below `offset`. */
  trim(stream: string, offset: number): void;
  getAppendCount(): number;
}

interface Stream {
  firstOffset: number;
  records: LogRecord[];
  readonly waiters: Set<() => void>;
}

const DEFAULT_RETENTION_MS = 24 * 3_600_000;
const DEFAULT_APPENDS_PER_S = 400;

/** Creates an empty log. */
export function createLogModel(options: LogModelOptions): LogModel {
  const {clock} = options;
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
  const appendsPerS = options.appendsPerS ?? DEFAULT_APPENDS_PER_S;
  const streams = new Map<string, Stream>();
  let isDown = false;
  let lostReplies = 0;
  let delayMs = 0;
  let appendCount = 0;
  let allowance = appendsPerS;
  let allowanceAtMs = clock.getMonotonicMs();
  return {
    append,
    read,
    waitForRecord,
    setDown,
    loseReplies: count => {
      lostReplies += count;
    },
    takeLostReply,
    setDelay: value => {
      delayMs = value;
    },
    getDelayMs: () => delayMs,
    trim,
    getAppendCount: () => appendCount,
  };

  function getStream(name: string): Stream {
    let stream = streams.get(name);
    if (stream === undefined) {
      stream = {firstOffset: 0, records: [], waiters: new Set()};
      streams.set(name, stream);
    }
    return stream;
  }

  function append(name: string, body: string): number | 'down' | 'throttled' {
    if (isDown) return 'down';
    if (!takeAllowance()) return 'throttled';
    const stream = getStream(name);
    const offset = stream.firstOffset + stream.records.length;
    stream.records.push({offset, appendedAtMs: clock.getWallMs(), body});
    appendCount++;
    expireRecords(stream);
    const waiters = [...stream.waiters];
    stream.waiters.clear();
    for (const wake of waiters) wake();
    return offset;
  }

  function takeAllowance(): boolean {
    const nowMs = clock.getMonotonicMs();
    const refill = ((nowMs - allowanceAtMs) / 1_000) * appendsPerS;
    allowance = Math.min(appendsPerS, allowance + refill);
    allowanceAtMs = nowMs;
    if (allowance < 1) return false;
    allowance--;
    return true;
  }

  function expireRecords(stream: Stream): void {
    const horizonMs = clock.getWallMs() - retentionMs;
    let expired = 0;
    while (
      expired < stream.records.length &&
      stream.records[expired].appendedAtMs < horizonMs
    ) {
      expired++;
    }
    removeRecords(stream, expired);
  }

  function removeRecords(stream: Stream, count: number): void {
    if (count === 0) return;
    stream.records.splice(0, count);
    stream.firstOffset += count;
  }

  function read(
    name: string,
    fromOffset: number,
    maxRecords: number,
  ): LogPage | 'down' | {readonly firstOffset: number} {
    if (isDown) return 'down';
    const stream = getStream(name);
    expireRecords(stream);
    const {firstOffset} = stream;
    if (fromOffset < firstOffset) return {firstOffset};
    const start = fromOffset - firstOffset;
    return {
      records: stream.records.slice(start, start + maxRecords),
      firstOffset,
      endOffset: firstOffset + stream.records.length,
    };
  }

  function waitForRecord(
    name: string,
    fromOffset: number,
    waitMs: number,
    callback: () => void,
  ): void {
    const stream = getStream(name);
    const hasRecords = fromOffset < stream.firstOffset + stream.records.length;
    if (hasRecords || waitMs <= 0 || isDown) {
      callback();
      return;
    }
    let timer: Timer | undefined = undefined;
    const wake = (): void => {
      timer?.cancel();
      stream.waiters.delete(wake);
      callback();
    };
    timer = clock.schedule(waitMs, wake);
    stream.waiters.add(wake);
  }

  function setDown(value: boolean): void {
    isDown = value;
    if (!isDown) return;
    for (const stream of streams.values()) {
      const waiters = [...stream.waiters];
      stream.waiters.clear();
      for (const wake of waiters) wake();
    }
  }

  function takeLostReply(): boolean {
    if (lostReplies === 0) return false;
    lostReplies--;
    return true;
  }

  function trim(name: string, offset: number): void {
    const stream = getStream(name);
    removeRecords(
      stream,
      Math.min(stream.records.length, Math.max(0, offset - stream.firstOffset)),
    );
  }
}
