import type { LoadReport } from '@hibiscusbank/standins';
import { expect, test } from 'vitest';
import { summariseZone } from '../src/benches/zone-figures.js';

const createWindow = (second: number, sent: number, good: number) => {
  const outcomes = { answered: good, not_run: sent - good };
  const total = { sent, good, outcomes, refusedByStatus: {}, resumed: 0 };
  const report = { total, skipped: 0, noTarget: 0 } as unknown as LoadReport;
  return { startedAtMs: second * 1_000, report };
};

const times = { outAtMs: 1_000, backAtMs: 2_000 };

// Guards against refusals that are counted although the arrivals exceeded the capacity left.
test('only failures within the capacity that is left count as failed', () => {
  const windows = [createWindow(0, 90, 90), createWindow(1, 110, 95), createWindow(2, 90, 90)];
  expect(summariseZone(windows, times, 150, 100)).toMatchObject({ failed: 5, failed_total: 15 });
});

// Guards against an outage that looks better because less was offered than the capacity left.
test('goodput while out is compared with the smaller of offered load and capacity', () => {
  const windows = [createWindow(0, 90, 90), createWindow(1, 80, 60), createWindow(2, 90, 90)];
  expect(summariseZone(windows, times, 150, 100).goodput_out_ratio).toBe(0.75);
});

// Guards against a return that counts as done while goodput is still low.
test('goodput is back in the first window that reaches 95% of before', () => {
  const good = [100, 90, 50, 60, 100, 100];
  const windows = good.map((count, second) => createWindow(second, 100, count));
  expect(summariseZone(windows, times, 150, 100).goodput_back_ms).toBe(2_000);
});
