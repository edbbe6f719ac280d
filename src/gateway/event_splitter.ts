/** Splits a stream of server-sent events into whole events. */

/** Whole events so far, and the id of the last one. */
export interface EventSplitter {
  /** Takes bytes and returns those of events that are now whole. */
  push(chunk: Buffer): Buffer;
  /** Id of the last whole event; undefined when there was none. */
  getLastId(): string | undefined;
  /** Returns what follows the last whole event when the stream has ended. */
  takeRemainder(): Buffer;
  /** Forgets the beginning of an event whose rest will not come. */
  dropPartial(): void;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /^id: ?(.*)$/m;

/** Creates a splitter at the beginning of a stream. */
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
