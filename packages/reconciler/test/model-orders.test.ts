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

function arrange(weightWaitMs = 0) {
  const fakes = {
    p1: createFakeEngine('prefill'),
    d1: createFakeEngine('decode'),
    d2: createFakeEngine('decode'),
  };
  const state = { epoch: 7 as number | undefined, prefillMs: 0, decodeMs: 0, idle: true };
  const entries = [
    createEngineEntry('p1', 'prefill'),
    createEngineEntry('d1', 'decode'),
    createEngineEntry('d2', 'decode'),
  ];
  const orders = createModelOrders({
    engines: createFakePort(fakes),
    weightStore: { reserve: () => okAsync(weightWaitMs) },
    telemetry,
    listCells: () => [createCell(entries)],
    epochIfHeld: () => state.epoch,
    readBacklog: () => ({ prefillMs: state.prefillMs, decodeMs: state.decodeMs }),
    isIdle: () => state.idle,
  });
  const allOrders = () => Object.values(fakes).flatMap((engine) => engine.orders);
  return { ...fakes, state, orders, allOrders };
}

test('an engine without the wanted model is ordered to load it under the epoch', async () => {
  const { d1, orders } = arrange();
  d1.load = { ...d1.load, models: [] };
  await Promise.all([orders.check(), vi.advanceTimersByTimeAsync(1_000)]);
  expect(d1.orders).toEqual([{ epoch: 7, kind: 'load', model: 'scribe', version: '2' }]);
});

test('an order is not repeated while the engine may still be loading', async () => {
  const { d1, orders } = arrange();
  d1.load = { ...d1.load, models: [] };
  orders.start();
  await vi.advanceTimersByTimeAsync(100_000);
  expect(d1.orders).toHaveLength(1);
});

test('a node without the lease orders nothing', async () => {
  const { d1, state, orders, allOrders } = arrange();
  d1.load = { ...d1.load, models: [] };
  state.epoch = undefined;
  orders.start();
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
});

test('a lease that lapses while the weight store is waited for stops the order', async () => {
  const { d1, state, orders, allOrders } = arrange(20_000);
  d1.load = { ...d1.load, models: [] };
  orders.start();
  await vi.advanceTimersByTimeAsync(5_000);
  state.epoch = undefined;
  await vi.advanceTimersByTimeAsync(60_000);
  expect(allOrders()).toEqual([]);
});

test('a short imbalance changes no role', async () => {
  const { state, orders, allOrders } = arrange();
  orders.start();
  for (let round = 0; round < 10; round += 1) {
    state.prefillMs = round % 2 === 0 ? 5_000 : 0;
    await vi.advanceTimersByTimeAsync(10_000);
  }
  expect(allOrders()).toEqual([]);
});

test('a lasting imbalance moves one idle engine and then waits for the effect', async () => {
  const { state, orders, allOrders } = arrange();
  state.prefillMs = 5_000;
  orders.start();
  await vi.advanceTimersByTimeAsync(70_000);
  expect(allOrders()).toEqual([{ epoch: 7, kind: 'role', role: 'prefill' }]);
});

test('an engine with running requests is held back until it is idle', async () => {
  const { state, orders, allOrders, d1, d2 } = arrange();
  state.prefillMs = 5_000;
  state.idle = false;
  d1.load = { ...d1.load, slotsUsed: 1 };
  d2.load = { ...d2.load, slotsUsed: 9 };
  orders.start();
  await vi.advanceTimersByTimeAsync(50_000);
  expect(allOrders()).toEqual([]);
  expect(orders.isHeldBack(createEngineEntry('d1', 'decode').id)).toBe(true);
  state.idle = true;
  await vi.advanceTimersByTimeAsync(1_000);
  expect(d1.orders).toHaveLength(1);
  expect(orders.isHeldBack(createEngineEntry('d1', 'decode').id)).toBe(false);
});

test('the last engine of a role keeps it', async () => {
  const { state, orders, allOrders } = arrange();
  state.decodeMs = 5_000;
  orders.start();
  await vi.advanceTimersByTimeAsync(120_000);
  expect(allOrders()).toEqual([]);
});
