import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFleet, ORG } from './support.js';
import type { Fleet } from './support.js';

const RATE = 600;
const BURST = 6_000;

let fleet: Fleet;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(async () => {
  expect(fleet.violations()).toEqual([]);
  await fleet.stop();
  vi.clearAllTimers();
  vi.useRealTimers();
});

async function startFilled(vms: Readonly<Record<string, readonly string[]>>): Promise<void> {
  fleet = createFleet({ vms, ratePerS: RATE, burst: BURST });
  await fleet.startAll();
  await fleet.run((BURST / RATE) * 1_000);
}

const balanceOf = (name: string): number => fleet.get(name).quota.balances()[0]?.tokens ?? 0;
const holders = (): string[] =>
  fleet.names.filter(
    (name) => fleet.get(name).alive && fleet.get(name).quota.balances().length > 0,
  );

const readRing = (dataCentre: string) =>
  fleet.store.objects.get(`config/rings/${dataCentre}`)?.value as
    { members: string[]; divisor: number } | undefined;

test('a ring holds every live VM and two of them hold an organisation', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3', 'a4'] });
  expect(readRing('a')?.members).toEqual(['a1', 'a2', 'a3', 'a4']);
  expect(holders()).toHaveLength(2);
  expect(fleet.totalBalance()).toBeCloseTo(BURST);
});

test('a first start with the platform down spends nothing until a ring is known', async () => {
  fleet = createFleet({ vms: { a: ['a1'] }, ratePerS: RATE, burst: BURST });
  fleet.platform.down = true;
  const node = fleet.startNode('a1');
  fleet.store.objects.forEach(({ key, value, version }) =>
    node.applyEntry({ key, value, revision: version, deleted: false }),
  );
  await fleet.run(10_000);
  const refused = fleet.debit('a1', 10, 100);
  await fleet.run(1_000);
  expect((await refused).result.isErr()).toBe(true);
  fleet.platform.down = false;
  await fleet.run(5_000);
  const granted = fleet.debit('a1', 10);
  await fleet.run(1_000);
  expect((await granted).result.isOk()).toBe(true);
});

test('a process that restarts on the same VM starts with no tokens', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  fleet.kill('a1');
  fleet.startNode('a1');
  await fleet.run(3_000);
  expect(balanceOf('a1')).toBeLessThanOrEqual((RATE / 2) * 3);
  expect(readRing('a')?.members).toEqual(['a1', 'a2']);
});

test('restarts one by one in a platform outage keep the shares', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  fleet.platform.down = true;
  for (const name of fleet.names) {
    fleet.kill(name);
    fleet.startNode(name);
    await fleet.run(10_000);
  }
  expect(holders()).toHaveLength(2);
});

test('a share of a dead VM is taken over only after list, fence and ring allow it', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  fleet.kill('a2');
  await fleet.run(30_000);
  fleet.listed.delete(fleet.get('a2').vm);
  const halfBurst = BURST / 2;
  await fleet.run(119_000);
  expect(balanceOf('a1')).toBeLessThanOrEqual(halfBurst);
  await fleet.run(30_000);
  expect(balanceOf('a1')).toBeGreaterThan(halfBurst);
});

test('a VM that leaves hands its balance over', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  const leaving = fleet.leave('a2');
  await fleet.run(2_500);
  fleet.listed.delete(fleet.get('a2').vm);
  await fleet.run(2_000);
  await leaving;
  expect(readRing('a')?.members).toEqual(['a1']);
  expect(balanceOf('a1')).toBeCloseTo(BURST);
});

test('a VM without contact for 30 s stops spending', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  fleet.isolate('a1');
  await fleet.run(29_000);
  expect(balanceOf('a1')).toBeGreaterThan(0);
  await fleet.run(3_000);
  expect(fleet.get('a1').quota.balances()).toEqual([]);
  fleet.heal();
  await fleet.run(6_000);
  expect(balanceOf('a1')).toBeGreaterThan(0);
});

