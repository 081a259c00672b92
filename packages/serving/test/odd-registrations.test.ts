import { createTelemetry } from '@hibiscusbank/core';
import { createLease } from '@hibiscusbank/object-api';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createLeaseObjects } from '../src/lease-objects.js';
import { createNodeRegistry } from '../src/node-registry.js';
import { createFakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const telemetry = createTelemetry({}, () => {});

// A datagram to such a port throws in a timer, which would end the process.
test.each([
  { host: '127.0.0.1', port: 99_999 },
  { host: '127.0.0.1', port: 0 },
  { host: '127.0.0.1', port: 80.5 },
  { host: '127.0.0.1', port: Infinity },
  { host: 7, port: 80 },
  { host: '127.0.0.1', port: 80, dataCentre: [] },
  null,
  'text',
])('a registration that names no node is left out (%j)', async (odd) => {
  const store = createFakeStore();
  store.put('odd', odd);
  store.put('n1', { host: '127.0.0.1', port: 9, dataCentre: 'a' });
  const registry = createNodeRegistry({
    self: { node: 'n0', host: '127.0.0.1', port: 8, dataCentre: 'a' },
    store,
    telemetry,
    isReachable: () => true,
    peerTimeoutMs: () => 1_200,
  });
  const stop = new AbortController();
  void registry.run(stop.signal);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(registry.names()).toEqual(['n0', 'n1']);
  stop.abort();
});

test.each([null, 'text', {}, { held: 3 }, { held: null, writeId: [] }])(
  'an odd object in the place of a lease counts as held by an unknown holder (%j)',
  async (odd) => {
    const store = createFakeStore();
    store.put('roles', odd);
    const objectApi = createLeaseObjects(store);
    const lease = createLease({ objectApi, key: 'roles', holder: 'n0', telemetry });
    lease.acquire();
    await vi.advanceTimersByTimeAsync(14_000);
    expect(lease.epochIfHeld()).toBeUndefined();
    await vi.advanceTimersByTimeAsync(4_000);
    expect(lease.epochIfHeld()).toBeDefined();
  },
);
