/** Sums up results. */
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
  summarise(seconds: number): LoadSummary;
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

/** Whether an answer met both targets; the gap is the mean gap of the answer. */
export function isGood(route: LoadRoute, result: RequestResult): boolean {
  if (result.outcome !== 'answered') return false;
  if ((result.firstTokenMs ?? Infinity) > route.firstTokenTargetMs) return false;
  return route.kind === 'plain' || (result.meanGapMs ?? 0) <= route.tokenGapTargetMs;
}

/** Creates an empty tally. */
export function createTally(): Tally {
  const firstToken = createHistogram();
  const tokenGap = createHistogram();
  const outcomes: Record<LoadOutcome, number> = {
    answered: 0,
    wrong: 0,
    not_run: 0,
    unknown: 0,
    cut: 0,
    unreachable: 0,
    cancelled: 0,
    unfinished: 0,
  };
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
    summarise: (seconds) => ({
      sent,
      outcomes,
      refusedByStatus,
      good,
      goodPerS: good / seconds,
      answeredPerS: outcomes.answered / seconds,
      tokens,
      resumed,
      firstToken: summariseHistogram(firstToken),
      tokenGap: summariseHistogram(tokenGap),
    }),
  };
}
