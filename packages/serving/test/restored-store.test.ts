import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEntryFeed } from '../src/entry-feed.js';
import type { EntryFeed, FeedOptions } from '../src/entry-feed.js';
import type { EntryStore, StoredEntry } from '../src/index.js';
import { createFakeStore, createTestBridge, createTestEra } from './support/fake-store.js';
import type { FakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

const stopping: AbortController[] = [];
afterEach(() => {
  for (const controller of stopping) controller.abort();
});

interface Follower {
  readonly feed: EntryFeed;
  readonly calls: () => number;
  readonly lines: string[];
  /** Returns the values in force by name. */
  readonly values: () => Record<string, unknown>;
}

/** Starts a node's feed of the store. */
function follow(store: FakeStore, change: Partial<FeedOptions> = {}): Follower {
  const era = createTestEra();
  const access = store.connect(era);
  let calls = 0;
  const counted: EntryStore = {
    ...access,
    list: (...args) => {
      calls += 1;
      return access.list(...args);
    },
    watch: (...args) => {
      calls += 1;
      return access.watch(...args);
    },
  };
  const lines: string[] = [];
  let inForce: ReadonlyMap<string, StoredEntry> = new Map();
  const feed = createEntryFeed({
    kind: 'upstreams',
    store: counted,
    era,
    restored: createTestBridge(),
    telemetry: createTelemetry({}, (_, fields, text) => lines.push(text + JSON.stringify(fields))),
    waitMs: 1_000,
    pauseMs: 50,
    maxRetryMs: 1_200,
    onChange: (entries) => {
      inForce = entries;
    },
    ...change,
  });
  const stop = new AbortController();
  stopping.push(stop);
  void feed.run(stop.signal);
  return {
    feed,
    calls: () => calls,
    lines,
    values: () =>
      Object.fromEntries([...inForce.values()].map(({ name, value }) => [name, value] as const)),
  };
}

const pass = (ms: number): Promise<unknown> => vi.advanceTimersByTimeAsync(ms);

// Nodes missed all changes until the end of the day, and asked the store 12,000 times.
test('a change after a restoration is applied although its revision was given out before', async () => {
  const store = createFakeStore();
  const { values, calls } = follow(store);
  store.put('main', 1);
  await pass(500);
  const copy = store.copy();
  for (const version of [2, 3, 4, 5, 6]) store.put('main', version);
  await pass(500);
  const before = calls();
  store.restore(copy);
  await pass(3_000);
  store.put('main', 7);
  await pass(200);
  expect(values()).toEqual({ main: 7 });
  expect(calls() - before).toBeLessThanOrEqual(12);
});

test('changes are not missed when the counter has passed the old revision before a node asks', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  store.put('a', 1);
  await pass(500);
  const copy = store.copy();
  store.put('b', 1);
  await pass(500);
  store.setSilent(true);
  store.restore(copy);
  for (const name of ['c', 'd', 'e']) store.put(name, 1);
  store.setSilent(false);
  await pass(9_000);
  expect(values()).toEqual({ a: 1, c: 1, d: 1, e: 1 });
});

test('what is known to be newer than the copy stays in force until it is written again', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  store.put('main', 1);
  await pass(500);
  const copy = store.copy();
  store.put('main', 2);
  await pass(500);
  store.restore(copy);
  await pass(1_500);
  expect(values()).toEqual({ main: 2 });
  store.put('main', 2);
  await pass(200);
  store.put('main', 1);
  await pass(200);
  expect(values()).toEqual({ main: 1 });
});

test('an entry that the copy lacks is kept for two seconds, and then it is gone', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  const copy = store.copy();
  store.put('late', 1);
  await pass(500);
  store.restore(copy);
  await pass(2_000);
  expect(values()).toEqual({ late: 1 });
  await pass(1_500);
  expect(values()).toEqual({});
});

