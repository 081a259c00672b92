import { dataCentreId, upstreamId } from '@hibiscusbank/core';
import { partitionPool } from '@hibiscusbank/scheduler';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { placeMany, plainPool, serverOf } from './helpers.js';
import {
  advance,
  createFleet,
  modelPool,
  pool,
  request,
  settle,
  unwrap,
  unwrapError,
  upstream,
} from './support.js';

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

// Guards against cells that exceed the maximum size or contain only one role.
test('cells hold at most 32 upstreams and a proportional mix of roles', () => {
  const upstreams = Array.from({ length: 100 }, (_, i) =>
    upstream(`u${i}`, i < 40 ? 'prefill' : 'decode', 'a'),
  );
  const cells = partitionPool(pool(upstreams));
  expect(cells).toHaveLength(4);
  for (const cell of cells) {
    expect(cell.upstreams.length).toBeLessThanOrEqual(32);
    expect(cell.upstreams.filter((u) => u.role === 'prefill')).toHaveLength(10);
  }
});

// Guards against a second grant for a request whose first reply was lost.
test('a placement retried after a lost reply gets the same grant', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(2));
  const owner = fleet.owner();
  const client = owner.vm === 'a1' ? 'a2' : 'a1';
  let lostReplies = 0;
  fleet.dropsMessage = ({ method, isReply }) => {
    if (method !== 'cell.place' || !isReply || lostReplies > 0) return false;
    lostReplies += 1;
    return true;
  };
  const grant = unwrap(await settle(fleet.place(client, request({ promptTokens: 0 }))));
  expect(lostReplies).toBe(1);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(7);
  expect(owner.scheduler.hasGrant(grant.requestId, 1)).toBe(true);
});

// Guards against slots that stay reserved for a node that never received its grant.
test('an unconfirmed grant expires after 2 s', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  const owner = fleet.owner();
  const client = owner.vm === 'a1' ? 'a2' : 'a1';
  fleet.dropsMessage = ({ isReply, method }) => isReply && method === 'cell.place';
  const abort = new AbortController();
  void fleet.place(client, request({ promptTokens: 0 }), abort.signal);
  await advance(20);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(3);
  fleet.dropsMessage = () => true;
  abort.abort();
  await advance(2_300);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(4);
});

// Guards against a confirmation that is never sent, so that the owner grants the slot again.
test('a live grant still counts after the confirmation limit', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  await placeMany(fleet, 2);
  await placeMany(fleet, 2, 'a2');
  await advance(10_000);
  expect(fleet.owner().scheduler.ownedCells()[0]?.freeSlots).toBe(0);
});

// Guards against a slot that leaks because its release was lost in a network failure.
test('a release is retried until the owner has acknowledged it', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  const owner = fleet.owner();
  const client = owner.vm === 'a1' ? 'a2' : 'a1';
  const [grant] = await placeMany(fleet, 1, client);
  // A confirmed grant is ended only by its release.
  await advance(1_000);
  fleet.dropsMessage = () => true;
  fleet.node(client).scheduler.release(grant!, { outcome: 'completed', latencyMs: 10 });
  await advance(3_000);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(3);
  fleet.dropsMessage = () => false;
  await advance(6_000);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(4);
});

// Guards against queue entries of clients that have disconnected.
test('a cancelled waiting request is removed from the queue of the owner', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  await placeMany(fleet, 4);
  const abort = new AbortController();
  const waiting = fleet.place('a2', request({ promptTokens: 0 }), abort.signal);
  await advance(20);
  expect(fleet.owner().scheduler.ownedCells()[0]?.queued).toBe(1);
  abort.abort();
  await advance(20);
  expect(fleet.owner().scheduler.ownedCells()[0]?.queued).toBe(0);
  expect(unwrapError(await waiting).kind).toBe('cancelled');
});

// Guards against an owner that starts with empty counts after a takeover.
test('a new owner counts the grants issued by the previous owner, which died', async () => {
  const fleet = await createFleet(['a1', 'a2', 'a3'], plainPool(1));
  const owner = fleet.owner().vm;
  const client = ['a1', 'a2', 'a3'].find((vm) => vm !== owner) ?? '';
  await placeMany(fleet, 3, client);
  await fleet.kill(owner);
  fleet.setState(owner, 'dead');
  await advance(1_100);
  expect(fleet.owner().scheduler.ownedCells()[0]?.freeSlots).toBe(1);
});

