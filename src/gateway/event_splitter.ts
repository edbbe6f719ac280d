/** Finds the ends of events in a stream of server-sent events, whatever the chunks in which it arrives. */

/** Follows a stream and tells where its events end. */
export interface EventBoundary {
  /** Adds bytes; returns how many of them belong to complete events, 0 when they complete none. */
  push(chunk: Buffer): number;
  /** True when at least one event has been received and none is incomplete. */
  isBetweenEvents(): boolean;
  /** Id of the last complete event that has one; undefined when there was none. */
  getLastId(): string | undefined;
  /** Number of bytes since the last complete event that carried data. */
  countBytesWithoutData(): number;
  /** Discards an incomplete event whose stream has broken off; the next bytes begin a new event. */
  dropPartial(): void;
}

/** Withholds incomplete events, so that another server can resume the stream after the last complete one. */
export interface EventSplitter extends Omit<EventBoundary, 'push'> {
  /** Adds bytes and returns those of the events that are now complete. */
  push(chunk: Buffer): Buffer;
  /** Returns and removes the bytes after the last complete event, for use at the end of the stream. */
  takeRemainder(): Buffer;
}

const LF = 0x0a;
const CR = 0x0d;
const ID_FIELD = 'id:';
const DATA_FIELD = 'data';
/** Length at which it is known whether a line is a data field, in bytes. */
const FIELD_BYTES = DATA_FIELD.length + 1;
/** Number of bytes of an id that are joined at once: a string that grows by single characters takes 32 bytes for each, and time that grows with the square of its length (10 s for 256 KiB). */
const JOIN_BYTES = 1_024;

/** Lines of an event that is not complete yet. */
interface OpenEvent {
  hasLines: boolean;
  hasData: boolean;
  id: string | undefined;
}

/** Creates a tracker for a new stream. */
export function createEventBoundary(): EventBoundary {
  let hasEvents = false;
  let lastId: string | undefined;
  let bytesWithoutData = 0;
  let event = createOpenEvent();
  let lineBytes = 0;
  /** The current line as far as it may name an id or a data field. */
  let line = '';
  /** True when the current line, which is longer than a field name, names an id. */
  let isIdLine = false;
  /** The end of an id that is not in `line` yet. */
  let idBytes: number[] = [];
  let isAfterCr = false;
  /** True after the CR of a blank line that may end with CR LF. */
  let isBlankPending = false;
  return {
    push,
    isBetweenEvents: () => hasEvents && !event.hasLines && lineBytes === 0,
    getLastId: () => lastId,
    countBytesWithoutData: () => bytesWithoutData,
    dropPartial: () => {
      event = createOpenEvent();
      startLine();
      bytesWithoutData = 0;
      isAfterCr = false;
      isBlankPending = false;
    },
  };

  /** Looks at each byte once, so that the work does not depend on how much of an event is still missing. */
  function push(chunk: Buffer): number {
    let completeBytes = 0;
    const findLineEnd = createLineEndSearch(chunk);
    bytesWithoutData += chunk.length;
    for (let index = 0; index < chunk.length; index++) {
      const byte = chunk[index];
      const wasAfterCr = isAfterCr;
      isAfterCr = byte === CR;
      if (isBlankPending) {
        isBlankPending = false;
        completeEvent(byte === LF ? index + 1 : index);
        if (byte === LF) continue;
      } else if (byte === LF && wasAfterCr) {
        continue;
      }
      if (byte !== LF && byte !== CR) {
        addToLine(byte);
        // Only the end of such a line matters; long events are most of the bytes of a stream.
        const isSkipped = lineBytes > FIELD_BYTES && !isIdLine;
        if (isSkipped) index = findLineEnd(index + 1) - 1;
      } else if (lineBytes > 0) completeLine();
      else if (byte === LF || wasAfterCr) completeEvent(index + 1);
      else isBlankPending = true;
    }
    return completeBytes;

    function completeEvent(position: number): void {
      if (event.hasLines) {
        hasEvents = true;
        lastId = event.id ?? lastId;
        if (event.hasData) bytesWithoutData = chunk.length - position;
        event = createOpenEvent();
      }
      if (hasEvents) completeBytes = position;
    }
  }

  function addToLine(byte: number): void {
    lineBytes++;
    if (lineBytes <= FIELD_BYTES) {
      line += String.fromCharCode(byte);
      isIdLine = line.startsWith(ID_FIELD);
    } else if (isIdLine) {
      idBytes.push(byte);
      if (idBytes.length === JOIN_BYTES) appendId();
    }
  }

  function appendId(): void {
    line += String.fromCharCode(...idBytes);
    idBytes = [];
  }

  function completeLine(): void {
    event.hasLines = true;
    if (idBytes.length > 0) appendId();
    if (line.startsWith(ID_FIELD))
      event.id = line.slice(ID_FIELD.length).trim();
    if (line === DATA_FIELD || line.startsWith(`${DATA_FIELD}:`)) {
      event.hasData = true;
    }
    startLine();
  }

  function startLine(): void {
    line = '';
    isIdLine = false;
    idBytes = [];
    lineBytes = 0;
  }
}

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
  const boundary = createEventBoundary();
  let partial: Buffer[] = [];
  return {
    ...boundary,
    push: chunk => {
      const completeBytes = boundary.push(chunk);
      if (completeBytes === 0) {
        partial.push(chunk);
        return Buffer.alloc(0);
      }
      const complete = [...partial, chunk.subarray(0, completeBytes)];
      partial = [chunk.subarray(completeBytes)];
      return Buffer.concat(complete);
    },
    takeRemainder: () => {
      const remainder = Buffer.concat(partial);
      partial = [];
      return remainder;
    },
    dropPartial: () => {
      partial = [];
      boundary.dropPartial();
    },
  };
}

/** Returns a function that finds the next CR or LF at or after a position; positions must not decrease. */
function createLineEndSearch(chunk: Buffer): (from: number) => number {
  let nextLf = -1;
  let nextCr = -1;
  return from => {
    if (nextLf < from) nextLf = findByte(chunk, LF, from);
    if (nextCr < from) nextCr = findByte(chunk, CR, from);
    return Math.min(nextLf, nextCr);
  };
}

/** Returns the length of the chunk when it has no such byte. */
function findByte(chunk: Buffer, byte: number, from: number): number {
  const position = chunk.indexOf(byte, from);
  return position < 0 ? chunk.length : position;
}

function createOpenEvent(): OpenEvent {
  return {hasLines: false, hasData: false, id: undefined};
}
