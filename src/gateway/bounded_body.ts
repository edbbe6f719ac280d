/** The body of an answer to a call of the gateway's own, which is short. */

/** A body that is being received. */
export interface BoundedBody {
  /** Takes a part; returns false once the body is longer than such answers are. */
  add(chunk: Buffer): boolean;
  /** Returns all parts. */
  read(): Buffer;
}

/** Longest body of a prefill answer or a report, in bytes: both are some hundred, a report with many runs some ten thousand. */
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
