import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEntryFeed } from '../src/entry-feed.js';
import { createFakeStore, createTestBridge, createTestEra } from './support/fake-store.js';
import type { EntryDelta, FeedOptions } from '../src/entry-feed.js';
import type { FakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function createFeed(store: FakeStore, changes: string[][], more: Partial<FeedOptions> = {}) {
  return createEntryFeed({
    kind: 'upstreams',
    store,
    era: createTestEra(),
    restored: createTestBridge(),
    telemetry: createTelemetry({}, () => {}),
    waitMs: 1_000,
    pauseMs: 600,
    maxRetryMs: 1_200,
    onChange: (entries) => changes.push([...entries.keys()]),
    ...more,
  });
}

const added = (name: string, revision: number, era = 1) => ({
  name,
  era,
  revision,
  value: 1,
  isRemoved: false,
});
const removed = (name: string, revision: number, era = 1) => ({
  name,
  era,
  revision,
  value: null,
  isRemoved: true,
});

test('a change is applied within one pause between two watches', async () => {
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

// Otherwise an upstream removed while the history is lost would be used until the next change.
test('after a lost history the list is read without a pause', async () => {
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

test('a store outage of ten seconds causes few calls', async () => {
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

test('a list from a peer is adopted only when it is newer', () => {
  const changes: string[][] = [];
  const feed = createFeed(createFakeStore(), changes);
  const entry = { name: 'a', era: 1, revision: 5, value: 1 };
  expect(feed.adopt({ entries: [entry], era: 1, revision: 9 })).toBe(true);
  expect(feed.adopt({ entries: [], era: 1, revision: 9 })).toBe(false);
  expect(feed.adopt({ entries: [], era: 1, revision: 3 })).toBe(false);
  expect(changes).toEqual([['a']]);
});

// Otherwise the heartbeats of all upstreams would be sent to every node of a data centre.
test('a change with an unchanged digest is neither forwarded nor counted', async () => {
  const store = createFakeStore();
  const changes: string[][] = [];
  const forwarded: EntryDelta[] = [];
  const stop = new AbortController();
  store.put('one', { state: 'ready', heartbeat: 1 });
  const feed = createFeed(store, changes, {
    digest: ({ value }) => (value as { state: string }).state,
    onStoreDelta: (delta) => forwarded.push(delta),
  });
  void feed.run(stop.signal);
  await vi.advanceTimersByTimeAsync(700);
  const before = feed.changePosition().revision;
  store.put('one', { state: 'ready', heartbeat: 2 });
  await vi.advanceTimersByTimeAsync(1_400);
  expect([changes.length, forwarded.length, feed.changePosition().revision]).toEqual([
    1,
    0,
    before,
  ]);
  store.put('one', { state: 'draining', heartbeat: 3 });
  await vi.advanceTimersByTimeAsync(1_400);
  expect(changes).toHaveLength(2);
  expect(forwarded).toEqual([
    expect.objectContaining({ changes: [expect.objectContaining({ name: 'one' })] }),
  ]);
  stop.abort();
});

test('a change forwarded by a peer is applied when no earlier change is missing', () => {
  const changes: string[][] = [];
  const feed = createFeed(createFakeStore(), changes);
  feed.adopt({ entries: [{ name: 'a', era: 1, revision: 5, value: 1 }], era: 1, revision: 9 });
  expect(feed.apply({ after: 9, era: 1, revision: 11, changes: [added('b', 11)] })).toBe(true);
  expect(feed.apply({ after: 12, era: 1, revision: 13, changes: [removed('a', 13)] })).toBe(false);
  expect(changes.at(-1)).toEqual(['a', 'b']);
  // The peer knows of no change between 11 and 12, so no change is missing any more.
  feed.confirm({ era: 1, revision: 11 }, 12);
  expect(feed.apply({ after: 12, era: 1, revision: 13, changes: [removed('a', 13)] })).toBe(true);
  expect(changes.at(-1)).toEqual(['b']);
});

test('the revisions of a peer do not hide a change that is missing locally', () => {
  const feed = createFeed(createFakeStore(), []);
  feed.adopt({ entries: [], era: 1, revision: 9 });
  feed.confirm({ era: 1, revision: 10 }, 20);
  expect(feed.position().revision).toBe(9);
});

// Otherwise a removed upstream could return with a delayed message and get requests.
test('a removed entry is not restored by an older change', () => {
  const changes: string[][] = [];
  const feed = createFeed(createFakeStore(), changes);
  feed.adopt({ entries: [{ name: 'a', era: 1, revision: 5, value: 1 }], era: 1, revision: 9 });
  feed.apply({ after: 9, era: 1, revision: 12, changes: [removed('a', 12)] });
  feed.apply({ after: 4, era: 1, revision: 13, changes: [added('a', 5), added('b', 13)] });
  expect(changes.at(-1)).toEqual(['b']);
});

test('a list read after a lost history is forwarded as the changes in it', async () => {
  const store = createFakeStore();
  const forwarded: EntryDelta[] = [];
  const stop = new AbortController();
  store.put('one', 1);
  store.put('two', 2);
  void createFeed(store, [], { onStoreDelta: (delta) => forwarded.push(delta) }).run(stop.signal);
  await vi.advanceTimersByTimeAsync(700);
  store.compact();
  store.drop('one');
  store.compact();
  await vi.advanceTimersByTimeAsync(1_300);
  expect(forwarded.flatMap(({ changes }) => changes)).toEqual([
    expect.objectContaining({ name: 'one', isRemoved: true }),
  ]);
  stop.abort();
});

// Otherwise one entry that a handler cannot take would end the process, or leave the node behind for good.
test('an exception while a change is applied is logged and does not end the feed', async () => {
  const store = createFakeStore();
  const stop = new AbortController();
  const lines: string[] = [];
  const known: number[] = [];
  const feed = createFeed(store, [], {
    telemetry: createTelemetry({}, (_, __, text) => lines.push(text)),
    onChange: (entries) => {
      if (entries.has('odd')) throw new Error('cannot take it');
      known.push(entries.size);
    },
  });
  void feed.run(stop.signal);
  await vi.advanceTimersByTimeAsync(700);
  store.put('odd', 1);
  await vi.advanceTimersByTimeAsync(3_000);
  store.drop('odd');
  store.put('sound', 1);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(known.at(-1)).toBe(1);
  expect(lines).toContain('following the store failed unexpectedly; continued');
  stop.abort();
});
