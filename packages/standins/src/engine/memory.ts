/** KV memory of an engine, counted in blocks. */

export const TOKENS_PER_BLOCK = 1_000;

export interface Memory {
  /** Reserves blocks; returns false if too few are free. */
  reserve(blocks: number): boolean;
  free(blocks: number): void;
  used(): number;
  peak(): number;
}

/** Returns the number of blocks that the tokens need. */
export function countBlocks(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_BLOCK);
}

/** Creates a memory of `blocks` free blocks. */
export function createMemory(blocks: number): Memory {
  let used = 0;
  let peak = 0;
  return {
    reserve: (count) => {
      if (used + count > blocks) return false;
      used += count;
      peak = Math.max(peak, used);
      return true;
    },
    free: (count) => {
      used -= count;
    },
    used: () => used,
    peak: () => peak,
  };
}
