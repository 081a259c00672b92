/** Token bucket that limits calls per second and holds one second's worth of calls. */

export interface RateLimit {
  /** Takes a token for one call; returns false if the call exceeds the limit. */
  tryAcquire(): boolean;
}

const MS_PER_S = 1_000;

/** Creates a limiter with a full bucket. A rate of 0 means no limit. */
export function createRateLimit(callsPerS: () => number): RateLimit {
  let tokens = callsPerS();
  let updatedAtMs = performance.now();
  return {
    tryAcquire: () => {
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
