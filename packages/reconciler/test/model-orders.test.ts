import { okAsync } from 'neverthrow';
import { beforeEach, expect, test, vi } from 'vitest';
import { createModelOrders } from '../src/model-orders.js';
import {
  createCell,
  createEngineEntry,
  createFakeEngine,
  createFakePort,
  telemetry,
} from './support.js';

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

function createHarness(weightWaitMs = 0) {
  const fakes = {
    p1: createFakeEngine('prefill'),
    d1: createFakeEngine('decode'),
    d2: createFakeEngine('decode'),
  };
  const state = { epoch: 7 as number | undefined, prefillMs: 0, decodeMs: 0, tableChanged: false };
  const entries = new Map([
    ['p1', createEngineEntry('p1', 'prefill')],
    ['d1', createEngineEntry('d1', 'decode')],
    ['d2', createEngineEntry('d2', 'decode')],
  ]);
  const orders = createModelOrders({
    engines: createFakePort(fakes),
    weightStore: { reserve: () => okAsync(weightWaitMs) },
    telemetry,
    listCells: () => [createCell([...entries.values()])],
    epochIfHeld: () => state.epoch,
    readBacklog: () => ({ prefillMs: state.prefillMs, decodeMs: state.decodeMs }),
    writeRole: async (_pool, upstream, role) => {
      if (!state.tableChanged) entries.set(upstream, createEngineEntry(upstream, role));
      return !state.tableChanged;
    },
  });
  const allOrders = () => Object.values(fakes).flatMap((engine) => engine.orders);
  return { ...fakes, state, orders, entries, allOrders };
}

test('an engine without the desired model is ordered to load it, with the epoch of the lease', async () => {
  const { d1, orders } = createHarness();
  d1.load = { ...d1.load, models: [] };
  await Promise.all([orders.check(), vi.advanceTimersByTimeAsync(1_000)]);
  expect(d1.orders).toEqual([{ epoch: 7, kind: 'load', model: 'scribe', version: '2' }]);
});

test('an order is not repeated while the engine may still be loading', async () => {
  const { d1, orders } = createHarness();
  d1.load = { ...d1.load, models: [] };
  orders.start();
  await vi.advanceTimersByTimeAsync(100_000);
  expect(d1.orders).toHaveLength(1);
});

test('a node without the lease sends no orders', async () => {
  const { d1, state, orders, allOrders } = createHarness();
  d1.load = { ...d1.load, models: [] };
  state.epoch = undefined;
  orders.start();
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
});

test('no order is sent if the lease expires during the wait for the weight store', async () => {
  const { d1, state, orders, allOrders } = createHarness(20_000);
  d1.load = { ...d1.load, models: [] };
  orders.start();
  await vi.advanceTimersByTimeAsync(5_000);
  state.epoch = undefined;
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
});

test('a brief imbalance changes no role', async () => {
  const { state, orders, allOrders } = createHarness();
  orders.start();
  for (let round = 0; round < 10; round += 1) {
    state.prefillMs = round % 2 === 0 ? 5_000 : 0;
    await vi.advanceTimersByTimeAsync(10_000);
  }
  expect(allOrders()).toEqual([]);
});

test('a sustained imbalance moves one engine and then starts the cooldown', async () => {
  const { state, orders, allOrders, entries } = createHarness();
  state.prefillMs = 5_000;
  orders.start();
  await vi.advanceTimersByTimeAsync(75_000);
  expect(allOrders()).toEqual([{ epoch: 7, kind: 'role', role: 'prefill' }]);
  expect([...entries.values()].filter(({ role }) => role === 'prefill')).toHaveLength(2);
});

test('an engine with running requests gets no new work and no order until it is idle', async () => {
  const { state, orders, allOrders, d1, d2, entries } = createHarness();
  state.prefillMs = 5_000;
  d1.load = { ...d1.load, slotsUsed: 1 };
  d2.load = { ...d2.load, slotsUsed: 9 };
  orders.start();
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
  expect(orders.isAwaitingRoleChange(entries.get('d1') ?? createEngineEntry('d1', 'prefill'))).toBe(
    true,
  );
  d1.load = { ...d1.load, slotsUsed: 0 };
  await vi.advanceTimersByTimeAsync(20_000);
  expect(d1.orders).toHaveLength(1);
  expect(orders.isAwaitingRoleChange(entries.get('d1') ?? createEngineEntry('d1', 'prefill'))).toBe(
    false,
  );
});

test('a concurrent edit of the table by an operator takes precedence over a role change', async () => {
  const { state, orders, allOrders } = createHarness();
  state.prefillMs = 5_000;
  state.tableChanged = true;
  orders.start();
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
});

test('the last engine of a role keeps it', async () => {
  const { state, orders, allOrders } = createHarness();
  state.decodeMs = 5_000;
  orders.start();
  await vi.advanceTimersByTimeAsync(120_000);
  expect(allOrders()).toEqual([]);
});

test('an engine that serves both roles is not ordered to change role', async () => {
  const { orders, allOrders, d1, entries } = createHarness();
  d1.load = { ...d1.load, role: 'both' };
  orders.start();
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
  expect(orders.isAwaitingRoleChange(entries.get('d1') ?? createEngineEntry('d1', 'prefill'))).toBe(
    false,
  );
});
