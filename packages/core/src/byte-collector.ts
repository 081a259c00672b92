/** Collects bytes that arrive in chunks into one buffer, at a cost per byte and not per chunk. */

const MIN_CAPACITY_BYTES = 1_024;
/** What a chunk takes beside its bytes while it is parsed: about the memory of a small object. */
const CHUNK_OVERHEAD_BYTES = 128;

export interface ByteCollector {
  append(chunk: Uint8Array): void;
  /** Returns the number of bytes collected. */
  length(): number;
  /** Returns the number of bytes of memory held. */
  capacity(): number;
  /**
   * Returns the bytes collected plus an overhead for each chunk. Limits compare this value, since
   * bytes in very small chunks take more work than their number tells.
   */
  weight(): number;
  /** Returns the bytes and starts anew. */
  take(): Buffer;
}

/**
 * Creates an empty collector. With `expectedBytes` it does not grow up to that length; the memory is not
 * resident before bytes arrive.
 */
export function createByteCollector(expectedBytes = 0): ByteCollector {
  let buffer = Buffer.allocUnsafeSlow(expectedBytes);
  let length = 0;
  let chunks = 0;
  return {
    append: (chunk) => {
      const needed = length + chunk.length;
      if (needed > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(
          Math.max(MIN_CAPACITY_BYTES, needed, buffer.length * 2),
        );
        buffer.copy(grown, 0, 0, length);
        buffer = grown;
      }
      buffer.set(chunk, length);
      length = needed;
      chunks += 1;
    },
    length: () => length,
    capacity: () => buffer.length,
    weight: () => length + chunks * CHUNK_OVERHEAD_BYTES,
    take: () => {
      const taken = buffer.subarray(0, length);
      buffer = Buffer.alloc(0);
      length = 0;
      chunks = 0;
      return taken;
    },
  };
}
