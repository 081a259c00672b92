/**
 * Memory for bodies that callers are sending, in segments that are used again. Large buffers of their own
 * for bodies that never end would be freed late by the runtime, and leave holes in the allocator's memory.
 */

/** Size of a segment: one read of a socket. */
export const SEGMENT_BYTES = 65_536;

export interface SegmentPool {
  take(): Buffer;
  /** Takes back segments that nothing refers to any more. */
  give(segments: readonly Buffer[]): void;
}

/** Creates a pool that keeps up to `maxBytes` of unused segments. */
export function createSegmentPool(maxBytes: number): SegmentPool {
  const free: Buffer[] = [];
  const maxFree = Math.floor(maxBytes / SEGMENT_BYTES);
  return {
    take: () => free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES),
    give: (segments) => {
      free.push(...segments.slice(0, Math.max(0, maxFree - free.length)));
    },
  };
}
