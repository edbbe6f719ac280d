/** Collects the bytes of a body whose parts may be very short. */

/** A body as far as it has been received. */
export interface ByteCollector {
  /** Adds a part; `tryGrow` accounts for the memory that it needs. Returns false when that was refused, and the part was not added. */
  add(chunk: Buffer): boolean;
  read(): Buffer;
}

/** Options of a collector. */
export interface ByteCollectorOptions {
  /** Stated length of the body; undefined when it is not known. */
  readonly statedBytes?: number;
  readonly tryGrow: (bytes: number) => boolean;
}

/** Length of the first buffer, in bytes. */
const MIN_CAPACITY_BYTES = 4_096;

/** Creates an empty collector. A buffer of its own for each part would take over 100 times the memory of parts of a byte. */
export function createByteCollector(
  options: ByteCollectorOptions,
): ByteCollector {
  const maxBytes = options.statedBytes ?? Infinity;
  let buffer: Buffer = Buffer.alloc(0);
  let bytes = 0;
  return {add, read: () => buffer.subarray(0, bytes)};

  function add(chunk: Buffer): boolean {
    const needed = bytes + chunk.length;
    if (needed > buffer.length) {
      const capacity = Math.max(
        needed,
        Math.min(maxBytes, Math.max(MIN_CAPACITY_BYTES, 2 * buffer.length)),
      );
      if (!options.tryGrow(capacity - buffer.length)) return false;
      // Most bodies arrive in one part, which is then the whole buffer.
      if (capacity === chunk.length) {
        buffer = chunk;
        bytes = needed;
        return true;
      }
      const grown = Buffer.allocUnsafeSlow(capacity);
      buffer.copy(grown, 0, 0, bytes);
      buffer = grown;
    }
    chunk.copy(buffer, bytes);
    bytes = needed;
    return true;
  }
}
