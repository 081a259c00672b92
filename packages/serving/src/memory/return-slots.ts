/** Spreads the return of refused callers, so that not all of them come back at the same time. */
import { monotonicMs } from '@hibiscusbank/core';

export interface ReturnSlots {
  /** Returns the time until the next free slot, in milliseconds, and takes the slot. */
  take(): number;
}

export interface ReturnSlotsOptions {
  /** Time between two returns. */
  readonly intervalMs: number;
  readonly minMs: number;
  /** Callers beyond this time share the last slot. */
  readonly maxMs: number;
}

/** Creates slots that are all free. */
export function createReturnSlots({ intervalMs, minMs, maxMs }: ReturnSlotsOptions): ReturnSlots {
  let lastAt = -Infinity;
  return {
    take: () => {
      const now = monotonicMs();
      lastAt = Math.min(now + maxMs, Math.max(now + minMs, lastAt + intervalMs));
      return lastAt - now;
    },
  };
}
