import { createTelemetry } from '@hibiscusbank/core';
import { createLease } from '@hibiscusbank/object-api';
import { err } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { EntryStore } from '../src/index.js';
import { createLeaseHistory, createLeaseObjects } from '../src/lease-objects.js';
import { createNodeRegistry } from '../src/node-registry.js';
import { createFakeStore, createTestEra } from './support/fake-store.js';
import type { FakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

const telemetry = createTelemetry({}, () => {});

/** Creates the lease of a node that can be cut off from the store. */
function createHolder(store: FakeStore, holder: string) {
  const era = createTestEra();
  const access = store.connect(era);
  const link = { isCut: false };
  const cuttable: EntryStore = {
    ...access,
    read: async (name) => (link.isCut ? err('unavailable') : access.read(name)),
    write: async (...args) => (link.isCut ? err('unavailable') : access.write(...args)),
  };
  const lease = createLease({
    objectApi: createLeaseObjects(cuttable),
    history: createLeaseHistory(era),
    key: 'roles',
    holder,
    telemetry,
  });
  return { lease, link };
}

const pass = (ms: number): Promise<unknown> => vi.advanceTimersByTimeAsync(ms);

// A restored store gives out revisions again, and with them fencing tokens.
test('the fencing token of a lease taken after a restoration is higher than all before', async () => {
  const store = createFakeStore();
  for (let write = 0; write < 50; write += 1) store.put('other', write);
  const { lease } = createHolder(store, 'a');
  const copy = createFakeStore().copy();
  lease.acquire();
  await pass(100);
  const before = lease.epochIfHeld();
  store.restore(copy);
  await pass(10_000);
  expect(before).toBeDefined();
  expect(lease.epochIfHeld()).toBeGreaterThan(before ?? Infinity);
});

test('a lease held before a restoration is no proof once the node knows of it', async () => {
  const store = createFakeStore();
  const era = createTestEra();
  const lease = createLease({
    objectApi: createLeaseObjects(store.connect(era)),
    history: createLeaseHistory(era),
    key: 'roles',
    holder: 'a',
    telemetry,
  });
  lease.acquire();
  await pass(100);
  expect(lease.epochIfHeld()).toBeDefined();
  era.observe(era.current() + 1);
  expect(lease.epochIfHeld()).toBeUndefined();
});

test.each([0, 2_000, 4_999, 9_000])(
  'nobody takes a lease that a cut-off holder took in the lost seconds, cut %s ms before',
  async (cutMs) => {
    const store = createFakeStore();
    const first = createHolder(store, 'a');
    const second = createHolder(store, 'b');
    const copy = store.copy();
    first.lease.acquire();
    await pass(100);
    expect(first.lease.epochIfHeld()).toBeDefined();
    second.lease.acquire();
    await pass(1_000);
    first.link.isCut = true;
    await pass(cutMs);
    store.restore(copy);
    for (let ms = 0; ms < 30_000; ms += 100) {
      await pass(100);
      const holders = [first, second].filter(({ lease }) => lease.epochIfHeld() !== undefined);
      expect(holders.length).toBeLessThanOrEqual(1);
    }
    expect(second.lease.epochIfHeld()).toBeDefined();
  },
);

// Otherwise each node would take shares of rates as if it were alone.
test('nodes that a restored registry lacks stay in the fleet while they report', async () => {
  const store = createFakeStore();
  const silent = new Set<string>();
  const copy = store.copy();
  for (const port of [1, 2, 3]) store.put(`n${port}`, { host: '10.0.0.1', port, dataCentre: 'a' });
  const registry = createNodeRegistry({
    self: { node: 'n0', host: '10.0.0.1', port: 0, dataCentre: 'a' },
    store,
    telemetry,
    isReachable: (node) => !silent.has(node),
    peerTimeoutMs: () => 1_200,
  });
  const stopping = new AbortController();
  void registry.run(stopping.signal);
  await pass(3_000);
  store.restore(copy);
  await pass(3_000);
  expect(registry.names()).toEqual(['n0', 'n1', 'n2', 'n3']);
  silent.add('n3');
  await pass(3_000);
  expect(registry.names()).toEqual(['n0', 'n1', 'n2']);
  expect((await store.list())._unsafeUnwrap().entries.map(({ name }) => name)).toEqual(['n0']);
  stopping.abort();
});
