/** Collects the body of an answer that the gateway reads itself, up to a size limit. */

/** The parts of a body received so far. */
export interface BoundedBody {
  /** Adds a part; returns false once the body exceeds the size limit. */
  add(chunk: Buffer): boolean;
  /** Returns the body received so far. */
  read(): Buffer;
}

/** Size limit of a prefill answer or a report, in bytes: both usually have a few hundred, a report with many runs some ten thousand. */
const MAX_BODY_BYTES = 65_536;

/** Creates an empty body. */
export function createBoundedBody(): BoundedBody {
  const chunks: Buffer[] = [];
  let bytes = 0;
  return {
    add: chunk => {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return false;
      chunks.push(chunk);
      return true;
    },
    read: () => Buffer.concat(chunks),
  };
}
