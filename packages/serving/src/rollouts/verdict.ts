/**
 * Judges a new version by its answers beside those of the version in service. Designed for faults of
 * a part of the answers, on all routes or one, from the start or later, while machines of both
 * versions have faults of their own. The functions make no network calls.
 */
import { BUCKETS_PER_DOUBLING } from './evidence.js';
import type { Metric, NodeEvidence } from './evidence.js';

/** Factor of the median in service beyond which an answer is slow. */
const SLOW_FACTOR = 2;
const SLOW_BUCKETS = BUCKETS_PER_DOUBLING * Math.log2(SLOW_FACTOR);
/** Answers of the version in service that a median needs. */
const MIN_MEDIAN_ANSWERS = 20;
/** Rates that are assumed at least, so that single failures do not weigh too much. */
const MIN_RATE: Readonly<Record<Metric, number>> = { failure: 0.02, first: 0.05, pace: 0.05 };
/** Excess over the rate in service that makes a version bad. Times vary more than failures. */
const BAD_EXCESS: Readonly<Record<Metric, number>> = { failure: 0.15, first: 0.25, pace: 0.25 };
/** The same as a factor, for routes that fail often in service. */
const BAD_EXCESS_FACTOR = 1.5;
const MAX_RATE = 0.95;
/** Sum of log-likelihood ratios at which a version is bad: about 1,100 sound answers per false alarm. */
const BAD_SUM = 7;
/** Recent sum of a route at which a version is not sound, whatever its earlier answers. */
const SUSPECT_SUM = 3;
/**
 * Sum at which all routes together are sound, an error rate of 0.05 for each kind of evidence. The
 * ramp finds a version that was taken for sound by mistake.
 */
const SOUND_SUM = -3;
/** Answers that a route needs by itself. */
const MIN_ROUTE_ANSWERS = 8;
/** Fraction of the pool's requests from which a route needs answers of its own. */
const ACTIVE_ROUTE_SHARE = 0.02;
/** Failed answers at which a version is bad if they come twice as often as in service. */
const MANY_FAILURES = 30;

export interface Verdict {
  readonly kind: 'bad' | 'sound' | 'open';
  /** Route and kind of evidence that decided, for operators. */
  readonly reason: string;
}

export interface VerdictTracker {
  /** Judges with the totals of all nodes, which replace those of the last call. */
  update(evidence: NodeEvidence, candidates: number): Verdict;
}

/** Counts by bucket. */
type Histogram = Map<number, number>;

interface Stratum {
  readonly route: string;
  readonly metric: Metric;
  readonly inService: Histogram;
  readonly byUpstream: Map<string, Histogram>;
}

interface TrackedStratum {
  /** Counts of the last update, by upstream and bucket. */
  counted: ReadonlyMap<string, Histogram>;
  /** Log-likelihood ratios by upstream since their sum was last below 0. */
  recent: Map<string, number>;
  /** Log-likelihood ratios by upstream since the order. */
  readonly totals: Map<string, number>;
}

function add(histogram: Histogram, bucket: number, count: number): void {
  histogram.set(bucket, (histogram.get(bucket) ?? 0) + count);
}

function sumCounts(histogram: Histogram): number {
  return [...histogram.values()].reduce((sum, count) => sum + count, 0);
}

function sumValues(sums: ReadonlyMap<string, number>): number {
  return [...sums.values()].reduce((total, value) => total + value, 0);
}

function countFrom(histogram: Histogram, bucket: number): number {
  return [...histogram].reduce((sum, [at, count]) => sum + (at >= bucket ? count : 0), 0);
}

function findMedian(histogram: Histogram): number {
  const half = sumCounts(histogram) / 2;
  let passed = 0;
  for (const [bucket, count] of [...histogram].sort(([a], [b]) => a - b)) {
    passed += count;
    if (passed >= half) return bucket;
  }
  return 0;
}

function toStrata(evidence: NodeEvidence): Map<string, Stratum> {
  const strata = new Map<string, Stratum>();
  for (const [route, upstream, metric, bucket, count] of evidence.cells) {
    const key = `${metric} ${route}`;
    const stratum = strata.get(key) ?? {
      route,
      metric,
      inService: new Map(),
      byUpstream: new Map<string, Histogram>(),
    };
    strata.set(key, stratum);
    if (upstream === '') {
      add(stratum.inService, bucket, count);
      continue;
    }
    const histogram: Histogram = stratum.byUpstream.get(upstream) ?? new Map();
    stratum.byUpstream.set(upstream, histogram);
    add(histogram, bucket, count);
  }
  return strata;
}

/** Returns the answers of the new version. */
function countAnswers(stratum: Stratum | undefined): number {
  return [...(stratum?.byUpstream.values() ?? [])].reduce(
    (sum, histogram) => sum + sumCounts(histogram),
    0,
  );
}

/** Returns the first bucket of bad answers, `undefined` while too few answers are known. */
function findBadBucket({ metric, inService }: Stratum): number | undefined {
  if (metric === 'failure') return 1;
  if (sumCounts(inService) < MIN_MEDIAN_ANSWERS) return undefined;
  return findMedian(inService) + SLOW_BUCKETS;
}

/** Returns the log-likelihood ratios of one bad and one sound answer. */
function weighAnswers(stratum: Stratum, badBucket: number) {
  const { metric, inService } = stratum;
  const known = sumCounts(inService);
  const bad = countFrom(inService, badBucket);
  const usual = Math.min(0.6, Math.max(MIN_RATE[metric], known === 0 ? 0 : bad / known));
  const excess = Math.max(BAD_EXCESS[metric], usual * BAD_EXCESS_FACTOR);
  const raised = Math.min(MAX_RATE, usual + excess);
  return { bad: Math.log(raised / usual), sound: Math.log((1 - raised) / (1 - usual)) };
}

