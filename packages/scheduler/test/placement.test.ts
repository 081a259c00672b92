import { upstreamId, vmId } from '@hibiscusbank/core';
import type { Grant } from '@hibiscusbank/scheduler';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { placeMany, plainPool, serverOf, warmUp } from './helpers.js';
import {
  advance,
  createFleet,
  modelPool,
  request,
  settle,
  unwrap,
  unwrapError,
} from './support.js';
import type { Fleet } from './support.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

// Guards against an owner that stops placing when the platform is down and its lease has expired.
test('an owner without its lease continues to place on warm upstreams', async () => {
  const fleet = await createFleet(['a1'], plainPool(1));
  fleet.leases.set(vmId('a1'), 7);
  await warmUp(fleet);
  fleet.leases.set(vmId('a1'), undefined);
  expect(await placeMany(fleet, 1)).toHaveLength(1);
});

// Guards against a heavy organisation whose queue delays or refuses the requests of others.
test('a light organisation is served next while a heavy one fills the queue', async () => {
  const fleet = await createFleet(['a1'], plainPool(1));
  const running = await placeMany(fleet, 4, 'a1', { org: 'heavy' });
  const heavy = Array.from({ length: 200 }, () =>
    fleet.place('a1', request({ org: 'heavy', promptTokens: 0, patienceMs: 3_000 })),
  );
  await advance(20);
  const light = fleet.place('a1', request({ org: 'light', promptTokens: 0, patienceMs: 3_000 }));
  await advance(20);
  const { scheduler } = fleet.node('a1');
  running.slice(0, 2).forEach((grant) => scheduler.release(grant, { outcome: 'completed' }));
  let served = false;
  void light.then((result) => {
    served = result.isOk();
  });
  await advance(20);
  expect(served).toBe(true);
  await settle(Promise.all(heavy));
});

// Guards against a Retry-After that is too short, so that the request is refused again.
test('a refused request is accepted after its Retry-After', async () => {
  const fleet = await createFleet(['a1'], modelPool());
  const waiting = Array.from({ length: 8 }, () =>
    fleet.place('a1', request({ promptTokens: 8_000 })),
  );
  await advance(20);
  const placeWithShortWait = (): ReturnType<Fleet['place']> =>
    fleet.place('a1', request({ org: 'other', promptTokens: 1_000, patienceMs: 300 }));
  const error = unwrapError(await settle(placeWithShortWait()));
  await advance(error.retryAfterMs ?? 0);
  const repeated = placeWithShortWait();
  const { scheduler } = fleet.node('a1');
  (await settle(Promise.all(waiting.slice(0, 2)))).map(unwrap).forEach((grant) => {
    scheduler.finishPrefill(grant, { outcome: 'completed' });
    scheduler.release(grant, { outcome: 'completed' });
  });
  expect((await settle(repeated)).isOk()).toBe(true);
});

// Guards against full load on an upstream that has just started.
test('a cold upstream is limited to its cold limit, and to its capacity after successes', async () => {
  const fleet = await createFleet(['a1'], plainPool(1, { capacity: 8, coldLimit: 2 }));
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(2);
  await warmUp(fleet, 20);
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(8);
  const [grant] = await placeMany(fleet, 1);
  fleet.node('a1').scheduler.release(grant!, { outcome: 'cold', upstream: upstreamId('s0') });
  await advance(50);
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(2);
});

// Guards against two owners that each use the whole cold limit.
test('without the lease only the VMs with a cold share use a cold upstream, half the limit each', async () => {
  const fleet = await createFleet(['a1'], plainPool(1, { capacity: 8, coldLimit: 5 }));
  fleet.leases.set(vmId('a1'), undefined);
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(0);
  fleet.coldShare.add(vmId('a1'));
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(2);
});

