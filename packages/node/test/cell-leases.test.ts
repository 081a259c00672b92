import { cellId, createError, createTelemetry, vmId } from '@hibiscusbank/core';
import type { CellId } from '@hibiscusbank/core';
import type { ObjectApi, StoredObject } from '@hibiscusbank/object-api';
import { errAsync, okAsync } from 'neverthrow';
import { beforeEach, expect, test, vi } from 'vitest';
import { createCellLeases } from '../src/cell-leases.js';

const CELL = cellId('scribe/almaty-a/0');

beforeEach(() => {
  vi.useFakeTimers();
  return () => vi.useRealTimers();
});

function createFakePlatform() {
  const objects = new Map<string, StoredObject>();
  const state = { down: false, version: 0 };
  const unavailable = () => createError('platform_unavailable', 'the platform is down');
  const api = {
    get: (key: string) => (state.down ? errAsync(unavailable()) : okAsync(objects.get(key))),
    put: (
      key: string,
      value: unknown,
      options: { ifVersion?: number; ifAbsent?: boolean; writeId: string },
    ) => {
      if (state.down) return errAsync(unavailable());
      const current = objects.get(key);
      const isAllowed = options.ifAbsent
        ? current === undefined
        : options.ifVersion === current?.version;
      if (!isAllowed) return errAsync(createError('conflict', 'changed meanwhile'));
      state.version += 1;
      const stored = { key, value, version: state.version, writeId: options.writeId };
      objects.set(key, stored);
      return okAsync(stored);
    },
  } as unknown as ObjectApi;
  return { api, state };
}

function startVmLeases(api: ObjectApi, name: string) {
  const owned: CellId[] = [];
  const leases = createCellLeases({
    self: vmId(name),
    objectApi: api,
    telemetry: createTelemetry({}, () => {}),
    listOwnedCells: () => owned,
  });
  leases.start();
  return { owned, leases };
}

test('an owner releases the lease of a cell that moves, so the next owner need not wait', async () => {
  const { api } = createFakePlatform();
  const [a, b] = [startVmLeases(api, 'vm-a'), startVmLeases(api, 'vm-b')];
  a.owned.push(CELL);
  await vi.advanceTimersByTimeAsync(2_000);
  const firstEpoch = a.leases.epochIfHeld(CELL);
  expect(firstEpoch).toBeDefined();
  a.owned.pop();
  b.owned.push(CELL);
  await vi.advanceTimersByTimeAsync(4_000);
  expect(a.leases.epochIfHeld(CELL)).toBeUndefined();
  expect(b.leases.epochIfHeld(CELL)).toBeGreaterThan(firstEpoch ?? 0);
});

test('at most one of two nodes that both consider a cell their own holds its lease', async () => {
  const { api, state } = createFakePlatform();
  const [a, b] = [startVmLeases(api, 'vm-a'), startVmLeases(api, 'vm-b')];
  a.owned.push(CELL);
  b.owned.push(CELL);
  for (let elapsedS = 0; elapsedS < 120; elapsedS += 1) {
    state.down = elapsedS % 40 > 20;
    await vi.advanceTimersByTimeAsync(1_000);
    const holders = [a, b].filter(({ leases }) => leases.epochIfHeld(CELL) !== undefined);
    expect(holders.length).toBeLessThan(2);
  }
});

test('a node that stops releases all its leases', async () => {
  const { api } = createFakePlatform();
  const [a, b] = [startVmLeases(api, 'vm-a'), startVmLeases(api, 'vm-b')];
  a.owned.push(CELL);
  await vi.advanceTimersByTimeAsync(2_000);
  await a.leases.stop();
  b.owned.push(CELL);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(b.leases.epochIfHeld(CELL)).toBeDefined();
});
