import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createBucket } from '../src/bucket.js';
import { createLentLoans } from '../src/lent-loans.js';

const HOLD_MS = 400;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function createFullBucket() {
  const bucket = createBucket(10, 100);
  bucket.add(100);
  return bucket;
}

test('tokens in flight hold their capacity, so a bucket does not refill before they are used', () => {
  const bucket = createFullBucket();
  bucket.setLimits(1_000, 100);
  bucket.take(60, HOLD_MS);
  vi.advanceTimersByTime(HOLD_MS - 1);
  expect(bucket.balance()).toBe(40);
  vi.advanceTimersByTime(HOLD_MS);
  expect(bucket.balance()).toBe(100);
});

test('a refund adds nothing once the bucket has been full since the charge', () => {
  const bucket = createFullBucket();
  const hold = bucket.take(100, HOLD_MS);
  vi.advanceTimersByTime(20_000);
  bucket.take(100, HOLD_MS);
  vi.advanceTimersByTime(1_000);
  const before = bucket.balance();
  expect(bucket.refund(100, hold.expiresAt)).toBe(0);
  expect(bucket.balance()).toBe(before);
});

test('two refunds together add no more than the free capacity', () => {
  const bucket = createFullBucket();
  const first = bucket.take(50, HOLD_MS);
  const second = bucket.take(50, HOLD_MS);
  vi.advanceTimersByTime(8_000);
  const freeCapacity = bucket.freeCapacity();
  const refunded = bucket.refund(50, first.expiresAt) + bucket.refund(50, second.expiresAt);
  expect(refunded).toBeCloseTo(freeCapacity);
  bucket.take(100, HOLD_MS);
  expect(bucket.refund(50, second.expiresAt)).toBeCloseTo(0);
});

test('a refund before the hold expires replaces the released part of the hold', () => {
  const bucket = createFullBucket();
  const hold = bucket.take(100, HOLD_MS);
  bucket.reduceHold(hold, 70);
  expect(bucket.refund(70, hold.expiresAt)).toBe(70);
  expect(bucket.balance() + bucket.inFlightTokens()).toBe(100);
});

test('a repeated or late settlement of a loan creates no tokens', () => {
  const bucket = createFullBucket();
  const loans = createLentLoans(bucket);
  const organisation = 'org' as never;
  expect(loans.lend({ organisation, id: 'l1', tokens: 80 }, 0).granted).toBe(80);
  expect(loans.lend({ organisation, id: 'l1', tokens: 10 }, 0).granted).toBe(0);
  const settlement = { organisation, id: 'l1', message: 'm1', spent: 0, returned: 30 };
  loans.settle(settlement);
  loans.settle(settlement);
  expect(bucket.balance()).toBe(50);
  vi.advanceTimersByTime(2_000);
  const before = bucket.balance();
  loans.settle({ ...settlement, message: 'm2' });
  expect(bucket.balance()).toBe(before);
});

test('a lower rate applies from its change and not from the last access to the bucket', () => {
  const bucket = createBucket(10, 100);
  vi.advanceTimersByTime(2_000);
  bucket.setLimits(1, 100);
  vi.advanceTimersByTime(3_000);
  expect(bucket.balance()).toBeCloseTo(23);
});
