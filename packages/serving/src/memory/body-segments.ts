/** Collects one body: a small one in a buffer of its own, a larger one in segments of a pool. */
import { createByteCollector } from '@hibiscusbank/core';
import { SEGMENT_BYTES } from './segment-pool.js';
import type { SegmentPool } from './segment-pool.js';

/** Bodies up to this size take no segment, of which most of the memory would be unused. */
const MAX_SMALL_BYTES = 16_384;

export interface BodySegments {
  append(chunk: Uint8Array): void;
  /** Returns the number of bytes collected. */
  length(): number;
  /** Returns the number of bytes of memory held. */
  capacity(): number;
  /** Returns the bytes in a buffer of their own, and gives the segments back. */
  take(): Buffer;
  /** Gives the segments back; the bytes are lost. */
  discard(): void;
}

/** Creates an empty body of `expectedBytes`, 0 if its length is unknown. */
export function createBodySegments(pool: SegmentPool, expectedBytes: number): BodySegments {
  const small = createByteCollector(expectedBytes <= MAX_SMALL_BYTES ? expectedBytes : 0);
  let segments: Buffer[] = [];
  let inSegments = 0;

  const discard = (): void => {
    pool.give(segments);
    segments = [];
    inSegments = 0;
  };

  const appendToSegments = (chunk: Uint8Array): void => {
    let from = 0;
    while (from < chunk.length) {
      const used = inSegments % SEGMENT_BYTES;
      if (used === 0) segments.push(pool.take());
      const part = chunk.subarray(from, from + SEGMENT_BYTES - used);
      segments.at(-1)?.set(part, used);
      from += part.length;
      inSegments += part.length;
    }
  };

  return {
    append: (chunk) => {
      if (segments.length === 0 && small.length() + chunk.length <= MAX_SMALL_BYTES) {
        small.append(chunk);
        return;
      }
      if (small.length() > 0) appendToSegments(small.take());
      appendToSegments(chunk);
    },
    length: () => small.length() + inSegments,
    capacity: () => small.capacity() + segments.length * SEGMENT_BYTES,
    take: () => {
      const taken = segments.length === 0 ? small.take() : Buffer.concat(segments, inSegments);
      discard();
      return taken;
    },
    discard,
  };
}
