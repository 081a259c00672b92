import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFleet, ORGANISATION } from './support.js';
import type { Fleet } from './support.js';

const RATE_PER_S = 600;
const BURST_TOKENS = 6_000;

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
  fleet = createFleet({ vms, ratePerS: RATE_PER_S, burst: BURST_TOKENS });
  await fleet.startAll();
  await fleet.run((BURST_TOKENS / RATE_PER_S) * 1_000);
}

const balanceOf = (name: string): number => fleet.get(name).quota.balances()[0]?.tokens ?? 0;
const holders = (): string[] =>
  fleet.names.filter(
    (name) => fleet.get(name).alive && fleet.get(name).quota.balances().length > 0,
  );

const readRing = (dataCentre: string) =>
  fleet.store.objects.get(`config/rings/${dataCentre}`)?.value as
    { members: string[]; divisor: number } | undefined;

test('a ring contains every live VM, and two of them hold the share of an organisation', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3', 'a4'] });
  expect(readRing('a')?.members).toEqual(['a1', 'a2', 'a3', 'a4']);
  expect(holders()).toHaveLength(2);
  expect(fleet.totalBalance()).toBeCloseTo(BURST_TOKENS);
});

test('a first start with the platform down spends nothing until a ring is known', async () => {
  fleet = createFleet({ vms: { a: ['a1'] }, ratePerS: RATE_PER_S, burst: BURST_TOKENS });
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
  expect(balanceOf('a1')).toBeLessThanOrEqual((RATE_PER_S / 2) * 3);
  expect(readRing('a')?.members).toEqual(['a1', 'a2']);
});

test('shares survive restarts of one VM at a time during a platform outage', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  fleet.platform.down = true;
  for (const name of fleet.names) {
    fleet.kill(name);
    fleet.startNode(name);
    await fleet.run(10_000);
  }
  expect(holders()).toHaveLength(2);
});

test('the share of a stopped VM is adopted only after its removal from the list and the fence', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  fleet.kill('a2');
  await fleet.run(30_000);
  fleet.listed.delete(fleet.get('a2').vm);
  const halfBurst = BURST_TOKENS / 2;
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
  expect(balanceOf('a1')).toBeCloseTo(BURST_TOKENS);
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

test('a message that arrives before the first check after a long pause does not hide the pause', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  const node = fleet.get('a1');
  fleet.isolate('a1');
  await fleet.run(250);
  vi.setSystemTime(Date.now() + 100_000);
  const resumedAt = performance.now() + 100_000;
  vi.spyOn(performance, 'now').mockReturnValue(resumedAt);
  node.lastContact = resumedAt;
  const debit = node.handlers.get('quota.debit')?.(
    { organisation: ORGANISATION, tokens: 1, waitMs: 0, id: 'x' },
    { vm: node.vm, dataCentre: node.dataCentre },
  );
  await expect(debit).rejects.toThrow(/holds no share/);
  vi.restoreAllMocks();
});

test('the only VM of the fleet keeps spending through a platform outage', async () => {
  await startFilled({ a: ['a1'] });
  fleet.platform.down = true;
  await fleet.run(60_000);
  expect(balanceOf('a1')).toBeCloseTo(BURST_TOKENS);
});

test('an added data centre gets its share only after the others gave it up', async () => {
  const vms = { a: ['a1', 'a2'], b: ['b1', 'b2'] };
  fleet = createFleet({ vms, ratePerS: RATE_PER_S, burst: BURST_TOKENS, dataCentres: ['a'] });
  await fleet.startAll();
  await fleet.run(20_000);
  expect(readRing('a')?.divisor).toBe(1);
  expect(readRing('b')?.divisor).toBe(0);
  for (const a of vms.a) for (const b of vms.b) fleet.disconnect(a, b);
  fleet.platform.unreachableFrom.add(fleet.get('a1').vm).add(fleet.get('a2').vm);
  fleet.setDataCentres(['a', 'b']);
  await fleet.run(60_000);
  expect(readRing('b')?.divisor).toBe(0);
  fleet.heal();
  await fleet.run(30_000);
  expect(readRing('a')?.divisor).toBe(2);
  expect(readRing('b')?.divisor).toBe(2);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(BURST_TOKENS + 1e-6);
});

test('a lower burst drops the tokens above it at once', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  fleet.setLimits(RATE_PER_S / 2, BURST_TOKENS / 4);
  await fleet.run(250);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(BURST_TOKENS / 4 + 1e-6);
  fleet.setLimits(RATE_PER_S, BURST_TOKENS);
  await fleet.run(1_000);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(BURST_TOKENS / 4 + RATE_PER_S);
});

test('a repeated refund adds its tokens once', async () => {
  await startFilled({ a: ['a1', 'a2'] });
  const pending = fleet.debit('a1', 1_000);
  await fleet.run(1_000);
  const { result, admission } = await pending;
  if (result.isErr()) throw result.error;
  const before = fleet.totalBalance();
  fleet.setLimits(0.001, BURST_TOKENS);
  await fleet.run(250);
  fleet.refund('a1', result.value, admission, 400);
  fleet.refund('a1', result.value, admission, 400);
  await fleet.run(1_000);
  expect(fleet.totalBalance()).toBeLessThanOrEqual(before + RATE_PER_S * 0.5 + 400);
});

test('a grant whose reply arrives after its validity is refunded and not used', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  const requester = fleet.names.find((name) => !holders().includes(name)) ?? '';
  const before = fleet.totalBalance();
  fleet.net.replyDelayMs = 450;
  const debit = fleet.debit(requester, 1_000, 300);
  await fleet.run(5_000);
  expect((await debit).result.isErr()).toBe(true);
  expect(fleet.totalBalance()).toBeCloseTo(before);
});

test('an absence that has ended does not count when a VM leaves the list again', async () => {
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

test('a holder that stops without closing its connections delays a debit by about a second', async () => {
  await startFilled({ a: ['a1', 'a2', 'a3'] });
  const requester = fleet.names.find((name) => !holders().includes(name)) ?? '';
  const [unresponsive = ''] = holders();
  fleet.get(unresponsive).paused = true;
  const debits = [fleet.debit(requester, 10, 5_000), fleet.debit(requester, 10, 5_000)];
  let settled = 0;
  const countSettled = (): void => {
    settled += 1;
  };
  for (const debit of debits) void debit.then(countSettled);
  await fleet.run(2_000);
  expect(settled).toBe(2);
  for (const debit of debits) expect((await debit).result.isOk()).toBe(true);
});
