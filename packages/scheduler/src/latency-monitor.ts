/** Adaptive concurrency limit and cold detection from the response latencies of one upstream. */
const SAMPLE_WINDOW = 31;
const MIN_SAMPLES = 10;
/** An upstream is cold if its last `COLD_SAMPLES` samples all exceed the median by this factor. */
const COLD_FACTOR = 5;
/** One slow response proves nothing, as the durations of lookups, bookings and the like differ. */
const COLD_SAMPLES = 3;
/** Latency up to this multiple of the baseline counts as unloaded. */
const UNLOADED_FACTOR = 2;
const RECENT_WEIGHT = 0.2;
/** Adapts over about 40 s at 50 responses/s, so that overload does not soon raise the baseline. */
const BASELINE_WEIGHT = 0.0005;
const MIN_GRADIENT = 0.5;

export interface LatencyMonitor {
  /** Records a response; returns whether the upstream must be treated as cold. */
  record(latency: number, inFlight: number): boolean;
  /** Returns the limit of concurrent requests, between 1 and the capacity. */
  limit(): number;
  median(): number | undefined;
}

/** Creates the monitor. Latencies may be in any unit that is the same for all samples. */
export function createLatencyMonitor(capacity: number): LatencyMonitor {
  let samples: number[] = [];
  let recent: number | undefined;
  let baseline: number | undefined;
  let limit = capacity;

  const median = (): number | undefined => {
    if (samples.length < MIN_SAMPLES) return undefined;
    const sorted = [...samples].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
  };

  const adjustLimit = (latency: number, inFlight: number): void => {
    recent = recent === undefined ? latency : recent + RECENT_WEIGHT * (latency - recent);
    baseline ??= latency;
    // The baseline follows a falling latency quickly, so a start under load does not keep it high.
    const weight = latency < baseline ? RECENT_WEIGHT : BASELINE_WEIGHT;
    baseline += weight * (latency - baseline);
    // Responses faster than the clock resolution have a latency of 0.
    const ratio = recent > 0 ? (UNLOADED_FACTOR * baseline) / recent : 1;
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, ratio));
    const target = limit * gradient + Math.sqrt(limit);
    const next = limit + RECENT_WEIGHT * (target - limit);
    // Low latency of a mostly idle upstream does not show that it tolerates a higher limit.
    if (next > limit && inFlight < limit / 2) return;
    limit = Math.max(1, Math.min(capacity, next));
  };

  return {
    record: (latency, inFlight) => {
      const medianLatency = median();
      samples.push(latency);
      if (samples.length > SAMPLE_WINDOW) samples.shift();
      adjustLimit(latency, inFlight);
      if (medianLatency === undefined || medianLatency <= 0) return false;
      const lastSamples = samples.slice(-COLD_SAMPLES);
      const isCold = lastSamples.every((value) => value > COLD_FACTOR * medianLatency);
      if (isCold) samples = [];
      return isCold;
    },
    limit: () => Math.max(1, Math.floor(limit)),
    median,
  };
}
