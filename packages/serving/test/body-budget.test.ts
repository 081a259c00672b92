import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createBodyBudget } from '../src/memory/index.js';

const KIB = 1_024;
const TOTAL = 1_024 * KIB;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function openBody(budget = createBodyBudget(TOTAL)) {
  const onGiveUp = vi.fn();
  return { hold: budget.open(onGiveUp), onGiveUp };
}

test('bodies that arrive are not given up for others', () => {
  const budget = createBodyBudget(TOTAL);
  const first = openBody(budget);
  expect(first.hold.reserve(700 * KIB)).toBe(true);
  expect(openBody(budget).hold.reserve(200 * KIB)).toBe(false);
  expect(first.onGiveUp).not.toHaveBeenCalled();
  first.hold.release();
  expect(openBody(budget).hold.reserve(200 * KIB)).toBe(true);
});

test('the largest body that stalls is given up when another one needs its memory', () => {
  const budget = createBodyBudget(TOTAL);
  const [small, large] = [openBody(budget), openBody(budget)];
  small.hold.reserve(100 * KIB);
  large.hold.reserve(600 * KIB);
  vi.advanceTimersByTime(1_000);
  expect(openBody(budget).hold.reserve(500 * KIB)).toBe(true);
  expect(large.onGiveUp).toHaveBeenCalledOnce();
  expect(small.onGiveUp).not.toHaveBeenCalled();
  expect(large.hold.reserve(700 * KIB)).toBe(false);
});

test('a body that drips is given up although it never stalls', () => {
  const budget = createBodyBudget(TOTAL);
  const dripping = openBody(budget);
  dripping.hold.reserve(700 * KIB);
  for (let second = 0; second < 3; second += 1) {
    vi.advanceTimersByTime(900);
    dripping.hold.recordProgress(1);
  }
  expect(openBody(budget).hold.reserve(500 * KIB)).toBe(true);
  expect(dripping.onGiveUp).toHaveBeenCalledOnce();
});

test('a body that has arrived keeps its memory until its request ends', () => {
  const budget = createBodyBudget(TOTAL);
  const whole = openBody(budget);
  whole.hold.reserve(700 * KIB);
  whole.hold.recordProgress(700 * KIB);
  whole.hold.complete();
  vi.advanceTimersByTime(60_000);
  expect(openBody(budget).hold.reserve(500 * KIB)).toBe(false);
});

test('large bodies leave room for small ones', () => {
  const budget = createBodyBudget(TOTAL);
  while (openBody(budget).hold.reserve(128 * KIB));
  expect(openBody(budget).hold.reserve(8 * KIB)).toBe(true);
});

test('the number of bodies that wait is bounded', () => {
  const budget = createBodyBudget(TOTAL);
  const waits = [];
  for (let end = budget.beginWait(); end !== undefined; end = budget.beginWait()) waits.push(end);
  expect(waits).toHaveLength(4);
  waits[0]?.();
  expect(budget.beginWait()).toBeDefined();
});

// A node may run hundreds of requests whose bodies came without a length.
test('a body that has arrived keeps only its length', () => {
  const budget = createBodyBudget(TOTAL);
  const { hold } = openBody(budget);
  hold.reserve(16 * KIB);
  hold.recordProgress(600);
  hold.complete();
  expect(budget.reservedBytes()).toBe(600);
});
