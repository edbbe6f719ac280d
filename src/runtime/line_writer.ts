/** Writes lines to a file descriptor without blocking. */
import {write as writeToDescriptor} from 'node:fs';

/** Writes lines in order. */
export interface LineWriter {
  /** Queues a line; beyond the capacity of the queue it is dropped and counted. */
  write(line: string): void;
  /** Resolves when all queued lines are written, or when `timeoutMs` is over because the reader does not keep up. */
  drain(timeoutMs: number): Promise<void>;
}

/** Writes bytes and calls back with the error or the number of bytes written, like `fs.write`. */
export type WriteBytes = (
  bytes: Buffer,
  callback: (error: NodeJS.ErrnoException | null, bytesWritten: number) => void,
) => void;

/** Options of a writer. */
export interface LineWriterOptions {
  readonly write: WriteBytes;
  readonly maxQueuedLines?: number;
}

/** Default capacity of the queue: some seconds of lines under load. */
const DEFAULT_MAX_QUEUED_LINES = 2_000;
/** Delay before the next attempt when the reader does not keep up, in milliseconds. */
const RETRY_DELAY_MS = 10;
const TEMPORARY_ERRORS = new Set(['EAGAIN', 'EINTR']);

/** Returns a function that writes to a file descriptor. */
export function createDescriptorWrite(descriptor: number): WriteBytes {
  return (bytes, callback) => writeToDescriptor(descriptor, bytes, callback);
}

/** Creates a writer with an empty queue. */
export function createLineWriter(options: LineWriterOptions): LineWriter {
  const {maxQueuedLines = DEFAULT_MAX_QUEUED_LINES} = options;
  let queuedLines: string[] = [];
  let droppedCount = 0;
  let isWriting = false;
  let onIdle: Array<() => void> = [];
  return {write, drain};

  function write(line: string): void {
    if (queuedLines.length >= maxQueuedLines) droppedCount++;
    else queuedLines.push(line);
    if (!isWriting) writeQueued();
  }

  function writeQueued(): void {
    const lines = queuedLines;
    const unwrittenCount = lines.length + droppedCount;
    if (unwrittenCount === 0) return stop();
    if (droppedCount > 0) {
      lines.push(JSON.stringify({message: 'log lines dropped', droppedCount}));
    }
    queuedLines = [];
    droppedCount = 0;
    isWriting = true;
    const text = lines.map(line => `${line.trimEnd()}\n`).join('');
    writeBytes(Buffer.from(text), unwrittenCount);
  }

  /** Writes the rest of a batch until it is complete; `unwrittenCount` lines count as dropped when that fails. */
  function writeBytes(bytes: Buffer, unwrittenCount: number): void {
    options.write(bytes, (error, bytesWritten) => {
      if (error === null) {
        const rest = bytes.subarray(bytesWritten);
        if (rest.length > 0) writeBytes(rest, unwrittenCount);
        else writeQueued();
      } else if (TEMPORARY_ERRORS.has(error.code ?? '')) {
        setTimeout(() => writeBytes(bytes, unwrittenCount), RETRY_DELAY_MS);
      } else {
        droppedCount += unwrittenCount;
        stop();
      }
    });
  }

  /** Ends the writing until the next line. */
  function stop(): void {
    isWriting = false;
    for (const resolve of onIdle) resolve();
    onIdle = [];
  }

  function drain(timeoutMs: number): Promise<void> {
    if (!isWriting) writeQueued();
    if (!isWriting) return Promise.resolve();
    return new Promise(resolve => {
      const timer = setTimeout(resolve, timeoutMs);
      onIdle.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
