import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEntryFeed } from '../src/entry-feed.js';
import type { EntryFeed } from '../src/entry-feed.js';
import type { EntryStore } from '../src/index.js';
import { createWatcherSelection, isWatcher } from '../src/watcher-selection.js';
import { createFakeStore, createTestBridge, createTestEra } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'],
  });
});

afterEach(() => {
  vi.useRealTimers();
});

const name = (index: number): string => `node-${index}`;

/**
 * Returns the nodes that watch the store when all have contact with each other and the store
 * rejects some.
 */
function listWatchers(count: number, rejected: ReadonlySet<number>): number[] {
  const nodes = Array.from({ length: count }, (_, index) => ({
    node: name(index),
    isConnected: !rejected.has(index),
  }));
  return nodes.flatMap(({ node }, index) => {
    const peers = nodes.filter((peer) => peer.node !== node);
    return isWatcher(node, 'a', peers) ? [index] : [];
  });
}

test('three nodes of a data centre watch the store, regardless of its size', () => {
  expect(listWatchers(57, new Set())).toHaveLength(3);
  expect(listWatchers(23, new Set())).toHaveLength(3);
  expect(listWatchers(3, new Set())).toHaveLength(3);
  expect(listWatchers(1, new Set())).toHaveLength(1);
});

test('watchers that the store rejects are replaced and keep trying', () => {
  const first = listWatchers(23, new Set());
  const second = listWatchers(23, new Set(first));
  expect(first.every((index) => second.includes(index))).toBe(true);
  expect(second).toHaveLength(6);
});

test('a node without contact to peers watches the store', () => {
  expect(isWatcher('node-1', 'a', [])).toBe(true);
});

interface Fleet {
  readonly feeds: readonly EntryFeed[];
  readonly calls: () => number;
}

/**
 * Starts a data centre in which changes reach all nodes immediately; each node has its own access
 * to the store.
 */
function startFleet(
  count: number,
  storeOf: (index: number) => EntryStore,
  stop: AbortSignal,
): Fleet {
  let calls = 0;
  const countCalls = (store: EntryStore): EntryStore => ({
    ...store,
    list: () => {
      calls += 1;
      return store.list();
    },
    watch: (...args) => {
      calls += 1;
      return store.watch(...args);
    },
  });
  const feeds: EntryFeed[] = [];
  const known = (self: number) =>
    feeds.flatMap((feed, index) =>
      index === self ? [] : [{ node: name(index), isConnected: feed.isConnected() }],
    );
  for (let index = 0; index < count; index += 1) {
    const selection = createWatcherSelection({
      self: name(index),
      dataCentre: 'a',
      peers: () => known(index),
    });
    setInterval(selection.check, 200);
    feeds.push(
      createEntryFeed({
        kind: 'upstreams',
        store: countCalls(storeOf(index)),
        era: createTestEra(),
        restored: createTestBridge(),
        telemetry: createTelemetry({}, () => {}),
        waitMs: 1_000,
        maxRetryMs: 1_200,
        pauseMs: 900,
        digest: ({ value }) => String((value as { ready: boolean }).ready),
        whenSelected: selection.whenSelected,
        onChange: () => {},
        onStoreDelta: (delta) => {
          feeds.forEach((feed, other) => {
            if (other !== index) feed.apply(delta);
          });
        },
      }),
    );
  }
  for (const feed of feeds) void feed.run(stop);
  return { feeds, calls: () => calls };
}

// Guards against excessive store calls: when every node watched, each heartbeat ended the watches of
// all nodes, and the calls cost a sixth of what the traffic of a day is worth.
test('in a data centre of 23 nodes only three nodes call the store, and all nodes learn that an upstream is draining', async () => {
  const store = createFakeStore();
  const stop = new AbortController();
  for (let index = 0; index < 140; index += 1) store.put(`u${index}`, { ready: true, beat: 0 });
  const fleet = startFleet(23, () => store, stop.signal);
  await vi.advanceTimersByTimeAsync(3_000);
  const before = fleet.calls();
  for (let beat = 1; beat <= 100; beat += 1) {
    store.put(`u${beat}`, { ready: true, beat });
    await vi.advanceTimersByTimeAsync(100);
  }
  expect(fleet.calls() - before).toBeLessThanOrEqual(3 * 13);
  store.put('u0', { ready: false, beat: 0 });
  await vi.advanceTimersByTimeAsync(1_000);
  for (const feed of fleet.feeds)
    expect(feed.entries().get('u0')?.value).toMatchObject({ ready: false });
  stop.abort();
});

// The bound on requests to draining upstreams also holds while the store rejects the watchers.
test('when the store rejects the watchers, all nodes still learn within the bound that an upstream is draining', async () => {
  const STOP_SENDING_WITHIN_MS = 3_000;
  const store = createFakeStore();
  const stop = new AbortController();
  store.put('u0', { ready: true });
  const watchers = new Set(listWatchers(23, new Set()));
  let isRejecting = false;
  const storeOf = (index: number): EntryStore => ({
    ...store,
    watch: async (...args) => {
      if (isRejecting && watchers.has(index)) return err('unavailable');
      return store.watch(...args);
    },
  });
  const fleet = startFleet(23, storeOf, stop.signal);
  await vi.advanceTimersByTimeAsync(3_000);
  isRejecting = true;
  // This change ends the watches that are in progress.
  store.put('u1', { ready: true });
  await vi.advanceTimersByTimeAsync(100);
  store.put('u0', { ready: false });
  await vi.advanceTimersByTimeAsync(STOP_SENDING_WITHIN_MS);
  for (const feed of fleet.feeds) {
    expect(feed.entries().get('u0')?.value).toMatchObject({ ready: false });
  }
  stop.abort();
});
