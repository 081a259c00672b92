import { createTelemetry } from '@hibiscusbank/core';
import type { ConfigurationEntry } from '@hibiscusbank/configuration';
import { expect, test } from 'vitest';
import { createEntryStore } from '../src/entry-store.js';

const entry = (key: string, revision: number, deleted = false): ConfigurationEntry => ({
  key,
  revision,
  value: { revision },
  deleted,
});

const createStore = () =>
  createEntryStore(
    createTelemetry({}, () => {}),
    () => {},
  );

test('a snapshot that is older than a push does not revert the push', () => {
  const store = createStore();
  store.applyChanges([entry('a', 1)]);
  const old = { floor: 1, entries: [entry('a', 1)] };
  store.applyChanges([entry('b', 2), entry('a', 3)]);
  expect(store.applySnapshot(old)).toEqual([]);
  expect(store.get('a')?.revision).toBe(3);
  expect(store.get('b')?.revision).toBe(2);
});

test('a stale entry does not restore a deleted key', () => {
  const store = createStore();
  store.applyChanges([entry('a', 1), entry('a', 2, true)]);
  expect(store.applyChanges([entry('a', 1)])).toEqual([]);
  expect(store.get('a')).toBeUndefined();
});

test('an old snapshot does not restore a key that was missing from a newer list', () => {
  const store = createStore();
  store.applySnapshot({ floor: 9, entries: [entry('b', 4)] });
  store.applySnapshot({ floor: 3, entries: [entry('a', 3)] });
  expect(store.get('a')).toBeUndefined();
});

test('replicas that learned of a deletion in different ways have the same digest', () => {
  const watching = createStore();
  const listing = createStore();
  for (const store of [watching, listing]) store.applyChanges([entry('a', 1), entry('b', 2)]);
  watching.applyChanges([entry('a', 3, true)]);
  listing.applySnapshot({ floor: 7, entries: [entry('b', 2)] });
  expect(listing.position().digest).toBe(watching.position().digest);
  expect(watching.listAfter(listing.position())).toEqual([]);
});

test('a position that is older than the log yields undefined', () => {
  const store = createStore();
  const start = store.position();
  for (let revision = 1; revision <= 1_001; revision += 1) {
    store.applyChanges([entry(`k${revision}`, revision)]);
  }
  expect(store.listAfter(start)).toBeUndefined();
});