// Guards against grants issued before the live ones have been collected.
test('a new owner issues no grants until all VMs have replied or 1 s has passed', async () => {
  const fleet = await createFleet(['a1', 'a2', 'a3'], plainPool(1));
  const owner = fleet.owner().vm;
  const [client = '', unreachable = ''] = ['a1', 'a2', 'a3'].filter((vm) => vm !== owner);
  fleet.dropsMessage = ({ method, to, from }) =>
    method === 'cell.collect' && (to === unreachable || from === unreachable);
  await fleet.kill(owner);
  fleet.setState(owner, 'dead');
  const started = Date.now();
  const placed = await settle(fleet.place(client, request({ promptTokens: 0 })));
  expect(placed.isOk()).toBe(true);
  expect(Date.now() - started).toBeGreaterThanOrEqual(1_000);
  expect(Date.now() - started).toBeLessThan(2_000);
});

// Guards against an owner that issues grants right after a pause of its process.
test('after a clock gap of over 1 s the owner collects grants before it issues any', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  const owner = fleet.owner();
  const collected: string[] = [];
  fleet.dropsMessage = ({ method, isReply, to }) => {
    if (method === 'cell.collect' && !isReply) collected.push(to);
    return false;
  };
  const realNow = performance.now.bind(performance);
  const clock = vi.spyOn(performance, 'now').mockImplementation(() => realNow() + 1_500);
  const placed = fleet.place(owner.vm, request({ promptTokens: 0 }));
  await advance(0);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(4);
  expect((await settle(placed)).isOk()).toBe(true);
  expect(collected.length).toBeGreaterThan(0);
  clock.mockRestore();
});

// Guards against grants of a VM that does not know that it is no longer the owner.
test('a grant with a lower epoch than the highest one seen is rejected', async () => {
  const fleet = await createFleet(['a1', 'a2', 'a3'], plainPool(1));
  const first = fleet.owner().vm;
  fleet.setState(first, 'dead');
  const next = fleet.owner().vm;
  const client = ['a1', 'a2', 'a3'].find((vm) => vm !== first && vm !== next) ?? '';
  fleet.leases.set(next, 7);
  await advance(1_100);
  await placeMany(fleet, 1, client);
  // The first owner becomes live again and gets no information about the second one.
  fleet.dropsMessage = ({ method }) => method === 'cell.collect';
  fleet.setState(first, 'live');
  const placed = await settle(fleet.place(client, request({ patienceMs: 3_000, promptTokens: 0 })));
  expect(placed.isErr()).toBe(true);
});

// Guards against grants in a data centre that is out of service, and against lost queue entries.
test('waiting requests are placed in another data centre when theirs goes out of service', async () => {
  const fleet = await createFleet(
    ['a1', 'b1'],
    pool([upstream('sa', 'plain', 'a', { capacity: 1 }), upstream('sb', 'plain', 'b')]),
  );
  await placeMany(fleet, 1);
  fleet.dropsMessage = ({ to, from }) => to === 'b1' && from === 'a1';
  const waiting = fleet.place('a1', request({ firstTokenTargetMs: 60_000, promptTokens: 0 }));
  await advance(100);
  fleet.dropsMessage = () => false;
  fleet.setOutOfService('a', true);
  expect(serverOf(unwrap(await settle(waiting)))).toBe('sb');
});

// Guards against waiting in a full cell while another data centre has free capacity.
test('a request overflows when the local data centre cannot meet the first-token target', async () => {
  const fleet = await createFleet(
    ['a1', 'b1'],
    pool([upstream('sa', 'plain', 'a', { capacity: 1 }), upstream('sb', 'plain', 'b')]),
  );
  await placeMany(fleet, 1);
  const grant = unwrap(
    await settle(fleet.place('a1', request({ firstTokenTargetMs: 20, promptTokens: 0 }))),
  );
  expect(grant.dataCentre).toBe(dataCentreId('b'));
});

// Guards against requests that fail because the local data centre lacks a role.
test('requests in a data centre with only one role are placed in another one', async () => {
  const split = pool([
    upstream('pa', 'prefill', 'a'),
    upstream('pb', 'prefill', 'b'),
    upstream('db', 'decode', 'b'),
  ]);
  const fleet = await createFleet(['a1', 'b1'], split);
  const grant = unwrap(await settle(fleet.place('a1', request())));
  expect(grant.dataCentre).toBe(dataCentreId('b'));
});

// Guards against grants of dead nodes that are never released.
test('grants of a dead node are kept for resume, then reported as abandoned and removed', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  const owner = fleet.owner();
  const client = owner.vm === 'a1' ? 'a2' : 'a1';
  const [adopted, abandoned] = await placeMany(fleet, 2, client);
  await advance(500);
  await fleet.kill(client);
  fleet.setState(client, 'dead');
  await owner.scheduler.adopt(adopted!.requestId, 1, upstreamId('s0'));
  await advance(4_500);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(2);
  await advance(1_000);
  expect(owner.abandoned.map((grant) => grant.id)).toEqual([abandoned!.id]);
  expect(owner.scheduler.findGrant(adopted!.requestId, 1)?.id).toBe(adopted!.id);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(3);
});

