/** Figures of the zone bench from the windows of its load. */
import type { LoadWindow } from '../harness/load-windows.js';
import { WINDOW_S } from '../harness/load-windows.js';
import { round } from '../harness/statistics.js';

const MS_PER_S = 1_000;
/** Goodput is back when it is within this share of before. */
const BACK_SHARE = 0.95;
/** Windows that are averaged, because one window has few requests. */
const SMOOTHED_WINDOWS = 2;

export interface ZoneTimes {
  /** When the object API had accepted the drain and its removal, by `performance.now()`. */
  readonly outAtMs: number;
  readonly backAtMs: number;
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

/** Arrivals, those without a ready node included. */
const countOffered = ({ report }: LoadWindow): number =>
  report.total.sent + report.noTarget + report.skipped;

/** All requests without a whole answer. */
const countFailed = (window: LoadWindow): number =>
  countOffered(window) - window.report.total.outcomes.answered;

const goodShare = (windows: readonly LoadWindow[]): number =>
  sum(windows.map(({ report }) => report.total.good)) / Math.max(1, sum(windows.map(countOffered)));

/** Failures of a window above the arrivals that exceeded what the capacity allowed in it. */
function countWrongful(window: LoadWindow, capacityPerS: number): number {
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

/** Time from the return until the good share of arrivals is back; -1 when it is not. */
function findBackMs(windows: readonly LoadWindow[], times: ZoneTimes, shareBefore: number): number {
  const after = windows.filter(({ startedAtMs }) => startedAtMs >= times.backAtMs);
  for (let i = 0; i < after.length; i += 1) {
    const smoothed = after.slice(i, i + SMOOTHED_WINDOWS);
    const [first] = smoothed;
    if (first !== undefined && goodShare(smoothed) >= BACK_SHARE * shareBefore) {
      return Math.max(0, Math.round(first.startedAtMs - times.backAtMs));
    }
  }
  return -1;
}

/** Summarises the run. The shares of arrivals are compared, so that Poisson noise cancels out. */
export function summariseZone(
  windows: readonly LoadWindow[],
  times: ZoneTimes,
  wholePerS: number,
  leftPerS: number,
): ZoneFigures {
  const endOf = ({ startedAtMs }: LoadWindow): number => startedAtMs + WINDOW_S * MS_PER_S;
  const before = windows.filter((window) => endOf(window) <= times.outAtMs);
  const out = windows.filter(
    (window) => endOf(window) > times.outAtMs && window.startedAtMs < times.backAtMs,
  );
  const outS = Math.max(1, out.length) * WINDOW_S;
  const offeredOut = sum(out.map(countOffered)) / outS;
  const goodOut = sum(out.map(({ report }) => report.total.good)) / outS;
  const isOut = new Set(out);
  const wrongful = windows.map((w) => countWrongful(w, isOut.has(w) ? leftPerS : wholePerS));
  const outcomes = addCounts(windows, ({ report }) => report.total.outcomes);
  return {
    goodput_before_per_s: round(
      sum(before.map(({ report }) => report.total.good)) / Math.max(1, before.length * WINDOW_S),
    ),
    goodput_out_per_s: round(goodOut),
    offered_out_per_s: round(offeredOut),
    goodput_out_ratio: round(goodOut / Math.max(0.01, Math.min(offeredOut, leftPerS)), 3),
    goodput_back_ms: findBackMs(windows, times, goodShare(before)),
    failed: sum(wrongful),
    failed_total: sum(windows.map(countFailed)),
    outcomes,
    statuses: addCounts(windows, ({ report }) => report.total.refusedByStatus),
    cut_streams: (outcomes.cut ?? 0) + sum(windows.map(({ report }) => report.total.resumed)),
  };
}
