/** Latency of one upstream: adaptive concurrency limit and detection of a cold upstream. */
const WINDOW = 31;
const MIN_SAMPLES = 10;
/** An upstream whose last samples all exceed the median by this factor is cold. */
const COLD_FACTOR = 5;
/** One slow request alone is no evidence: lookups and bookings differ. */
const COLD_SAMPLES = 3;
/** Latency up to this factor over the baseline counts as unloaded. */
const TOLERANCE = 2;
const RECENT_WEIGHT = 0.2;
/** About 40 s at 50 responses a second: lasting overload must not become the baseline soon. */
const BASELINE_WEIGHT = 0.0005;
const MIN_GRADIENT = 0.5;

export interface LatencyMonitor {
  /** Records a response; returns whether the upstream must be treated as cold. */
  record(latency: number, inFlight: number): boolean;
  /** Requests at a time, between 1 and the capacity. */
  limit(): number;
  median(): number | undefined;
}

/** Creates the monitor; `latency` may be in any unit that is the same for all samples. */
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

  const adjust = (latency: number, inFlight: number): void => {
    recent = recent === undefined ? latency : recent + RECENT_WEIGHT * (latency - recent);
    baseline ??= latency;
    // A falling latency moves the baseline at once, so that a loaded start does not raise it.
    const weight = latency < baseline ? RECENT_WEIGHT : BASELINE_WEIGHT;
    baseline += weight * (latency - baseline);
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, (TOLERANCE * baseline) / recent));
    const target = limit * gradient + Math.sqrt(limit);
    const next = limit + RECENT_WEIGHT * (target - limit);
    // An idle upstream proves nothing about a higher limit.
    if (next > limit && inFlight < limit / 2) return;
    limit = Math.max(1, Math.min(capacity, next));
  };

  return {
    record: (latency, inFlight) => {
      const typical = median();
      samples.push(latency);
      if (samples.length > WINDOW) samples.shift();
      adjust(latency, inFlight);
      if (typical === undefined || typical <= 0) return false;
      const last = samples.slice(-COLD_SAMPLES);
      const turnedCold = last.every((value) => value > COLD_FACTOR * typical);
      if (turnedCold) samples = [];
      return turnedCold;
    },
    limit: () => Math.max(1, Math.floor(limit)),
    median,
  };
}
