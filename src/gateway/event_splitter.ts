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

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/m;

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  let partial: Buffer = Buffer.alloc(0);
  let lastId: string | undefined;
  return {
    push: chunk => {
      const bytes =
        partial.length === 0 ? chunk : Buffer.concat([partial, chunk]);
      const lastEnd = bytes.lastIndexOf(EVENT_END);
      if (lastEnd < 0) {
        partial = bytes;
        return Buffer.alloc(0);
      }
      const whole = bytes.subarray(0, lastEnd + EVENT_END.length);
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

function findLastId(events: Buffer): string | undefined {
  const texts = events.toString('utf8').split('\n\n').reverse();
  for (const text of texts) {
    const id = ID_LINE.exec(text)?.[1].trimEnd();
    if (id !== undefined) return id;
  }
  return undefined;
}
