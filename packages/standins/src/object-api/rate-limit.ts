/** Limits calls per second with a bucket of one second's calls. */

export interface RateLimit {
  /** False when the call is above the limit. */
  take(): boolean;
}

const MS_PER_S = 1_000;

/** Creates a limit; 0 means none. */
export function createRateLimit(callsPerS: () => number): RateLimit {
  let tokens = callsPerS();
  let updatedAtMs = performance.now();
  return {
    take: () => {
      const limit = callsPerS();
      if (limit <= 0) return true;
      const now = performance.now();
      tokens = Math.min(limit, tokens + ((now - updatedAtMs) * limit) / MS_PER_S);
      updatedAtMs = now;
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
