/** Splits a stream of server-sent events into complete events. */

/** Splitter that also tracks the id of the last complete event. */
export interface EventSplitter {
  /** Adds bytes and returns those of the events that are now complete. */
  push(chunk: Buffer): Buffer;
  /** Id of the last complete event that has one; undefined when there was none. */
  getLastId(): string | undefined;
  /** Returns and removes the bytes after the last complete event, for use at the end of the stream. */
  takeRemainder(): Buffer;
  /** Discards an incomplete event whose stream has broken off. */
  dropPartial(): void;
}

/** Blank lines that end an event, with each of the line ends that the format allows. */
const EVENT_ENDS = ['\n\n', '\r\n\r\n', '\r\r'];
const ANY_EVENT_END = /\n\n|\r\n\r\n|\r\r/;
const ID_LINE = /^id: ?(.*)$/m;
const BLANK = /^[\r\n]*$/;
/** Most bytes of the text before a chunk that an event end may begin in. */
const MAX_END_BYTES = 3;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let partial: Buffer = Buffer.alloc(0);
  let lastId: string | undefined;
  return {
    push: chunk => {
      const bytes =
        partial.length === 0 ? chunk : Buffer.concat([partial, chunk]);
      const wholeBytes = findLastEnd(bytes);
      if (wholeBytes === 0) {
        partial = bytes;
        return Buffer.alloc(0);
      }
      const whole = bytes.subarray(0, wholeBytes);
      partial = bytes.subarray(whole.length);
      lastId = findLastId(whole) ?? lastId;
      return whole;
    },
    getLastId: () => lastId,
    takeRemainder: () => {
      const remainder = partial;
      partial = Buffer.alloc(0);
      return remainder;
    },
    dropPartial: () => {
      partial = Buffer.alloc(0);
    },
  };
}

/** Tells whether a stream that is passed on unchanged ends between two events. */
export interface EventBoundary {
  push(chunk: Buffer): void;
  /** True when at least one event has been received and none is incomplete. */
  isBetweenEvents(): boolean;
}

/** Creates a tracker for a new stream. */
export function createEventBoundary(): EventBoundary {
  let tail: Buffer = Buffer.alloc(0);
  let isBetween = false;
  return {
    push: chunk => {
      if (chunk.length === 0) return;
      const bytes = Buffer.concat([tail, chunk]);
      const end = findLastEnd(bytes);
      const isContinued = !isBlank(bytes.subarray(end));
      isBetween = end > 0 ? !isContinued : isBetween && !isContinued;
      tail = bytes.subarray(-MAX_END_BYTES);
    },
    isBetweenEvents: () => isBetween,
  };
}

/** True for the end of a stream after its last complete event: nothing but line ends. */
export function isBlank(bytes: Buffer): boolean {
  return BLANK.test(bytes.toString('latin1'));
}

/** Returns the number of bytes up to the end of the last complete event; 0 when there is none. */
function findLastEnd(bytes: Buffer): number {
  return Math.max(
    ...EVENT_ENDS.map(end => {
      const index = bytes.lastIndexOf(end);
      return index < 0 ? 0 : index + end.length;
    }),
  );
}

function findLastId(events: Buffer): string | undefined {
  const texts = events.toString('utf8').split(ANY_EVENT_END).reverse();
  for (const text of texts) {
    const id = ID_LINE.exec(text)?.[1].trimEnd();
    if (id !== undefined) return id;
  }
  return undefined;
}
