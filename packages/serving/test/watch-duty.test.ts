import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createObjectFeed } from '../src/object-feed.js';
import type { ObjectFeed } from '../src/object-feed.js';
import type { EntryStore } from '../src/index.js';
import { createWatchDuty, isWatcher } from '../src/watch-duty.js';
import { createFakeStore } from './support/fake-store.js';

beforeEach(() => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'],
  });
});

afterEach(() => {
  vi.useRealTimers();
});

const name = (index: number): string => `node-${index}`;

/** Nodes that watch when all hear each other and the store turns some away. */
function listWatchers(count: number, turnedAway: ReadonlySet<number>): number[] {
  const nodes = Array.from({ length: count }, (_, index) => ({
    node: name(index),
    isConnected: !turnedAway.has(index),
  }));
  return nodes.flatMap(({ node }, index) => {
    const peers = nodes.filter((peer) => peer.node !== node);
    return isWatcher(node, 'a', peers) ? [index] : [];
  });
}

test('three nodes of a data centre watch, whatever its size', () => {
  expect(listWatchers(57, new Set())).toHaveLength(3);
  expect(listWatchers(23, new Set())).toHaveLength(3);
  expect(listWatchers(3, new Set())).toHaveLength(3);
  expect(listWatchers(1, new Set())).toHaveLength(1);
});

test('nodes that the store turns away are replaced and go on trying', () => {
  const first = listWatchers(23, new Set());
  const second = listWatchers(23, new Set(first));
  expect(first.every((index) => second.includes(index))).toBe(true);
  expect(second).toHaveLength(6);
});

test('a node that hears nobody watches', () => {
  expect(isWatcher('node-1', 'a', [])).toBe(true);
});

interface Fleet {
  readonly feeds: readonly ObjectFeed[];
  readonly calls: () => number;
}

/** A data centre whose nodes hear each other at once, with a share of notices lost. */
function startFleet(
  count: number,
  store: EntryStore,
  lost: () => boolean,
  stop: AbortSignal,
): Fleet {
  let calls = 0;
  const counted: EntryStore = {
    ...store,
    list: () => {
      calls += 1;
      return store.list();
    },
    watch: (...args) => {
      calls += 1;
      return store.watch(...args);
    },
  };
  const feeds: ObjectFeed[] = [];
  const known = (self: number) =>
    feeds.flatMap((feed, index) =>
      index === self ? [] : [{ node: name(index), isConnected: feed.isConnected() }],
    );
  for (let index = 0; index < count; index += 1) {
    const duty = createWatchDuty({
      self: name(index),
      dataCentre: 'a',
      peers: () => known(index),
    });
    setInterval(duty.check, 200);
    feeds.push(
      createObjectFeed({
        kind: 'upstreams',
        store: counted,
        telemetry: createTelemetry({}, () => {}),
        waitMs: 1_000,
        pauseMs: 900,
        digest: ({ value }) => String((value as { ready: boolean }).ready),
        whenOnDuty: duty.whenOnDuty,
        onChange: () => {},
        onLearned: (delta) => {
          feeds.forEach((feed, other) => {
            if (other !== index && !lost()) feed.apply(delta);
          });
        },
      }),
    );
  }
  for (const feed of feeds) void feed.run(stop);
  return { feeds, calls: () => calls };
}

// A watch of every node returned for every heartbeat; the calls cost a sixth of a day's worth.
test('in a data centre of 23 nodes heartbeats cost the calls of three, and a leave reaches all', async () => {
  const store = createFakeStore();
  const stop = new AbortController();
  for (let index = 0; index < 140; index += 1) store.put(`u${index}`, { ready: true, beat: 0 });
  const fleet = startFleet(23, store, () => false, stop.signal);
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

test('when the store turns the watchers away, others take over within a second', async () => {
  const store = createFakeStore();
  const stop = new AbortController();
  store.put('u0', { ready: true });
  const turnedAway = new Set(listWatchers(23, new Set()));
  let isPartial = false;
  let caller = 0;
  // Calls come from nodes in turn; a node on duty keeps its place in it.
  const partial: EntryStore = {
    ...store,
    watch: (...args) => {
      caller += 1;
      if (isPartial && caller <= turnedAway.size) store.setDown(true);
      const result = store.watch(...args);
      store.setDown(false);
      return result;
    },
  };
  const fleet = startFleet(23, partial, () => false, stop.signal);
  await vi.advanceTimersByTimeAsync(3_000);
  isPartial = true;
  caller = 0;
  store.put('u0', { ready: false });
  await vi.advanceTimersByTimeAsync(3_000);
  for (const feed of fleet.feeds)
    expect(feed.entries().get('u0')?.value).toMatchObject({ ready: false });
  stop.abort();
});