// Guards against grants that leak when a process restarts before membership marks it dead.
test('grants of a restarted process are removed although it was never marked dead', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  const owner = fleet.owner();
  const client = owner.vm === 'a1' ? 'a2' : 'a1';
  await placeMany(fleet, 2, client);
  await advance(500);
  await fleet.kill(client);
  await fleet.start(client);
  await advance(30_000);
  expect(owner.scheduler.ownedCells()[0]?.freeSlots).toBe(4);
});

// Guards against waiting requests that are lost when their owner leaves.
test('requests that wait at a leaving owner are placed by the next one', async () => {
  const fleet = await createFleet(['a1', 'a2'], plainPool(1));
  const owner = fleet.owner();
  const client = owner.vm === 'a1' ? 'a2' : 'a1';
  const grants = await placeMany(fleet, 4, client);
  const waiting = fleet.place(client, request({ promptTokens: 0 }));
  await advance(20);
  fleet.setState(owner.vm, 'leaving');
  await owner.scheduler.leave();
  await advance(200);
  expect(fleet.node(client).scheduler.ownedCells()[0]).toMatchObject({ freeSlots: 0, queued: 1 });
  fleet.node(client).scheduler.release(grants[0]!, { outcome: 'completed', latencyMs: 10 });
  expect((await settle(waiting)).isOk()).toBe(true);
});

// Guards against explanations without the reason.
test('explain names the owner, queues and why an upstream is not used', async () => {
  const fleet = await createFleet(['a1'], plainPool(2, { capacity: 1 }));
  await placeMany(fleet, 1);
  fleet.setOutOfService('s1', true);
  void fleet.place('a1', request({ org: 'crew', promptTokens: 0 }));
  await advance(20);
  const lines = fleet.node('a1').scheduler.explain(request().pool).join('\n');
  expect(lines).toContain('owner a1');
  expect(lines).toContain('s1 plain');
  expect(lines).toContain('not used: out of service');
  expect(lines).toMatch(/queue crew: 1/);
});

// Guards against slots granted to requests of a node that died and is not yet marked dead.
test('a waiting request that no node polls for any more is not granted', async () => {
  // The slot must not be granted to it, whenever it is freed between two checks by the owner.
  for (let offset = 0; offset < 800; offset += 20) {
    const fleet = await createFleet(['a1', 'a2'], plainPool(1));
    const owner = fleet.owner().vm;
    const client = owner === 'a1' ? 'a2' : 'a1';
    const [running] = await placeMany(fleet, 4, owner);
    void fleet.place(client, request({ promptTokens: 0 }));
    await advance(20);
    await fleet.kill(client);
    await advance(2_000 + offset);
    fleet.node(owner).scheduler.release(running!, { outcome: 'completed', latencyMs: 10 });
    await advance(5_000);
    expect(fleet.violations()).toEqual([]);
    expect(fleet.node(owner).scheduler.ownedCells()[0]).toMatchObject({ freeSlots: 1, queued: 0 });
    await fleet.kill(owner);
  }
});

// Guards against one data centre that gets all requests of another that is out of service.
test('requests of a data centre out of service are spread over the others by capacity', async () => {
  const fleet = await createFleet(
    ['a1', 'b1', 'c1'],
    pool([
      upstream('sa', 'plain', 'a'),
      upstream('sb', 'plain', 'b', { capacity: 60, coldLimit: 60 }),
      upstream('sc', 'plain', 'c', { capacity: 20, coldLimit: 20 }),
    ]),
  );
  fleet.setOutOfService('a', true);
  const servers = (await placeMany(fleet, 40)).map(serverOf);
  const fraction = servers.filter((server) => server === 'sb').length / servers.length;
  expect(fraction).toBeGreaterThan(0.5);
  expect(fraction).toBeLessThan(0.95);
});

// Guards against grants that reconciliation cannot end after their engine has lost the request.
test('the owner can end a grant by its request and attempt', async () => {
  const fleet = await createFleet(['a1'], modelPool());
  const { scheduler } = fleet.node('a1');
  const grant = unwrap(await settle(fleet.place('a1', request({ promptTokens: 2_000 }))));
  expect(scheduler.listCells()).toMatchObject([{ id: grant.cell, owner: 'a1', isOwned: true }]);
  expect(scheduler.backlogs(grant.cell)?.prefillMs).toBeGreaterThan(0);
  scheduler.releaseAttempt(grant.requestId, 1, { outcome: 'failed' });
  expect(scheduler.hasGrant(grant.requestId, 1)).toBe(false);
  expect(scheduler.backlogs(grant.cell)?.prefillMs).toBe(0);
});
