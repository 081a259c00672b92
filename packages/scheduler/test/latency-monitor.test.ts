/** Tests of the adaptive concurrency limit. */
import { expect, test } from 'vitest';
import { createLatencyMonitor } from '../src/latency-monitor.js';

test('a response faster than the resolution of the clock keeps the limit a number', () => {
  const monitor = createLatencyMonitor(8);

  monitor.record(0, 1);

  expect(monitor.limit()).toBe(8);
});
