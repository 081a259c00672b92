import { unwrap } from '@hibiscusbank/core';
import { createLease, putResolved } from '@hibiscusbank/object-api';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFakeObjectApi, createStore, createTestTelemetry } from './support.js';

const KEY = 'leases/cell-1';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

function createLeaseHolder(store: ReturnType<typeof createStore>, holder: string) {
  const { api, faults } = createFakeObjectApi(store);
  const lease = createLease({
    objectApi: api,
    key: KEY,
    holder,
    telemetry: createTestTelemetry(),
  });
  return { lease, faults };
}

test('the epoch stays the same over renewals and rises with the next holder', async () => {
  const store = createStore();
  const first = createLeaseHolder(store, 'a');
  const second = createLeaseHolder(store, 'b');
  first.lease.acquire();
  await vi.advanceTimersByTimeAsync(0);
  const epoch = first.lease.epochIfHeld();
  second.lease.acquire();
  await vi.advanceTimersByTimeAsync(60_000);
  expect(first.lease.epochIfHeld()).toBe(epoch);
  expect(second.lease.epochIfHeld()).toBeUndefined();
  await first.lease.release();
  expect(first.lease.epochIfHeld()).toBeUndefined();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(second.lease.epochIfHeld()).toBeGreaterThan(epoch ?? Infinity);
});

test('a holder that cannot reach the platform stops before another one acquires the lease', async () => {
  const store = createStore();
  const first = createLeaseHolder(store, 'a');
  const second = createLeaseHolder(store, 'b');
  first.lease.acquire();
  second.lease.acquire();
  await vi.advanceTimersByTimeAsync(20_000);
  first.faults.down = true;
  for (let i = 0; i < 400; i += 1) {
    await vi.advanceTimersByTimeAsync(100);
    const holders = [first, second].filter(({ lease }) => lease.epochIfHeld() !== undefined);
    expect(holders.length).toBeLessThanOrEqual(1);
  }
  expect(second.lease.epochIfHeld()).toBeDefined();
});

test('a holder whose process was paused past the expiry no longer holds the lease', async () => {
  const store = createStore();
  const { lease } = createLeaseHolder(store, 'a');
  lease.acquire();
  await vi.advanceTimersByTimeAsync(0);
  vi.spyOn(performance, 'now').mockReturnValue(performance.now() + 13_000);
  expect(lease.epochIfHeld()).toBeUndefined();
  vi.restoreAllMocks();
});

test('lost responses to an acquisition and a renewal are resolved by reading the lease back', async () => {
  const store = createStore();
  const { lease, faults } = createLeaseHolder(store, 'a');
  faults.loseResponses = 1;
  lease.acquire();
  await vi.advanceTimersByTimeAsync(1_000);
  const epoch = lease.epochIfHeld();
  expect(epoch).toBeDefined();
  faults.loseResponses = 1;
  await vi.advanceTimersByTimeAsync(14_000);
  expect(lease.epochIfHeld()).toBe(epoch);
});

test('the validity of an acquisition that takes effect late counts from its send time', async () => {
  const store = createStore();
  const { lease, faults } = createLeaseHolder(store, 'a');
  faults.intercept = (apply) => {
    faults.writesDown = true;
    setTimeout(apply, 12_500);
  };
  lease.acquire();
  await vi.advanceTimersByTimeAsync(14_000);
  expect(store.objects.has(KEY)).toBe(true);
  expect(lease.epochIfHeld()).toBeUndefined();
});

test('a renewal in flight does not revive a released lease', async () => {
  const store = createStore();
  const { lease, faults } = createLeaseHolder(store, 'a');
  lease.acquire();
  await vi.advanceTimersByTimeAsync(4_999);
  faults.responseDelayMs = 100;
  await vi.advanceTimersByTimeAsync(1);
  const released = lease.release();
  await vi.advanceTimersByTimeAsync(1_000);
  await released;
  expect(lease.epochIfHeld()).toBeUndefined();
});

test('a write with a lost response is recognised by its id, and a write with another id conflicts', async () => {
  const store = createStore();
  const { api, faults } = createFakeObjectApi(store);
  faults.loseResponses = 1;
  const first = await putResolved(api, 'k', 1, { ifAbsent: true, writeId: 'w1' });
  expect(unwrap(first).writeId).toBe('w1');
  const second = await putResolved(api, 'k', 2, { ifAbsent: true, writeId: 'w2' });
  expect(second.isErr() && second.error.kind).toBe('conflict');
  const again = await putResolved(api, 'k', 1, { ifAbsent: true, writeId: 'w1' });
  expect(again.isOk()).toBe(true);
});

// The monotonic clock stands still while a VM is suspended, so that it alone would let the resumed
// holder act at the same time as the next one.
test('a holder whose VM was suspended does not hold the lease until it has acquired it again', async () => {
  const store = createStore();
  const { lease } = createLeaseHolder(store, 'a');
  lease.acquire();
  await vi.advanceTimersByTimeAsync(0);
  const epoch = lease.epochIfHeld();
  vi.setSystemTime(Date.now() + 20_000);
  expect(lease.epochIfHeld()).toBeUndefined();
  await vi.advanceTimersByTimeAsync(6_000);
  expect(lease.epochIfHeld()).toBeGreaterThan(epoch ?? Infinity);
});
