import { createTelemetry } from '@hibiscusbank/core';
import fc from 'fast-check';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { err } from 'neverthrow';
import { createEntryFeed } from '../src/entry-feed.js';
import type { EntryDelta, EntryFeed } from '../src/entry-feed.js';
import type { EntryStore } from '../src/index.js';
import { createFakeStore, createTestBridge, createTestEra } from './support/fake-store.js';
import type { FakeStore, StoreCopy } from './support/fake-store.js';

const SEED = 20_261_205;
const NODES = 3;
/** Time after which a confirmed change is in force on nodes that reach the store. */
const APPLY_MS = 3_000;
/** Time after a restoration within which operators and upstreams have written again. */
const REWRITE_MS = 2_000;
const WATCH_PAUSE_MS = 30;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

type Step =
  | { readonly kind: 'write'; readonly name: string }
  | { readonly kind: 'remove'; readonly name: string }
  | { readonly kind: 'copy' }
  | { readonly kind: 'restore'; readonly downMs: number }
  | { readonly kind: 'cut'; readonly node: number; readonly ms: number }
  | { readonly kind: 'readPeer'; readonly from: number; readonly to: number }
  | { readonly kind: 'pass'; readonly ms: number };

const name = fc.constantFrom('a', 'b', 'c');
const nodeIndex = fc.nat(NODES - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('write' as const), name }),
  fc.record({ kind: fc.constant('remove' as const), name }),
  fc.record({ kind: fc.constant('copy' as const) }),
  fc.record({ kind: fc.constant('restore' as const), downMs: fc.nat(3_000) }),
  fc.record({ kind: fc.constant('cut' as const), node: nodeIndex, ms: fc.nat(4_000) }),
  fc.record({ kind: fc.constant('readPeer' as const), from: nodeIndex, to: nodeIndex }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(2_000) }),
);

interface ModelNode {
  readonly feed: EntryFeed;
  isCut: boolean;
  /** Highest value of each name that was in force. */
  readonly highest: Map<string, number>;
  /** Names whose value went back although no removal was confirmed. */
  readonly reverted: string[];
}

function startNode(
  store: FakeStore,
  removed: ReadonlySet<string>,
  forward: (delta: EntryDelta) => void,
  signal: AbortSignal,
): ModelNode {
  const era = createTestEra();
  const access = store.connect(era);
  const highest = new Map<string, number>();
  const reverted: string[] = [];
  const node: { isCut: boolean } = { isCut: false };
  const reachable =
    <A extends unknown[], R>(call: (...args: A) => Promise<R>) =>
    async (...args: A): Promise<R> =>
      node.isCut ? (err('unavailable') as R) : call(...args);
  const cuttable: EntryStore = {
    ...access,
    list: reachable(access.list),
    watch: reachable(access.watch),
  };
  const feed = createEntryFeed({
    kind: 'model',
    store: cuttable,
    era,
    restored: createTestBridge(),
    telemetry: createTelemetry({}, () => {}),
    waitMs: 500,
    pauseMs: WATCH_PAUSE_MS,
    maxRetryMs: 400,
    onStoreDelta: forward,
    onChange: (entries) => {
      for (const { name: key, value } of entries.values()) {
        const before = highest.get(key) ?? 0;
        if ((value as number) < before && !removed.has(key)) reverted.push(`${key} ${value}`);
        highest.set(key, Math.max(before, value as number));
      }
    },
  });
  void feed.run(signal);
  return Object.assign(node, { feed, highest, reverted });
}

/** Plays a history, after which all nodes reach the store and what was lost is written again. */
async function playHistory(steps: readonly Step[]) {
  const store = createFakeStore();
  const stop = new AbortController();
  const removed = new Set<string>();
  /** What operators confirmed: the last value of each name. */
  const confirmed = new Map<string, number>();
  const nodes: ModelNode[] = [];
  let version = 0;
  let copy: StoreCopy = store.copy();
  for (let index = 0; index < NODES; index += 1) {
    const forward = (delta: EntryDelta): void => {
      nodes.forEach(({ feed, isCut }, other) => {
        if (other !== index && !isCut && !nodes[index]?.isCut) feed.apply(delta);
      });
    };
    nodes.push(startNode(store, removed, forward, stop.signal));
  }
  const rewrite = (): void => {
    const stored = store.copy().entries;
    for (const [key, value] of confirmed) {
      if (stored.get(key)?.value !== value) store.put(key, value);
    }
    for (const key of stored.keys()) if (!confirmed.has(key)) store.drop(key);
  };
  const play = async (taken: Step): Promise<void> => {
    if (taken.kind === 'write') {
      version += 1;
      store.put(taken.name, version);
      confirmed.set(taken.name, version);
      removed.delete(taken.name);
    } else if (taken.kind === 'remove') {
      if (confirmed.delete(taken.name)) store.drop(taken.name);
      removed.add(taken.name);
    } else if (taken.kind === 'copy') {
      copy = store.copy();
    } else if (taken.kind === 'restore') {
      store.setDown(true);
      await vi.advanceTimersByTimeAsync(taken.downMs);
      store.restore(copy);
      store.setDown(false);
      await vi.advanceTimersByTimeAsync(REWRITE_MS);
      rewrite();
    } else if (taken.kind === 'cut') {
      const cut = nodes[taken.node];
      if (cut !== undefined) cut.isCut = true;
      setTimeout(() => {
        if (cut !== undefined) cut.isCut = false;
      }, taken.ms);
    } else if (taken.kind === 'readPeer') {
      const list = nodes[taken.from]?.feed.list();
      if (list !== undefined && list.revision > 0) nodes[taken.to]?.feed.adopt(list);
    } else {
      await vi.advanceTimersByTimeAsync(taken.ms);
    }
  };
  for (const taken of steps) await play(taken);
  await vi.advanceTimersByTimeAsync(4_000 + APPLY_MS);
  const inForce = nodes.map(({ feed }) =>
    Object.fromEntries([...feed.entries().values()].map((entry) => [entry.name, entry.value])),
  );
  const reverted = nodes.flatMap((each) => each.reverted);
  stop.abort();
  await vi.advanceTimersByTimeAsync(1_000);
  return { inForce, reverted, confirmed: Object.fromEntries(confirmed) };
}

test('no confirmed change is lost or reverted over restorations, cuts and reads of peers', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 24 }), async (steps) => {
      const { inForce, reverted, confirmed } = await playHistory(steps);
      expect(reverted).toEqual([]);
      for (const known of inForce) expect(known).toEqual(confirmed);
    }),
    { seed: SEED, numRuns: 300 },
  );
});
