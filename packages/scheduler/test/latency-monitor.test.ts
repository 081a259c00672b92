/** Tests of the adaptive concurrency limit. */
import { expect, test } from 'vitest';
import { createLatencyMonitor } from '../src/latency-monitor.js';

test('the limit stays a number after a response faster than the clock resolution', () => {
  const monitor = createLatencyMonitor(8);

  monitor.record(0, 1);

  expect(monitor.limit()).toBe(8);
});
