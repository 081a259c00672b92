/**
 * Measures how fast engines generate, by the pauses between the events of running streams. An engine
 * that turns slow still answers every call, so neither failures nor its load show it. Designed for
 * engines that slow down for some seconds while the others of their pool have capacity.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { UpstreamId } from '@hibiscusbank/core';

/** Weight of the newest pause in the moving average of an engine. */
const NEWEST_PAUSE_WEIGHT = 0.2;
/** An engine is slow when its pauses are longer than the median of all engines by this factor. */
const SLOW_FACTOR = 2.5;
/** Pauses that a caller does not notice make no engine slow. */
const MIN_SLOW_PAUSE_MS = 120;
/** Age at which a measurement is dropped, so that new streams show whether the engine recovered. */
const MAX_AGE_MS = 3_000;
/** Time for which a median is used; placements read it for every engine. */
const MEDIAN_AGE_MS = 250;
/** Engines with a recent measurement that are needed for a median. */
const MIN_ENGINES = 3;

interface Measurement {
  pauseMs: number;
  at: number;
}

export interface EnginePace {
  /** Records a pause between two events of a stream. */
  record(engine: UpstreamId, pauseMs: number): void;
  isSlow(engine: UpstreamId): boolean;
  /** Drops the measurements of all engines except the given ones. */
  retain(engines: ReadonlySet<UpstreamId>): void;
}

/** Creates the measurements of one node. */
export function createEnginePace(): EnginePace {
  const measurements = new Map<UpstreamId, Measurement>();

  let median = Infinity;
  let medianAt = -Infinity;

  const isRecent = ({ at }: Measurement): boolean => monotonicMs() - at < MAX_AGE_MS;

  /** Returns the median pause of all engines, or Infinity with too few measurements. */
  const readMedian = (): number => {
    if (monotonicMs() - medianAt < MEDIAN_AGE_MS) return median;
    medianAt = monotonicMs();
    const pauses = [...measurements.values()].filter(isRecent).map(({ pauseMs }) => pauseMs);
    pauses.sort((a, b) => a - b);
    const middle = pauses[Math.floor(pauses.length / 2)];
    median = middle === undefined || pauses.length < MIN_ENGINES ? Infinity : middle;
    return median;
  };

  return {
    record: (engine, pauseMs) => {
      const known = measurements.get(engine);
      const before = known !== undefined && isRecent(known) ? known.pauseMs : pauseMs;
      measurements.set(engine, {
        pauseMs: before + (pauseMs - before) * NEWEST_PAUSE_WEIGHT,
        at: monotonicMs(),
      });
    },
    isSlow: (engine) => {
      const known = measurements.get(engine);
      if (known === undefined || known.pauseMs < MIN_SLOW_PAUSE_MS || !isRecent(known))
        return false;
      return known.pauseMs > readMedian() * SLOW_FACTOR;
    },
    retain: (engines) => {
      for (const engine of measurements.keys()) {
        if (!engines.has(engine)) measurements.delete(engine);
      }
    },
  };
}
