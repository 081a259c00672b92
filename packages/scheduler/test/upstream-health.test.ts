import { grantId } from '@hibiscusbank/core';
import { expect, test } from 'vitest';
import { createFailureBackoff } from '../src/failure-backoff.js';
import { createLatencyMonitor } from '../src/latency-monitor.js';
import { createPrefillBacklog } from '../src/prefill-backlog.js';
import { createSlowStart } from '../src/slow-start.js';

// Guards against a limit that grows faster than one doubling per step.
test('slow start at most doubles within a step however many requests succeed', () => {
  const slowStart = createSlowStart({ capacity: 64, coldLimit: 2, coldStepMs: 1_000 }, 0);
  for (let i = 0; i < 500; i += 1) slowStart.recordSuccess(500);
  expect(slowStart.level()).toBe(4);
  for (let i = 0; i < 500; i += 1) slowStart.recordSuccess(1_000);
  expect(slowStart.level()).toBe(8);
});

// Guards against an upstream that never becomes warm.
test('slow start ends at the capacity', () => {
  const slowStart = createSlowStart({ capacity: 5, coldLimit: 2, coldStepMs: 100 }, 0);
  for (let now = 0; now < 10_000; now += 50) slowStart.recordSuccess(now);
  expect(slowStart.isCold()).toBe(false);
  expect(slowStart.level()).toBe(5);
});

// Guards against a limit that does not protect an overloaded upstream.
test('rising latency lowers the limit of a plain upstream, normal latency raises it', () => {
  const monitor = createLatencyMonitor(40);
  for (let i = 0; i < 50; i += 1) monitor.record(10, 40);
  expect(monitor.limit()).toBe(40);
  for (let i = 0; i < 50; i += 1) monitor.record(45, 40);
  const lowered = monitor.limit();
  expect(lowered).toBeLessThan(20);
  expect(lowered).toBeGreaterThanOrEqual(1);
  for (let i = 0; i < 200; i += 1) monitor.record(10, 40);
  expect(monitor.limit()).toBe(40);
});

// Guards against a restart of slow start because of one slow response.
test('an upstream counts as cold after three responses over 5 times the median', () => {
  const monitor = createLatencyMonitor(4);
  for (let i = 0; i < 20; i += 1) expect(monitor.record(10, 1)).toBe(false);
  expect(monitor.record(60, 1)).toBe(false);
  expect(monitor.record(60, 1)).toBe(false);
  expect(monitor.record(60, 1)).toBe(true);
});

// Guards against an ejection after a single failure, and against a backoff that never grows.
test('consecutive failures double the time for which an upstream is ejected', () => {
  const backoff = createFailureBackoff();
  backoff.recordFailure(0);
  expect(backoff.state(0)).toBe('healthy');
  backoff.recordFailure(0);
  expect(backoff.state(499)).toBe('ejected');
  expect(backoff.state(500)).toBe('probing');
  backoff.recordFailure(500);
  expect(backoff.state(1_499)).toBe('ejected');
  expect(backoff.state(1_500)).toBe('probing');
  backoff.recordSuccess();
  expect(backoff.state(1_500)).toBe('healthy');
});

// Guards against an overdue prefill that hides the prefills queued behind it.
test('only the running prefill shortens the backlog of its engine', () => {
  const backlog = createPrefillBacklog();
  backlog.add(grantId('a'), 100, 0);
  backlog.add(grantId('b'), 200, 0);
  expect(backlog.remainingMs(50)).toBe(250);
  expect(backlog.remainingMs(500)).toBe(200);
  backlog.remove(grantId('a'), 500);
  expect(backlog.remainingMs(600)).toBe(100);
  backlog.remove(grantId('b'), 700);
  expect(backlog.remainingMs(700)).toBe(0);
});
