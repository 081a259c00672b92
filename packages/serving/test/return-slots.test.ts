import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createReturnSlots } from '../src/memory/return-slots.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

// Guards against a hundred refused callers that all come back after the same second.
test('refused callers return one after the other, and the last after a minute', () => {
  const slots = createReturnSlots({ intervalMs: 250, minMs: 1_000, maxMs: 60_000 });
  expect([slots.take(), slots.take(), slots.take()]).toEqual([1_000, 1_250, 1_500]);
  for (let index = 0; index < 400; index += 1) slots.take();
  expect(slots.take()).toBe(60_000);
  vi.advanceTimersByTime(59_750);
  expect(slots.take()).toBe(1_000);
});