// Guards against a slow start of warm upstreams after each change of owner.
test('a new owner collects from the nodes that upstreams are warm', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1, { capacity: 8, coldLimit: 2 }));
  await warmUp(fleet, 20);
  await placeMany(fleet, 1);
  if (fleet.owner().vm === 'a1') fleet.setState('a1', 'leaving');
  else {
    await fleet.kill('a2');
    fleet.setState('a2', 'dead');
  }
  await advance(1_200);
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(8);
});

// Guards against full load on an upstream whose caches are cold after its return to service.
test('an upstream that returns to service starts at half its capacity', async () => {
  const fleet = await createFleet(['a1'], plainPool(1, { capacity: 8, coldLimit: 2 }));
  await warmUp(fleet, 20);
  fleet.setOutOfService('s0', true);
  fleet.setOutOfService('s0', false);
  expect(fleet.owner().scheduler.ownedCells()[0]?.slots).toBe(4);
});

// Guards against traffic to a failing upstream, and against avoiding all upstreams.
test('a failing upstream is avoided, but requests are placed when all upstreams fail', async () => {
  const fleet = await createFleet(['a1'], plainPool(3));
  const { scheduler } = fleet.node('a1');
  const fail = (grant: Grant): void =>
    scheduler.release(grant, { outcome: 'failed', upstream: upstreamId(serverOf(grant)) });
  const first = (await placeMany(fleet, 6)).filter((grant) => serverOf(grant) === 's0');
  first.forEach(fail);
  await advance(50);
  const next = await placeMany(fleet, 3);
  expect(next.map(serverOf)).not.toContain('s0');
  next.forEach(fail);
  (await placeMany(fleet, 3)).forEach(fail);
  await advance(10);
  expect((await settle(fleet.place('a1', request({ promptTokens: 0 })))).isOk()).toBe(true);
});

// Guards against prefills whose KV cache fits on no decode engine.
test('no prefill starts without a free decode slot and free memory', async () => {
  const fleet = await createFleet(['a1'], modelPool('a', { memoryBlocks: 2, coldLimit: 4 }));
  const big = { promptTokens: 1_500, maxTokens: 400, patienceMs: 1_500 };
  const results = [1, 2, 3].map(() => fleet.place('a1', request(big)));
  const settled = await settle(Promise.all(results));
  expect(settled.filter((result) => result.isOk())).toHaveLength(2);
});

// Guards against cache affinity that overloads one engine.
test('the engine with the cached prefix is chosen unless its backlog exceeds the saving', async () => {
  const fleet = await createFleet(['a1'], modelPool());
  fleet.findCachedTokens = (id) => (id === 'p2' ? 400 : 0);
  const place = async (): Promise<Grant> =>
    unwrap(await settle(fleet.place('a1', request({ promptTokens: 1_000, prefixHashes: [1] }))));
  const prefillOf = (grant: Grant) =>
    grant.target.kind === 'model' ? grant.target.prefill.upstream : undefined;
  expect(prefillOf(await place())).toBe('p2');
  expect(prefillOf(await place())).toBe('p1');
});

// Guards against prefills for clients that will have disconnected.
test('a request that cannot be served within its maximum wait is refused at once', async () => {
  const fleet = await createFleet(['a1'], modelPool());
  const started = Date.now();
  const result = await settle(
    fleet.place('a1', request({ promptTokens: 20_000, patienceMs: 500 })),
  );
  const error = unwrapError(result);
  expect(error.kind).toBe('no_capacity');
  expect(error.effect).toBe('not_run');
  expect(error.retryAfterMs).toBeGreaterThanOrEqual(1_000);
  expect(Date.now() - started).toBeLessThan(100);
});

// Guards against engines that are never used because their table entry has no memory blocks.
test('an engine without declared memory is limited only by its slots', async () => {
  const fleet = await createFleet(['a1'], modelPool('a', { memoryBlocks: 0 }));
  expect((await settle(fleet.place('a1', request({ promptTokens: 5_000 })))).isOk()).toBe(true);
});

