import { createTelemetry, poolId } from '@hibiscusbank/core';
import { createLease } from '@hibiscusbank/object-api';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createChangingRoles } from '../src/changing-roles.js';
import { createDirectory } from '../src/directory.js';
import type { EntryStore, RoleOrder, ServingTables, ServingUpstream } from '../src/index.js';
import { createLeaseObjects } from '../src/lease-objects.js';
import type { PeerReport } from '../src/peer-reports.js';
import { createPrefillWork } from '../src/prefill-work.js';
import { createRoleOrders } from '../src/role-orders.js';
import type { RoleOrders } from '../src/role-orders.js';
import { createUpstreamLoads } from '../src/upstream-loads.js';
import { createFakeStore } from './support/fake-store.js';
import {
  createFakeTransport,
  createTables,
  createUpstream,
  enginePool,
} from './support/test-node.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.clearAllTimers();
  vi.useRealTimers();
});

const telemetry = createTelemetry({}, () => {});

function createKnownDirectory() {
  const directory = createDirectory(
    {
      tablesName: 'main',
      tables: (value) => value as ServingTables,
      upstream: (_, value) => value as ServingUpstream,
    },
    telemetry,
  );
  const entry = (name: string, value: unknown) => [name, { name, revision: 1, value }] as const;
  directory.setTables(new Map([entry('main', createTables())]));
  directory.setUpstreams(
    new Map(
      Array.from({ length: 8 }, (_, index) =>
        entry(
          `e${index}`,
          createUpstream(`e${index}`, {
            pool: enginePool,
            role: index < 3 ? 'prefill' : 'decode',
          }),
        ),
      ),
    ),
  );
  return directory;
}

interface Site {
  readonly orders: RoleOrder[];
  /** Has a node give the lease up while it runs on, as in a drain. */
  readonly drain: (name: string) => Promise<void> | undefined;
  readonly stop: (name: string) => void;
}

/** Nodes with a lease in one store; those in `alive` hear each other. */
function startNodes(names: readonly string[], leases: EntryStore): Site {
  const orders: RoleOrder[] = [];
  const alive = new Map<string, AbortController>();
  const running = new Map<string, RoleOrders>();
  for (const self of names) {
    const transport = createFakeTransport();
    transport.orderReply = async (order) => {
      orders.push(order);
      return ok(undefined);
    };
    const stop = new AbortController();
    alive.set(self, stop);
    // A process that is gone makes no more calls.
    const own: EntryStore = {
      ...leases,
      read: async (...args) => (stop.signal.aborted ? err('unavailable') : leases.read(...args)),
      write: async (...args) => (stop.signal.aborted ? err('unavailable') : leases.write(...args)),
    };
    const others = () => [...alive.keys()].filter((name) => name !== self);
    const roleOrders = createRoleOrders({
      self,
      peers: others,
      hearsMost: () => (others().length + 1) * 2 >= names.length,
      changing: createChangingRoles(() => []),
      lease: (key) =>
        createLease({ objectApi: createLeaseObjects(own), key, holder: self, telemetry }),
      directory: createKnownDirectory(),
      loads: createUpstreamLoads(),
      prefillLoads: createUpstreamLoads(),
      prefillWork: createPrefillWork(),
      transport,
      onOrdered: () => {},
      telemetry,
    });
    running.set(self, roleOrders);
    void roleOrders.run(stop.signal);
  }
  return {
    orders,
    drain: (name) => running.get(name)?.release(),
    stop: (name) => {
      alive.get(name)?.abort();
      alive.delete(name);
    },
  };
}

// Two nodes that order the same engine within seconds would leave its role to chance.
test('one of several nodes orders, and no engine is ordered twice in a row', async () => {
  const { orders } = startNodes(['n1', 'n2', 'n3', 'n4'], createFakeStore());
  await vi.advanceTimersByTimeAsync(19_000);
  expect(orders).toHaveLength(1);
  expect(orders[0]).toMatchObject({ role: 'decode' });
});

test('orders of the next holder carry a higher epoch and come long after those of the one before', async () => {
  const site = startNodes(['n1', 'n2', 'n3', 'n4'], createFakeStore());
  await vi.advanceTimersByTimeAsync(10_000);
  const [first] = site.orders;
  const endedAt = performance.now();
  site.stop(first?.holder ?? '');
  while (site.orders.length < 2 && performance.now() - endedAt < 60_000) {
    await vi.advanceTimersByTimeAsync(100);
  }
  expect(site.orders[1]?.holder).not.toBe(first?.holder);
  expect(site.orders[1]?.epoch).toBeGreaterThan(first?.epoch ?? Infinity);
  expect(performance.now() - endedAt).toBeGreaterThanOrEqual(3_000);
});

// A node that took the lease while it drains would keep the others from ordering after its end.
test('a node that drains does not take the lease again', async () => {
  const store = createFakeStore();
  const names = ['n1', 'n2', 'n3', 'n4'];
  const { drain } = startNodes(names, store);
  await Promise.all(names.map(drain));
  await vi.advanceTimersByTimeAsync(10_000);
  expect((await store.list())._unsafeUnwrap().entries).toEqual([]);
});

test('a node that hears few of the registered nodes orders nothing', async () => {
  const site = startNodes(['n1', 'n2', 'n3', 'n4'], createFakeStore());
  for (const name of ['n2', 'n3', 'n4']) site.stop(name);
  await vi.advanceTimersByTimeAsync(40_000);
  expect(site.orders).toEqual([]);
});

test('a lease whose write was done and not answered is recognised as the own one', async () => {
  const store = createFakeStore();
  let isLost = true;
  const lossy: EntryStore = {
    ...store,
    write: async (...args) => {
      const written = await store.write(...args);
      if (!isLost) return written;
      isLost = false;
      return err('unavailable');
    },
  };
  const lease = createLease({
    objectApi: createLeaseObjects(lossy),
    key: 'roles',
    holder: 'n1',
    telemetry,
  });
  lease.acquire();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(lease.epochIfHeld()).toBeDefined();
});

test('an engine is changing until it has its new role, by own orders and by those of peers', async () => {
  const own = createUpstream('e1', { role: 'prefill' });
  const peers = createUpstream('e2', { role: 'prefill' });
  const changing = createChangingRoles(() => [
    { changing: { e2: 'prefill' } } as unknown as PeerReport,
  ]);
  changing.recordOrder(own.id, 'prefill');
  expect([own, peers].map(changing.isChanging)).toEqual([true, true]);
  expect(changing.isChanging({ ...own, role: 'decode' })).toBe(false);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(changing.isChanging(own)).toBe(false);
  expect(changing.own()).toEqual({});
});

test('time on prompts is counted once over all nodes, also when one restarts', async () => {
  const work = createPrefillWork();
  const pool = poolId('scribe');
  work.applyPeer('n2', 1, { scribe: 5_000 });
  work.takeMean(pool);
  work.record(pool, 100);
  work.applyPeer('n2', 1, { scribe: 5_300 });
  work.applyPeer('n2', 2, { scribe: 90 });
  await vi.advanceTimersByTimeAsync(500);
  expect(work.takeMean(pool)).toBeCloseTo(0.8);
});
