import type { LoadReport } from '@hibiscusbank/standins';
import { expect, test } from 'vitest';
import { summariseZone } from '../src/benches/zone-figures.js';

const createWindow = (second: number, sent: number, good: number) => {
  const outcomes = { answered: good, not_run: sent - good };
  const total = { sent, good, outcomes, refusedByStatus: {}, resumed: 0 };
  const report = { total, skipped: 0, noTarget: 0 } as unknown as LoadReport;
  return { startedAtMs: second * 1_000, report };
};

const times = { drainedAtMs: 1_000, returnedAtMs: 2_000 };

// Guards against counting refusals of arrivals that exceeded the remaining capacity.
test('only failures within the remaining capacity count as failed', () => {
  const windows = [createWindow(0, 90, 90), createWindow(1, 110, 95), createWindow(2, 90, 90)];
  expect(summariseZone(windows, times, 150, 100)).toMatchObject({ failed: 5, failed_total: 15 });
});

// Guards against a ratio that changes because less load was offered than the remaining capacity.
test('goodput out of service is relative to the smaller of offered load and capacity', () => {
  const windows = [createWindow(0, 90, 90), createWindow(1, 80, 60), createWindow(2, 90, 90)];
  expect(summariseZone(windows, times, 150, 100).goodput_out_ratio).toBe(0.75);
});

// Guards against a recovery time that ends while goodput is still low.
test('goodput has recovered in the first window that reaches 95% of its value before', () => {
  const good = [100, 90, 50, 60, 100, 100];
  const windows = good.map((count, second) => createWindow(second, 100, count));
  expect(summariseZone(windows, times, 150, 100).goodput_back_ms).toBe(2_000);
});