/** Sends a request every `everyMs` for 10 s, holds its slot for 100 ms and counts the results. */
function sendSteadily(fleet: Fleet, org: string, everyMs: number) {
  const count = { sent: 0, served: 0, waitMs: 0 };
  const { scheduler } = fleet.node('a1');
  const sendOne = async (): Promise<void> => {
    count.sent += 1;
    const startedAt = Date.now();
    const placed = await fleet.place('a1', request({ org, promptTokens: 0, patienceMs: 2_000 }));
    if (placed.isErr()) return;
    count.served += 1;
    count.waitMs += Date.now() - startedAt;
    setTimeout(
      () => scheduler.release(placed.value, { outcome: 'completed', latencyMs: 100 }),
      100,
    );
  };
  const timer = setInterval(() => {
    void sendOne();
  }, everyMs);
  setTimeout(() => clearInterval(timer), 10_000);
  return count;
}

// Guards against light organisations that are refused or wait behind a heavy one.
test('requests of others are neither delayed nor refused when one sends ten times its share', async () => {
  const fleet = await createFleet(['a1'], plainPool(1));
  const light = ['b', 'c', 'd'].map((org) => sendSteadily(fleet, org, 150));
  const heavy = sendSteadily(fleet, 'heavy', 5);
  await advance(20_000);
  for (const { sent, served, waitMs } of light) {
    expect(served).toBe(sent);
    // With four slots of 100 ms each, all three others may be served first in the next free slots.
    expect(waitMs / served).toBeLessThanOrEqual(100);
  }
  expect(heavy.served).toBeLessThan(heavy.sent);
});

// Guards against large requests that never get enough memory or block others while they wait.
test('a request that needs much memory reserves one engine while others use the rest', async () => {
  const fleet = await createFleet(['a1'], modelPool('a', { memoryBlocks: 4 }));
  const { scheduler } = fleet.node('a1');
  const placeWithSize = (org: string, promptTokens: number) =>
    fleet.place('a1', request({ org, promptTokens, patienceMs: 20_000, maxTokens: 100 }));
  const running = (
    await settle(Promise.all([1, 2, 3, 4].map(() => placeWithSize('small', 900))))
  ).map(unwrap);
  let isLargeServed = false;
  void placeWithSize('large', 3_500).then((result) => {
    isLargeServed = result.isOk();
  });
  await advance(1_000);
  let smallServed = 0;
  const sendSmall = async (): Promise<void> => {
    const result = await placeWithSize('small', 900);
    if (result.isErr()) return;
    smallServed += 1;
    running.push(result.value);
  };
  for (let i = 0; i < 20; i += 1) {
    void sendSmall();
    const done = running.shift();
    if (done !== undefined) {
      scheduler.finishPrefill(done, { outcome: 'completed' });
      scheduler.release(done, { outcome: 'completed' });
    }
    await advance(300);
  }
  expect(isLargeServed).toBe(true);
  expect(smallServed).toBeGreaterThan(5);
});

// Guards against an engine reserved for a retry that waits for a different engine.
test('a retry that excludes an engine does not block others from using it', async () => {
  const fleet = await createFleet(['a1'], modelPool('a', { capacity: 1, coldLimit: 1 }));
  const { scheduler } = fleet.node('a1');
  const place = (extra = {}) => fleet.place('a1', request({ patienceMs: 5_000, ...extra }));
  const running = (await settle(Promise.all([place(), place()]))).map(unwrap);
  running.forEach((grant) => scheduler.finishPrefill(grant, { outcome: 'completed' }));
  const freed = running.find((grant) => serverOf(grant) === 'd1');
  void place({ exclude: [upstreamId('d1')] });
  await advance(100);
  scheduler.release(freed!, { outcome: 'completed' });
  await advance(1_000);
  // The retry waits longer than this request does.
  expect((await settle(place({ patienceMs: 1_000 }))).isOk()).toBe(true);
});
