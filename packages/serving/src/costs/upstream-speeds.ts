/**
 * Learns how fast each upstream of a pool is from the times of its answers, beside those of the other
 * upstreams for the same kind of work. Designed for pools of uneven machines, and for machines that turn
 * slow or recover within seconds. The functions make no network calls.
 */
import { monotonicMs } from '@hibiscusbank/core';

/** Time in which the weight of an observation halves. */
const HALF_LIFE_MS = 4_000;
/** Observations that weigh as much as the assumption that an upstream is like its pool. */
const PRIOR_OBSERVATIONS = 5;
const MIN_SPEED = 0.25;
const MAX_SPEED = 4;
/** Bounds of one observation: times between nanoseconds and days. */
const MAX_COUNT = 1e6;
const MAX_LOG = 30;
/** Kinds of work that are told apart; the least recent one is forgotten for another. */
const MAX_KEYS = 256;
/** Time after which an upstream without observations is forgotten. */
const FORGET_MS = 60_000;

/** Answers of one upstream to one kind of work: their number and the sum of the logarithms of their times. */
export type SpeedObservation = readonly [
  upstream: string,
  key: string,
  count: number,
  sumLog: number,
];

export interface UpstreamSpeeds {
  record(observation: SpeedObservation): void;
  /** Returns the speed of an upstream relative to the mean of its pool, 1 while nothing is known. */
  speedOf(upstream: string): number;
}

interface Mean {
  weight: number;
  sum: number;
  at: number;
}

function decay(mean: Mean, now: number): void {
  const factor = 0.5 ** ((now - mean.at) / HALF_LIFE_MS);
  mean.weight *= factor;
  mean.sum *= factor;
  mean.at = now;
}

function addTo<Key>(means: Map<Key, Mean>, key: Key, weight: number, sum: number): Mean {
  const now = monotonicMs();
  const mean = means.get(key) ?? { weight: 0, sum: 0, at: now };
  // The latest ones are at the end.
  means.delete(key);
  means.set(key, mean);
  decay(mean, now);
  mean.weight += weight;
  mean.sum += sum;
  return mean;
}

/** Creates the speeds of one pool, without observations. */
export function createUpstreamSpeeds(): UpstreamSpeeds {
  /** Logarithms of times by kind of work, over all upstreams. */
  const usual = new Map<string, Mean>();
  /** Logarithms of how much faster than usual an upstream answered. */
  const gains = new Map<string, Mean>();

  return {
    record: ([upstream, key, count, sumLog]) => {
      // Peers are trusted, but what they send is not used for arithmetic unseen.
      if (!(count >= 1 && count <= MAX_COUNT && Math.abs(sumLog) <= count * MAX_LOG)) return;
      const mean = addTo(usual, key, count, sumLog);
      const [oldest] = usual.keys();
      if (usual.size > MAX_KEYS && oldest !== undefined) usual.delete(oldest);
      addTo(gains, upstream, count, (mean.sum / mean.weight) * count - sumLog);
      for (const [id, { at }] of gains) {
        if (monotonicMs() - at < FORGET_MS) break;
        gains.delete(id);
      }
    },
    speedOf: (upstream) => {
      const gain = gains.get(upstream);
      if (gain === undefined) return 1;
      decay(gain, monotonicMs());
      const speed = Math.exp(gain.sum / (gain.weight + PRIOR_OBSERVATIONS));
      return Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed));
    },
  };
}

/** Collects the observations of a node until they are sent. */
export interface SpeedObserver {
  /** Records that an upstream took `ms` for work of `units`. */
  observe(upstream: string, key: string, ms: number, units: number): void;
  /** Returns the observations since the last call. */
  take(): readonly SpeedObservation[];
}

/** Observations that are kept until they are sent; more are added to those of the same kind only. */
const MAX_PENDING = 100;

/** Creates an observer without observations. */
export function createSpeedObserver(): SpeedObserver {
  let pending = new Map<string, [...SpeedObservation]>();
  return {
    observe: (upstream, key, ms, units) => {
      if (!(ms > 0) || !(units > 0)) return;
      const id = `${upstream}\u0000${key}`;
      const known = pending.get(id);
      const log = Math.log(ms / units);
      if (known !== undefined) {
        known[2] += 1;
        known[3] += log;
      } else if (pending.size < MAX_PENDING) pending.set(id, [upstream, key, 1, log]);
    },
    take: () => {
      const taken = [...pending.values()];
      pending = new Map();
      return taken;
    },
  };
}
