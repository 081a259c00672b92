/** Counts the results of requests and summarises them. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type {
  LatencySummary,
  LoadOutcome,
  LoadRoute,
  LoadSummary,
  RequestResult,
} from './types.js';

/** Histograms count in tenths of a millisecond. */
const TICKS_PER_MS = 10;
const HIGHEST_TICKS = 600_000 * TICKS_PER_MS;
const SIGNIFICANT_DIGITS = 2;

export interface Tally {
  addSent(): void;
  addGap(gapMs: number): void;
  addResult(route: LoadRoute, result: RequestResult): void;
  read(): TallyTotals;
}

/** Totals of a tally. The totals of several tallies can be added. */
export interface TallyTotals {
  readonly sent: number;
  readonly good: number;
  readonly tokens: number;
  readonly resumed: number;
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  readonly refusedByStatus: Readonly<Record<string, number>>;
  readonly firstToken: Histogram;
  readonly tokenGap: Histogram;
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: HIGHEST_TICKS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function record(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.min(HIGHEST_TICKS, Math.max(0, Math.round(ms * TICKS_PER_MS))));
}

function summariseHistogram(histogram: Histogram): LatencySummary {
  const at = (percentile: number): number =>
    histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / TICKS_PER_MS;
  return {
    count: histogram.totalCount,
    meanMs: histogram.totalCount === 0 ? 0 : histogram.mean / TICKS_PER_MS,
    p50Ms: at(50),
    p95Ms: at(95),
    p99Ms: at(99),
    maxMs: histogram.maxValue / TICKS_PER_MS,
  };
}

/**
 * Returns whether an answer met the target for its first token and, on a model route, the target for
 * the mean gap between its tokens.
 */
export function isGood(route: LoadRoute, result: RequestResult): boolean {
  if (result.outcome !== 'answered') return false;
  if ((result.firstTokenMs ?? Infinity) > route.firstTokenTargetMs) return false;
  return route.kind === 'plain' || (result.meanGapMs ?? 0) <= route.tokenGapTargetMs;
}

function createOutcomeCounts(): Record<LoadOutcome, number> {
  return {
    answered: 0,
    wrong: 0,
    not_run: 0,
    unknown: 0,
    cut: 0,
    unreachable: 0,
    cancelled: 0,
    unfinished: 0,
  };
}

/** Creates an empty tally. */
export function createTally(): Tally {
  const firstToken = createHistogram();
  const tokenGap = createHistogram();
  const outcomes = createOutcomeCounts();
  const refusedByStatus: Record<string, number> = {};
  let sent = 0;
  let good = 0;
  let tokens = 0;
  let resumed = 0;
  return {
    addSent: () => {
      sent += 1;
    },
    addGap: (gapMs) => record(tokenGap, gapMs),
    addResult: (route, result) => {
      outcomes[result.outcome] += 1;
      tokens += result.tokens;
      resumed += result.resumed;
      if (isGood(route, result)) good += 1;
      if (result.status !== undefined) {
        refusedByStatus[result.status] = (refusedByStatus[result.status] ?? 0) + 1;
      }
      const hasToken = result.outcome === 'answered' && result.firstTokenMs !== undefined;
      if (hasToken) record(firstToken, result.firstTokenMs ?? 0);
    },
    read: () => ({
      sent,
      good,
      tokens,
      resumed,
      outcomes,
      refusedByStatus,
      firstToken,
      tokenGap,
    }),
  };
}

function addCounts(sum: Record<string, number>, counts: Readonly<Record<string, number>>): void {
  for (const [name, count] of Object.entries(counts)) sum[name] = (sum[name] ?? 0) + count;
}

function sumOf(all: readonly TallyTotals[], read: (totals: TallyTotals) => number): number {
  return all.reduce((sum, totals) => sum + read(totals), 0);
}

/** Sums tallies. Rates are totals divided by `seconds`, the duration of the arrivals. */
export function summarise(tallies: readonly Tally[], seconds: number): LoadSummary {
  const all = tallies.map((tally) => tally.read());
  const outcomes = createOutcomeCounts();
  const refusedByStatus: Record<string, number> = {};
  const firstToken = createHistogram();
  const tokenGap = createHistogram();
  for (const totals of all) {
    addCounts(outcomes, totals.outcomes);
    addCounts(refusedByStatus, totals.refusedByStatus);
    firstToken.add(totals.firstToken);
    tokenGap.add(totals.tokenGap);
  }
  const good = sumOf(all, (totals) => totals.good);
  return {
    sent: sumOf(all, (totals) => totals.sent),
    outcomes,
    refusedByStatus,
    good,
    goodPerS: good / seconds,
    answeredPerS: outcomes.answered / seconds,
    tokens: sumOf(all, (totals) => totals.tokens),
    resumed: sumOf(all, (totals) => totals.resumed),
    firstToken: summariseHistogram(firstToken),
    tokenGap: summariseHistogram(tokenGap),
  };
}
