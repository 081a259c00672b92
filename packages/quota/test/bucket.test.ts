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

test('tokens in flight keep their room, so a bucket does not refill before they are used', () => {
  const bucket = createFullBucket();
  bucket.setLimits(1_000, 100);
  bucket.take(60, HOLD_MS);
  vi.advanceTimersByTime(HOLD_MS - 1);
  expect(bucket.balance()).toBe(40);
  vi.advanceTimersByTime(HOLD_MS);
  expect(bucket.balance()).toBe(100);
});

test('a refund gives nothing back once the bucket has been full in between', () => {
  const bucket = createFullBucket();
  const hold = bucket.take(100, HOLD_MS);
  vi.advanceTimersByTime(20_000);
  bucket.take(100, HOLD_MS);
  vi.advanceTimersByTime(1_000);
  const before = bucket.balance();
  expect(bucket.addBack(100, hold.until)).toBe(0);
  expect(bucket.balance()).toBe(before);
});

test('two refunds together give back no more than the room that was left', () => {
  const bucket = createFullBucket();
  const first = bucket.take(50, HOLD_MS);
  const second = bucket.take(50, HOLD_MS);
  vi.advanceTimersByTime(8_000);
  const room = bucket.room();
  const refunded = bucket.addBack(50, first.until) + bucket.addBack(50, second.until);
  expect(refunded).toBeCloseTo(room);
  bucket.take(100, HOLD_MS);
  expect(bucket.addBack(50, second.until)).toBeCloseTo(0);
});

test('a refund before the grant has ended takes the place of the grant', () => {
  const bucket = createFullBucket();
  const hold = bucket.take(100, HOLD_MS);
  bucket.shrinkHold(hold, 70);
  expect(bucket.addBack(70, hold.until)).toBe(70);
  expect(bucket.balance() + bucket.held()).toBe(100);
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

test('a lower rate counts from its change and not from the last use', () => {
  const bucket = createBucket(10, 100);
  vi.advanceTimersByTime(2_000);
  bucket.setLimits(1, 100);
  vi.advanceTimersByTime(3_000);
  expect(bucket.balance()).toBeCloseTo(23);
});
