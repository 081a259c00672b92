import { poolId } from '@hibiscusbank/core';
import { expect, test } from 'vitest';
import { createRunDurations } from '../src/run-durations.js';

const pool = poolId('engines');
const output = (maxTokens: number, expectedTokens = maxTokens) => ({
  reads: 10,
  maxTokens,
  maxEvents: maxTokens / 10,
  expectedTokens,
});

test('the duration of a run is not known before a run of its pool has ended', () => {
  const durations = createRunDurations();
  durations.record(poolId('others'), { firstMs: 10, restMs: 0, ...output(0) });
  expect(durations.estimateMs(pool, output(100), 1)).toBeUndefined();
});

// A stream that is taken although it takes longer than the time left of a drain is cut off.
test('a run is expected to take longer than the slowest recent run per token', () => {
  const durations = createRunDurations();
  durations.record(pool, { firstMs: 200, restMs: 4_000, ...output(1_000) });
  durations.record(pool, { firstMs: 300, restMs: 500, ...output(250) });
  const slowest = output(500);
  const expected = durations.estimateMs(pool, { ...slowest, maxEvents: 0 }, 1) ?? 0;
  expect(expected).toBeGreaterThan(300 + 2_000);
  expect(expected).toBeLessThan(2 * (300 + 2_000));
});

// One slow run would otherwise send callers to other nodes for as long as the node runs.
test('a slow run is forgotten after enough other runs', () => {
  const durations = createRunDurations();
  durations.record(pool, { firstMs: 3_000, restMs: 9_000, ...output(100) });
  for (let run = 0; run < 100; run += 1)
    durations.record(pool, { firstMs: 100, restMs: 100, ...output(100) });
  expect(durations.estimateMs(pool, output(100), 1)).toBeLessThan(500);
});

// A node that took every request as one that generates its maximum would refuse nearly all of them.
test('a share of runs ends earlier than the longest, as the estimates of callers tell', () => {
  const durations = createRunDurations();
  for (let run = 1; run <= 10; run += 1)
    durations.record(pool, { firstMs: 100, restMs: run * 100, ...output(1_000, 100) });
  expect(durations.estimateMs(pool, output(1_000, 100), 0.5)).toBe(600);
  expect(durations.estimateMs(pool, output(1_000, 200), 0.5)).toBe(1_100);
  expect(durations.estimateMs(pool, output(1_000, 100), 1)).toBeGreaterThan(1_100);
});

test('an estimate of a caller is not believed beyond the maximum that it asked for', () => {
  const durations = createRunDurations();
  durations.record(pool, { firstMs: 0, restMs: 1_000, ...output(100, 10) });
  expect(durations.estimateMs(pool, output(100, 100), 0.9)).toBeLessThan(2_000);
});

// A node that had just started knew short runs only, and took streams that were then cut off.
test('a run is expected to last for all events of its maximum output', () => {
  const durations = createRunDurations();
  durations.record(pool, { firstMs: 100, restMs: 500, ...output(1_000) });
  expect(durations.estimateMs(pool, output(1_000), 1)).toBeGreaterThan(5_000);
});