test('a message that arrives first after a long pause does not hide the pause', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  const node = fleet.get('a1');
  fleet.isolate('a1');
  await fleet.run(250);
  vi.setSystemTime(Date.now() + 100_000);
  const waking = performance.now() + 100_000;
  vi.spyOn(performance, 'now').mockReturnValue(waking);
  node.lastContact = waking;
  const debit = node.handlers.get('quota.debit')?.(
    { organisation: ORG, tokens: 1, waitMs: 0, id: 'x' },
    { vm: node.vm, dataCentre: node.dataCentre },
  );
  await expect(debit).rejects.toThrow(/holds no share/);
  vi.restoreAllMocks();
});

test('the only VM of the fleet keeps spending through a platform outage', async () => {
  await startFilled({ a: ['a1'] });
  fleet.platform.down = true;
  await fleet.run(60_000);
  expect(balanceOf('a1')).toBeCloseTo(BURST);
});

test('a data centre that is added gains its share only after the others gave it up', async () => {
  const vms = { a: ['a1', 'a2'], b: ['b1', 'b2'] };
  fleet = createFleet({ vms, ratePerS: RATE, burst: BURST, dataCentres: ['a'] });
  await fleet.startAll();
  await fleet.run(20_000);
  expect(readRing('a')?.divisor).toBe(1);
  expect(readRing('b')?.divisor).toBe(0);
  for (const a of vms.a) for (const b of vms.b) fleet.sever(a, b);
  fleet.platform.cutOff.add(fleet.get('a1').vm).add(fleet.get('a2').vm);
  fleet.setDataCentres(['a', 'b']);
  await fleet.run(60_000);
  expect(readRing('b')?.divisor).toBe(0);
  fleet.heal();
  await fleet.run(30_000);
  expect(readRing('a')?.divisor).toBe(2);
  expect(readRing('b')?.divisor).toBe(2);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(BURST + 1e-6);
});

test('a lower burst drops what exceeds it at once', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  fleet.setLimits(RATE / 2, BURST / 4);
  await fleet.run(250);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(BURST / 4 + 1e-6);
  fleet.setLimits(RATE, BURST);
  await fleet.run(1_000);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(BURST / 4 + RATE);
});

test('a repeated refund gives its tokens back once', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  const pending = fleet.debit('a1', 1_000);
  await fleet.run(1_000);
  const { result, admission } = await pending;
  if (result.isErr()) throw result.error;
  const before = fleet.totalBalance();
  fleet.setLimits(0.001, BURST);
  await fleet.run(250);
  fleet.refund('a1', result.value, admission, 400);
  fleet.refund('a1', result.value, admission, 400);
  await fleet.run(1_000);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(before + RATE * 0.5 + 400);
});

test('a grant whose reply is late is given back and not used', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  const asking = fleet.names.find((name) => !holders().includes(name)) ?? '';
  const before = fleet.totalBalance();
  fleet.net.replyDelayMs = 450;
  const debit = fleet.debit(asking, 1_000, 300);
  await fleet.run(5_000);
  expect((await debit).result.isErr()).toBe(true);
  expect(fleet.totalBalance()).toBeCloseTo(before);
});

test('an old absence does not count when a VM is dropped from the list again', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  const coordinator = fleet.get('a1');
  fleet.kill('a3');
  fleet.listed.delete(fleet.get('a3').vm);
  await fleet.run(2_000);
  coordinator.paused = true;
  fleet.startNode('a3');
  await fleet.run(70_000);
  fleet.kill('a3');
  fleet.listed.delete(fleet.get('a3').vm);
  coordinator.paused = false;
  await fleet.run(20_000);
  expect(readRing('a')?.members).toContain('a3');
});

test('a holder that vanishes without closing its connections costs a debit about a second', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  const asking = fleet.names.find((name) => !holders().includes(name)) ?? '';
  const [vanished = ''] = holders();
  fleet.get(vanished).paused = true;
  const debits = [fleet.debit(asking, 10, 5_000), fleet.debit(asking, 10, 5_000)];
  let settled = 0;
  const countSettled = (): void => {
    settled += 1;
  };
  for (const debit of debits) void debit.then(countSettled);
  await fleet.run(2_000);
  expect(settled).toBe(2);
  for (const debit of debits) expect((await debit).result.isOk()).toBe(true);
});