function copyHistograms(byUpstream: ReadonlyMap<string, Histogram>): Map<string, Histogram> {
  return new Map([...byUpstream].map(([upstream, histogram]) => [upstream, new Map(histogram)]));
}

function trackStratum(tracked: TrackedStratum, stratum: Stratum, badBucket: number): void {
  const weights = weighAnswers(stratum, badBucket);
  for (const [upstream, histogram] of stratum.byUpstream) {
    const before = tracked.counted.get(upstream);
    let gained = 0;
    for (const [bucket, count] of histogram) {
      const fresh = Math.max(0, count - (before?.get(bucket) ?? 0));
      gained += fresh * (bucket >= badBucket ? weights.bad : weights.sound);
    }
    tracked.recent.set(upstream, (tracked.recent.get(upstream) ?? 0) + gained);
    tracked.totals.set(upstream, (tracked.totals.get(upstream) ?? 0) + gained);
  }
  tracked.counted = copyHistograms(stratum.byUpstream);
  if (sumValues(tracked.recent) < 0) tracked.recent.clear();
}

/** Returns a sum over upstreams without the one that adds most, if there are others. */
function sumWithoutWorst(sums: ReadonlyMap<string, number>, candidates: number): number {
  const sum = sumValues(sums);
  return candidates > 1 ? sum - Math.max(0, ...sums.values()) : sum;
}

/** Whether failures are so many that waiting for the sums would exceed the operator's bound. */
function hasManyFailures(strata: Iterable<Stratum>, candidates: number): boolean {
  const inService = { failed: 0, all: 0 };
  const byUpstream = new Map<string, { failed: number; all: number }>();
  for (const stratum of strata) {
    if (stratum.metric !== 'failure') continue;
    inService.failed += countFrom(stratum.inService, 1);
    inService.all += sumCounts(stratum.inService);
    for (const [upstream, histogram] of stratum.byUpstream) {
      const counts = byUpstream.get(upstream) ?? { failed: 0, all: 0 };
      counts.failed += countFrom(histogram, 1);
      counts.all += sumCounts(histogram);
      byUpstream.set(upstream, counts);
    }
  }
  const ranked = [...byUpstream.values()].sort((a, b) => b.failed - a.failed);
  const counted = candidates > 1 ? ranked.slice(1) : ranked;
  const failed = counted.reduce((sum, counts) => sum + counts.failed, 0);
  const all = counted.reduce((sum, counts) => sum + counts.all, 0);
  const usual = Math.max(MIN_RATE.failure, inService.failed / Math.max(1, inService.all));
  return failed >= MANY_FAILURES && failed >= 2 * usual * all;
}

/** Creates the judge of one order. */
export function createVerdictTracker(): VerdictTracker {
  const trackedStrata = new Map<string, TrackedStratum>();

  /** Returns the sum of all routes, `undefined` without any evidence of the kind. */
  const sumTotals = (
    strata: ReadonlyMap<string, Stratum>,
    metric: Metric,
    candidates: number,
  ): number | undefined => {
    const totals = new Map<string, number>();
    for (const [key, stratum] of strata) {
      if (stratum.metric !== metric) continue;
      for (const [upstream, total] of trackedStrata.get(key)?.totals ?? [])
        totals.set(upstream, (totals.get(upstream) ?? 0) + total);
    }
    return totals.size === 0 ? undefined : sumWithoutWorst(totals, candidates);
  };

  const isSound = (
    strata: ReadonlyMap<string, Stratum>,
    evidence: NodeEvidence,
    candidates: number,
  ): boolean => {
    for (const metric of ['failure', 'first', 'pace'] as const) {
      const total = sumTotals(strata, metric, candidates);
      // Plain upstreams have no pauses between events.
      if (total === undefined && metric === 'pace') continue;
      if (total === undefined || total > SOUND_SUM) return false;
    }
    const all = Object.values(evidence.requests).reduce((sum, count) => sum + count, 0);
    return Object.entries(evidence.requests).every(
      ([route, count]) =>
        count < all * ACTIVE_ROUTE_SHARE ||
        countAnswers(strata.get(`failure ${route}`)) >= MIN_ROUTE_ANSWERS,
    );
  };

  return {
    update: (evidence, candidates) => {
      const strata = toStrata(evidence);
      let suspect: string | undefined;
      for (const [key, stratum] of strata) {
        const badBucket = findBadBucket(stratum);
        if (badBucket === undefined) continue;
        const tracked = trackedStrata.get(key) ?? {
          counted: new Map(),
          recent: new Map(),
          totals: new Map(),
        };
        trackedStrata.set(key, tracked);
        trackStratum(tracked, stratum, badBucket);
        const sum = sumWithoutWorst(tracked.recent, candidates);
        const reason = `${key}: ${sum.toFixed(1)}`;
        if (sum >= BAD_SUM) return { kind: 'bad', reason };
        if (sum >= SUSPECT_SUM) suspect = reason;
      }
      if (hasManyFailures(strata.values(), candidates))
        return { kind: 'bad', reason: 'failures twice as often as in service' };
      if (suspect !== undefined) return { kind: 'open', reason: suspect };
      if (isSound(strata, evidence, candidates))
        return { kind: 'sound', reason: 'answers as in service' };
      return { kind: 'open', reason: 'evidence does not suffice' };
    },
  };
}
