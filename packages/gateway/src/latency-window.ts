/** Recent latencies of a pool, which determine when a hedged second attempt starts. */

const WINDOW_SAMPLES = 128;
/** Fewer samples are not enough to estimate the tail. */
const MIN_SAMPLES = 32;

export interface LatencyWindow {
  record(ms: number): void;
  /** Returns a quantile of the recent latencies, in ms; `undefined` with too few samples. */
  quantile(fraction: number): number | undefined;
}

export function createLatencyWindow(): LatencyWindow {
  const samples: number[] = [];
  let next = 0;
  return {
    record: (ms) => {
      samples[next] = ms;
      next = (next + 1) % WINDOW_SAMPLES;
    },
    quantile: (fraction) => {
      if (samples.length < MIN_SAMPLES) return undefined;
      const sorted = [...samples].sort((a, b) => a - b);
      return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
    },
  };
}
