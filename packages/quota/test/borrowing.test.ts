import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createFleet } from './support.js';
import type { Fleet } from './support.js';

let fleet: Fleet;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(async () => {
  await fleet.stop();
  vi.clearAllTimers();
  vi.useRealTimers();
});

const SIX_VMS = { a: ['a1', 'a2'], b: ['b1', 'b2'], c: ['c1', 'c2'] };

async function startFilled(ratePerS: number, burst: number): Promise<void> {
  fleet = createFleet({ vms: SIX_VMS, ratePerS, burst });
  await fleet.startAll();
  await fleet.run((burst / ratePerS) * 1_000 + 20_000);
}

test('traffic through one data centre gets the whole rate by borrowing', async () => {
  await startFilled(600, 3_000);
  const tokens = await fleet.offerLoad(SIX_VMS.a, 30, 400);
  // 400 debits of 30 tokens in 20 s, which is the whole rate of 600 tokens per second.
  expect(tokens).toBeGreaterThanOrEqual(0.99 * 400 * 30);
});

test('an isolated data centre spends only its share', async () => {
  await startFilled(600, 3_000);
  for (const a of SIX_VMS.a)
    for (const other of [...SIX_VMS.b, ...SIX_VMS.c]) fleet.disconnect(a, other);
  const tokens = await fleet.offerLoad(SIX_VMS.a, 30, 200);
  expect(tokens).toBeLessThanOrEqual((600 / 3) * 10 + 3_000 / 3);
  expect(tokens).toBeGreaterThanOrEqual(0.9 * (600 / 3) * 10);
});

test('a lost reply to a loan request loses tokens and creates none', async () => {
  await startFilled(600, 3_000);
  const before = fleet.totalBalance();
  fleet.net.loseNextReplyTo = 'quota.borrow';
  const debit = fleet.debit('a1', 900, 200);
  fleet.setLimits(0.001, 3_000);
  await fleet.run(4_000);
  const granted = (await debit).result.isOk() ? 900 : 0;
  expect(fleet.totalBalance()).toBeLessThan(before - granted);
});

test('a debit of the whole burst is granted with tokens from all holders', async () => {
  await startFilled(600, 3_000);
  const debit = fleet.debit('b1', 3_000);
  await fleet.run(3_000);
  expect((await debit).result.isOk()).toBe(true);
});

test('two debits that each need most of the burst do not block each other permanently', async () => {
  await startFilled(600, 3_000);
  const first = fleet.debit('a1', 2_500);
  const second = fleet.debit('c1', 2_500);
  await fleet.run(4_000);
  const results = [(await first).result, (await second).result];
  expect(results.filter((result) => result.isOk())).toHaveLength(1);
  await fleet.run(8_000);
  const third = fleet.debit('b1', 2_500);
  await fleet.run(3_000);
  expect((await third).result.isOk()).toBe(true);
});

test('a debit above the burst is rejected with an error that names max_tokens and the burst', async () => {
  await startFilled(600, 3_000);
  const { result } = await fleet.debit('a1', 3_001);
  expect(result.isErr() && result.error.kind).toBe('invalid_request');
  expect(result.isErr() && result.error.message).toMatch(/3000.*max_tokens/);
});

test('a refusal carries the time after which the tokens are available', async () => {
  await startFilled(600, 3_000);
  for (const name of fleet.names) {
    for (let i = 0; i < 10; i += 1) void fleet.debit(name, 100);
  }
  const debit = fleet.debit('a1', 300, 100);
  await fleet.run(1_000);
  const { result } = await debit;
  expect(result.isErr() && result.error.kind).toBe('rate_exceeded');
  const retryAfterMs = result.isErr() ? (result.error.retryAfterMs ?? 0) : 0;
  expect(retryAfterMs).toBeGreaterThan(0);
  expect(retryAfterMs).toBeLessThanOrEqual(7_000);
});
