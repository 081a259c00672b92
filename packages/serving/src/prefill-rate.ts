/**
 * Estimates how fast the prefill engines of a pool prefill, so that a node knows how long a prompt
 * would wait there. A call lasts as long as the engine's queue, so the fastest calls show the rate.
 */
import type { PoolId } from '@hibiscusbank/core';

/** Rate before the first measurement, in tokens per millisecond. */
const INITIAL_TOKENS_PER_MS = 30;
/** Factor by which the estimate falls with each slower call, so that it follows slower engines. */
const DECAY = 0.99;

export interface PrefillRate {
  record(pool: PoolId, tokens: number, ms: number): void;
  /** Returns the time in which an engine works off `tokens` prompt tokens. */
  waitMs(pool: PoolId, tokens: number): number;
}

/** Creates the estimates of one node. */
export function createPrefillRate(): PrefillRate {
  const rates = new Map<PoolId, number>();
  return {
    record: (pool, tokens, ms) => {
      if (ms <= 0) return;
      rates.set(pool, Math.max(tokens / ms, (rates.get(pool) ?? 0) * DECAY));
    },
    waitMs: (pool, tokens) => tokens / (rates.get(pool) ?? INITIAL_TOKENS_PER_MS),
  };
}
