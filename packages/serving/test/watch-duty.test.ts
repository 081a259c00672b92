import { createTelemetry } from '@hibiscusbank/core';
import { err } from 'neverthrow';
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

/** A data centre whose nodes hear each other at once; each calls the store in its own way. */
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
        store: countCalls(storeOf(index)),
        telemetry: createTelemetry({}, () => {}),
        waitMs: 1_000,
        pauseMs: 900,
        digest: ({ value }) => String((value as { ready: boolean }).ready),
        whenOnDuty: duty.whenOnDuty,
        onChange: () => {},
        onLearned: (delta) => {
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

// A watch of every node returned for every heartbeat; the calls cost a sixth of a day's worth.
test('in a data centre of 23 nodes heartbeats cost the calls of three, and a leave reaches all', async () => {
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

// The bound on leaving servers holds for nodes whose watchers the store does not answer.
test('when the store turns the watchers away, a leave still reaches all within the bound', async () => {
  const LEAVING_BOUND_MS = 3_000;
  const store = createFakeStore();
  const stop = new AbortController();
  store.put('u0', { ready: true });
  const watchers = new Set(listWatchers(23, new Set()));
  let isTurningAway = false;
  const storeOf = (index: number): EntryStore => ({
    ...store,
    watch: async (...args) => {
      if (isTurningAway && watchers.has(index)) return err('unavailable');
      return store.watch(...args);
    },
  });
  const fleet = startFleet(23, storeOf, stop.signal);
  await vi.advanceTimersByTimeAsync(3_000);
  isTurningAway = true;
  // Watches that wait at the moment end with this change.
  store.put('u1', { ready: true });
  await vi.advanceTimersByTimeAsync(100);
  store.put('u0', { ready: false });
  await vi.advanceTimersByTimeAsync(LEAVING_BOUND_MS);
  for (const feed of fleet.feeds) {
    expect(feed.entries().get('u0')?.value).toMatchObject({ ready: false });
  }
  stop.abort();
});