// Otherwise a server that has left would get requests again.
test('an entry that was removed does not come back with the copy, unless it is written again', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  store.put('left', 1);
  store.put('back', 1);
  await pass(500);
  const copy = store.copy();
  store.drop('left');
  store.drop('back');
  await pass(500);
  store.restore(copy);
  await pass(1_000);
  expect(values()).toEqual({});
  store.put('back', 2);
  await pass(200);
  expect(values()).toEqual({ back: 2 });
  store.drop('left');
  await pass(20_000);
  expect(values()).toEqual({ back: 2 });
});

test('the store is right again after a while, also where it says less than before', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  store.put('main', 1);
  await pass(500);
  const copy = store.copy();
  store.put('main', 2);
  await pass(500);
  store.restore(copy);
  await pass(15_000);
  expect(values()).toEqual({ main: 1 });
});

test('an entry that the restored store removes is removed at once', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  store.put('main', 1);
  await pass(500);
  const copy = store.copy();
  store.put('main', 2);
  await pass(500);
  store.restore(copy);
  await pass(1_000);
  store.drop('main');
  await pass(200);
  expect(values()).toEqual({});
});

test('two restorations in a row keep what was in force before the first', async () => {
  const store = createFakeStore();
  const { values } = follow(store);
  store.put('main', 1);
  await pass(500);
  const copy = store.copy();
  store.put('main', 2);
  await pass(500);
  store.restore(copy);
  await pass(700);
  store.restore(copy);
  await pass(700);
  expect(values()).toEqual({ main: 2 });
  store.put('main', 3);
  await pass(200);
  expect(values()).toEqual({ main: 3 });
});

test('a list or change of the era before is not taken from a peer, however high its revision', async () => {
  const store = createFakeStore();
  const { feed, values } = follow(store);
  store.put('a', 1);
  await pass(500);
  store.restore(store.copy());
  await pass(5_000);
  const old: StoredEntry = { name: 'old', era: 1, revision: 900, value: 9 };
  const delta = { era: 1, after: 0, revision: 900, changes: [{ ...old, isRemoved: false }] };
  expect(feed.adopt({ entries: [old], era: 1, revision: 900 })).toBe(false);
  expect(feed.apply(delta)).toBe(false);
  feed.confirm({ era: 1, revision: 0 }, 900);
  store.put('b', 1);
  await pass(200);
  expect(values()).toEqual({ a: 1, b: 1 });
});

test('a node that cannot reach the store takes the list of the new era from a peer', async () => {
  const store = createFakeStore();
  const { feed, values } = follow(store);
  store.put('a', 1);
  await pass(500);
  store.setDown(true);
  const entries: StoredEntry[] = [{ name: 'a', era: 2, revision: 1, value: 3 }];
  expect(feed.adopt({ entries, era: 2, revision: 1 })).toBe(true);
  expect(values()).toEqual({ a: 3 });
  expect(feed.position()).toEqual({ era: 2, revision: 1 });
});

test('a store that goes back without a new era is not asked without pause', async () => {
  const store = createFakeStore();
  let calls = 0;
  const access = store.connect(createTestEra());
  follow(store, {
    store: {
      ...access,
      list: () => {
        calls += 1;
        return access.list();
      },
      watch: async () => err('history_lost'),
    },
  });
  store.put('a', 1);
  await pass(10_000);
  expect(calls).toBeLessThanOrEqual(15);
});

// A position is logged; entries hold the keys of organisations.
test('log lines about the store hold no values of entries', async () => {
  const store = createFakeStore();
  const { lines } = follow(store);
  store.put('main', 1);
  await pass(500);
  store.put('main', 'secret-key');
  await pass(500);
  store.setDown(true);
  await pass(2_000);
  store.setDown(false);
  store.restore(store.copy());
  await pass(2_000);
  expect(lines.length).toBeGreaterThanOrEqual(2);
  expect(lines.join('')).not.toContain('secret-key');
});
