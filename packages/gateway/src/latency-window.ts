/** Recent latencies of a pool, for the time after which a second attempt is worthwhile. */

const WINDOW_SIZE = 128;
/** Fewer samples say nothing about the tail. */
const MIN_SAMPLES = 32;

export interface LatencyWindow {
  record(ms: number): void;
  /** The quantile of the recent latencies, or `undefined` before there are enough. */
  quantile(share: number): number | undefined;
}

/** Creates an empty window. */
export function createLatencyWindow(): LatencyWindow {
  const samples: number[] = [];
  let next = 0;
  return {
    record: (ms) => {
      samples[next] = ms;
      next = (next + 1) % WINDOW_SIZE;
    },
    quantile: (share) => {
      if (samples.length < MIN_SAMPLES) return undefined;
      const sorted = [...samples].sort((a, b) => a - b);
      return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
    },
  };
}
