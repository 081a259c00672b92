/** Computes the figures of the zone bench from the windows of its load. */
import type { LoadWindow } from '../harness/load-windows.js';
import { WINDOW_S } from '../harness/load-windows.js';
import { round } from '../harness/statistics.js';

const MS_PER_S = 1_000;
/** Goodput has recovered when it reaches this fraction of its value before the drain. */
const RECOVERED_FRACTION = 0.95;
/** Number of windows that are averaged, since a single window has few requests. */
const SMOOTHED_WINDOWS = 2;

export interface ZoneTimes {
  /** Time at which the object API had accepted the drain, by `performance.now()`. */
  readonly drainedAtMs: number;
  /** Time at which the object API had accepted the removal of the drain. */
  readonly returnedAtMs: number;
}

export interface ZoneFigures {
  readonly goodput_before_per_s: number;
  readonly goodput_out_per_s: number;
  readonly offered_out_per_s: number;
  readonly goodput_out_ratio: number;
  readonly goodput_back_ms: number;
  readonly failed: number;
  readonly failed_total: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly statuses: Readonly<Record<string, number>>;
  readonly cut_streams: number;
}

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/** Counts arrivals, including those for which no node was ready. */
const countOffered = ({ report }: LoadWindow): number =>
  report.total.sent + report.noTarget + report.skipped;

/** Counts all requests without a complete answer. */
const countFailed = (window: LoadWindow): number =>
  countOffered(window) - window.report.total.outcomes.answered;

const onTargetFraction = (windows: readonly LoadWindow[]): number =>
  sum(windows.map(({ report }) => report.total.good)) / Math.max(1, sum(windows.map(countOffered)));

/** Counts the failures of a window, less the arrivals that exceeded the capacity. */
function countFailuresWithinCapacity(window: LoadWindow, capacityPerS: number): number {
  const excess = Math.max(0, countOffered(window) - capacityPerS * WINDOW_S);
  return Math.max(0, countFailed(window) - Math.ceil(excess));
}

function addCounts(
  windows: readonly LoadWindow[],
  read: (window: LoadWindow) => Readonly<Record<string, number>>,
): Record<string, number> {
  const total: Record<string, number> = {};
  for (const window of windows) {
    for (const [name, count] of Object.entries(read(window))) {
      if (count > 0) total[name] = (total[name] ?? 0) + count;
    }
  }
  return total;
}

/**
 * Returns the time from the return of the data centre until goodput has recovered, -1 if it has
 * not.
 */
function findRecoveryMs(
  windows: readonly LoadWindow[],
  times: ZoneTimes,
  fractionBefore: number,
): number {
  const after = windows.filter(({ startedAtMs }) => startedAtMs >= times.returnedAtMs);
  for (let i = 0; i < after.length; i += 1) {
    const smoothed = after.slice(i, i + SMOOTHED_WINDOWS);
    const [first] = smoothed;
    if (first !== undefined && onTargetFraction(smoothed) >= RECOVERED_FRACTION * fractionBefore) {
      return Math.max(0, Math.round(first.startedAtMs - times.returnedAtMs));
    }
  }
  return -1;
}

/**
 * Summarises the run. `totalPerS` is the capacity of all data centres, `remainingPerS` that of those
 * in service during the drain. Recovery is found from fractions of the arrivals, so that Poisson
 * noise in their number cancels out.
 */
export function summariseZone(
  windows: readonly LoadWindow[],
  times: ZoneTimes,
  totalPerS: number,
  remainingPerS: number,
): ZoneFigures {
  const endOf = ({ startedAtMs }: LoadWindow): number => startedAtMs + WINDOW_S * MS_PER_S;
  const before = windows.filter((window) => endOf(window) <= times.drainedAtMs);
  const outWindows = windows.filter(
    (window) => endOf(window) > times.drainedAtMs && window.startedAtMs < times.returnedAtMs,
  );
  const outOfServiceS = Math.max(1, outWindows.length) * WINDOW_S;
  const offeredPerS = sum(outWindows.map(countOffered)) / outOfServiceS;
  const goodPerS = sum(outWindows.map(({ report }) => report.total.good)) / outOfServiceS;
  const outOfServiceSet = new Set(outWindows);
  const failuresWithinCapacity = windows.map((w) =>
    countFailuresWithinCapacity(w, outOfServiceSet.has(w) ? remainingPerS : totalPerS),
  );
  const outcomes = addCounts(windows, ({ report }) => report.total.outcomes);
  return {
    goodput_before_per_s: round(
      sum(before.map(({ report }) => report.total.good)) / Math.max(1, before.length * WINDOW_S),
    ),
    goodput_out_per_s: round(goodPerS),
    offered_out_per_s: round(offeredPerS),
    goodput_out_ratio: round(goodPerS / Math.max(0.01, Math.min(offeredPerS, remainingPerS)), 3),
    goodput_back_ms: findRecoveryMs(windows, times, onTargetFraction(before)),
    failed: sum(failuresWithinCapacity),
    failed_total: sum(windows.map(countFailed)),
    outcomes,
    statuses: addCounts(windows, ({ report }) => report.total.refusedByStatus),
    cut_streams: (outcomes.cut ?? 0) + sum(windows.map(({ report }) => report.total.resumed)),
  };
}
