import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createDrainTime } from '../src/drain-time.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// A request that waits when the drain begins was planned without its end.
test('work that was pending before the drain is told once it can no longer end', () => {
  const drain = createDrainTime();
  const told: string[] = [];
  drain.onTooLate(3_000, () => told.push('long'));
  drain.onTooLate(500, () => told.push('short'));
  expect(drain.leftMs()).toBe(Infinity);
  drain.begin(performance.now() + 7_500);
  vi.advanceTimersByTime(4_400);
  expect(told).toEqual([]);
  vi.advanceTimersByTime(200);
  expect(told).toEqual(['long']);
  vi.advanceTimersByTime(2_500);
  expect(told).toEqual(['long', 'short']);
});

test('work that begins in the drain is told at once when it takes longer than the time left', () => {
  const drain = createDrainTime();
  drain.begin(performance.now() + 1_000);
  let isTold = false;
  drain.onTooLate(1_001, () => {
    isTold = true;
  });
  vi.advanceTimersByTime(1);
  expect(isTold).toBe(true);
});

test('work that has ended is not told', () => {
  const drain = createDrainTime();
  let isTold = false;
  const cancel = drain.onTooLate(3_000, () => {
    isTold = true;
  });
  drain.begin(performance.now() + 7_500);
  cancel();
  vi.advanceTimersByTime(7_500);
  expect(isTold).toBe(false);
});

// A series of signals would otherwise move the end of the process.
test('a second begin does not move the end of a drain', () => {
  const drain = createDrainTime();
  drain.begin(performance.now() + 7_500);
  drain.begin(performance.now() + 20_000);
  expect(drain.leftMs()).toBe(7_500);
});
