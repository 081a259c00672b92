import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createObjectTable } from '../src/object-api/object-table.js';
import type { ObjectTable } from '../src/object-api/object-table.js';

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const put = (
  table: ObjectTable,
  key: string,
  condition: { ifVersion?: number; ifAbsent?: true } = {},
) =>
  table.write({
    key,
    value: key,
    writeId: 'w',
    deleted: false,
    ifVersion: condition.ifVersion,
    ifAbsent: condition.ifAbsent ?? false,
  });

test('a write ends only the watches of its prefix and clears their timers', async () => {
  const table = createObjectTable(100);
  const watches = Array.from({ length: 100 }, () => table.watch('a/', 0, 1_000));
  const other = table.watch('b/', 0, 1_000);
  put(table, 'a/1');
  const batches = await Promise.all(watches.map((watch) => watch.done));
  expect(batches.every((batch) => batch?.changes[0]?.key === 'a/1')).toBe(true);
  expect(table.waiting()).toBe(1);
  expect(vi.getTimerCount()).toBe(1);
  other.cancel();
  expect(vi.getTimerCount()).toBe(0);
});

test('a watch without changes ends after its maximum wait with the current revision', async () => {
  const table = createObjectTable(100);
  put(table, 'b/1');
  const watch = table.watch('a/', 0, 1_000);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await watch.done).toEqual({ revision: 1, changes: [] });
});

test('a watch from a revision that the history no longer covers gets no batch', async () => {
  const table = createObjectTable(2);
  for (let i = 0; i < 4; i += 1) put(table, `a/${i}`);
  expect(await table.watch('a/', 1, 0).done).toBeUndefined();
  expect((await table.watch('a/', 2, 0).done)?.changes).toHaveLength(2);
});

test('a conditional write fails when the version has changed', () => {
  const table = createObjectTable(10);
  put(table, 'a');
  put(table, 'a', { ifVersion: 1 });
  expect(put(table, 'a', { ifVersion: 1 })).toEqual({ kind: 'conflict', version: 2 });
  expect(put(table, 'a', { ifAbsent: true })).toEqual({ kind: 'conflict', version: 2 });
});
