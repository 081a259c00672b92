import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createAnsweredParts } from '../src/answered-parts.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

test('an answer counts for a minute, whichever node got it', () => {
  const answered = createAnsweredParts();
  answered.record(['own']);
  answered.learn({ part: 'told', ageMs: 30_000 });
  vi.advanceTimersByTime(30_000);
  expect(['own', 'told', 'other'].map(answered.isRecent)).toEqual([true, true, false]);
  vi.advanceTimersByTime(30_001);
  expect(answered.isRecent('own')).toBe(false);
});

// Guards against a message of every node of a large fleet at every end of an upstream.
test('peers are told of an answer once, and again before what they know is too old', () => {
  const answered = createAnsweredParts();
  answered.record(['guide', 'subject']);
  answered.learn({ part: 'subject', ageMs: 10 });
  expect(answered.takeUntold(['guide', 'guide', 'subject', 'other'])).toEqual([
    { part: 'guide', ageMs: 0 },
  ]);
  answered.record(['guide']);
  expect(answered.takeUntold(['guide'])).toEqual([]);
  vi.advanceTimersByTime(31_000);
  answered.record(['guide']);
  expect(answered.takeUntold(['guide'])).toEqual([{ part: 'guide', ageMs: 0 }]);
});

// Guards against memory that grows with callers who send endless new parts.
test('the parts that were answered longest ago are forgotten first', () => {
  const answered = createAnsweredParts();
  answered.record(['guide', 'once']);
  for (let index = 0; index < 10_000; index += 1) {
    answered.record([`part-${index}`]);
    if (index === 5_000) answered.record(['guide']);
  }
  expect(['guide', 'once'].map(answered.isRecent)).toEqual([true, false]);
});
