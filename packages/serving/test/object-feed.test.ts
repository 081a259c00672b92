import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createObjectFeed } from '../src/object-feed.js';
import { createFakeStore } from './support/fake-store.js';
import type { FakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function createFeed(store: FakeStore, changes: string[][]) {
  return createObjectFeed({
    kind: 'upstreams',
    store,
    telemetry: createTelemetry({}, () => {}),
    waitMs: 1_000,
    pauseMs: 600,
    onChange: (entries) => changes.push([...entries.keys()]),
  });
}

test('a change arrives within the pause between two watches', async () => {
  const store = createFakeStore();
  const changes: string[][] = [];
  const stop = new AbortController();
  store.put('one', 1);
  void createFeed(store, changes).run(stop.signal);
  await vi.advanceTimersByTimeAsync(700);
  store.put('two', 2);
  await vi.advanceTimersByTimeAsync(700);
  expect(changes.at(-1)).toEqual(['one', 'two']);
  stop.abort();
});

// A server that leaves while the history is lost would be used until the next change.
test('a lost history is followed by a list without a pause', async () => {
  const store = createFakeStore();
  const changes: string[][] = [];
  const stop = new AbortController();
  store.put('one', 1);
  void createFeed(store, changes).run(stop.signal);
  await vi.advanceTimersByTimeAsync(700);
  store.drop('one');
  store.compact();
  await vi.advanceTimersByTimeAsync(601);
  expect(changes.at(-1)).toEqual([]);
  stop.abort();
});

test('an outage of ten seconds costs few calls', async () => {
  const store = createFakeStore();
  const stop = new AbortController();
  let calls = 0;
  const feed = createFeed(
    {
      ...store,
      list: async () => {
        calls += 1;
        return err('unavailable');
      },
    },
    [],
  );
  void feed.run(stop.signal);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(calls).toBeLessThanOrEqual(12);
  expect(calls).toBeGreaterThanOrEqual(8);
  stop.abort();
});

test('a list of a peer is taken only when it is newer', () => {
  const changes: string[][] = [];
  const feed = createFeed(createFakeStore(), changes);
  const entry = { name: 'a', revision: 5, value: 1 };
  expect(feed.adopt({ entries: [entry], revision: 9 })).toBe(true);
  expect(feed.adopt({ entries: [], revision: 9 })).toBe(false);
  expect(feed.adopt({ entries: [], revision: 3 })).toBe(false);
  expect(changes).toEqual([['a']]);
});
