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
      rollout: () => undefined,
      tablesOrder: () => undefined,
      upstreamOrder: () => undefined,
    },
    telemetry,
  );
  const entry = (name: string, value: unknown) =>
    [name, { name, era: 1, revision: 1, value }] as const;
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

interface TestFleet {
  readonly orders: RoleOrder[];
  /** Makes a node release the lease while it keeps running, as in a drain. */
  readonly drain: (name: string) => Promise<void> | undefined;
  readonly stop: (name: string) => void;
}

/** Starts nodes that share a lease store; those in `alive` have contact with each other. */
function startNodes(names: readonly string[], leases: EntryStore): TestFleet {
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
    // A stopped process makes no more calls.
    const nodeStore: EntryStore = {
      ...leases,
      read: async (...args) => (stop.signal.aborted ? err('unavailable') : leases.read(...args)),
      write: async (...args) => (stop.signal.aborted ? err('unavailable') : leases.write(...args)),
    };
    const others = () => [...alive.keys()].filter((name) => name !== self);
    const roleOrders = createRoleOrders({
      self,
      peers: others,
      reachesMajority: () => (others().length + 1) * 2 > names.length,
      changing: createChangingRoles(() => []),
      lease: (key) =>
        createLease({ objectApi: createLeaseObjects(nodeStore), key, holder: self, telemetry }),
      directory: createKnownDirectory(),
      loads: createUpstreamLoads(),
      prefillLoads: createUpstreamLoads(),
      prefillWork: createPrefillWork(),
      transport,
      isRollingOut: () => false,
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

// Conflicting orders of two nodes to one engine within seconds would leave its role undetermined.
test('only one of several nodes sends orders, and it orders no engine twice in a row', async () => {
  const { orders } = startNodes(['n1', 'n2', 'n3', 'n4'], createFakeStore());
  await vi.advanceTimersByTimeAsync(19_000);
  expect(orders).toHaveLength(1);
  expect(orders[0]).toMatchObject({ role: 'decode' });
});

test('orders of the next lease holder have a higher epoch and follow after a pause', async () => {
  const fleet = startNodes(['n1', 'n2', 'n3', 'n4'], createFakeStore());
  await vi.advanceTimersByTimeAsync(10_000);
  const [first] = fleet.orders;
  const endedAt = performance.now();
  fleet.stop(first?.holder ?? '');
  while (fleet.orders.length < 2 && performance.now() - endedAt < 60_000) {
    await vi.advanceTimersByTimeAsync(100);
  }
  expect(fleet.orders[1]?.holder).not.toBe(first?.holder);
  expect(fleet.orders[1]?.epoch).toBeGreaterThan(first?.epoch ?? Infinity);
  expect(performance.now() - endedAt).toBeGreaterThanOrEqual(3_000);
});

// A draining node that took the lease again would delay the orders of the next holder.
test('a draining node does not acquire the lease again', async () => {
  const store = createFakeStore();
  const names = ['n1', 'n2', 'n3', 'n4'];
  const { drain } = startNodes(names, store);
  await Promise.all(names.map(drain));
  await vi.advanceTimersByTimeAsync(10_000);
  expect((await store.list())._unsafeUnwrap().entries).toEqual([]);
});

test('a node with contact to a minority of the registered nodes sends no orders', async () => {
  const fleet = startNodes(['n1', 'n2', 'n3', 'n4'], createFakeStore());
  for (const name of ['n2', 'n3', 'n4']) fleet.stop(name);
  await vi.advanceTimersByTimeAsync(40_000);
  expect(fleet.orders).toEqual([]);
});

test('a lease write that succeeded without a response is recognised as a write of this node', async () => {
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

test('an engine counts as changing until it has its new role, whether this node or a peer sent the order', async () => {
  const orderedLocally = createUpstream('e1', { role: 'prefill' });
  const orderedByPeer = createUpstream('e2', { role: 'prefill' });
  const changing = createChangingRoles(() => [
    { changing: { e2: 'prefill' } } as unknown as PeerReport,
  ]);
  changing.recordOrder(orderedLocally.id, 'prefill');
  expect([orderedLocally, orderedByPeer].map(changing.isChanging)).toEqual([true, true]);
  expect(changing.isChanging({ ...orderedLocally, role: 'decode' })).toBe(false);
  await vi.advanceTimersByTimeAsync(20_000);
  expect(changing.isChanging(orderedLocally)).toBe(false);
  expect(changing.localOrders()).toEqual({});
});

test('prefill time is counted once over all nodes, also after a restart of one', async () => {
  const work = createPrefillWork();
  const pool = poolId('engines');
  work.applyPeer('n2', 1, { engines: 5_000 });
  work.takeMean(pool);
  work.record(pool, 100);
  work.applyPeer('n2', 1, { engines: 5_300 });
  work.applyPeer('n2', 2, { engines: 90 });
  await vi.advanceTimersByTimeAsync(500);
  expect(work.takeMean(pool)).toBeCloseTo(0.8);
});
