import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { KnowledgeBounds, StoredEntry } from '../src/index.js';
import { createStoreFeeds } from '../src/store-feeds.js';
import { createFakeStore, createTestEra } from './support/fake-store.js';
import type { FakeStore } from './support/fake-store.js';

const SMALL_SITE: KnowledgeBounds = {
  recoveryMs: 3_000,
  applyTablesWithinMs: 2_000,
  stopSendingWithinMs: 2_000,
  leaveDataCentreWithinMs: 5_000,
};
const LARGE_SITE: KnowledgeBounds = {
  recoveryMs: 5_000,
  applyTablesWithinMs: 4_000,
  stopSendingWithinMs: 4_000,
  leaveDataCentreWithinMs: 5_000,
};
const KINDS = ['tables', 'upstreams', 'outOfService'] as const;
type Kind = (typeof KINDS)[number];

/** Returns the time after the end of a silence by which a kind of change has to be known. */
function knownWithinMs(bounds: KnowledgeBounds, kind: Kind): number {
  const withinMs = kind === 'outOfService' ? bounds.leaveDataCentreWithinMs : 0;
  return Math.max(bounds.recoveryMs, withinMs);
}

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

interface Fixture {
  readonly stores: Readonly<Record<Kind, FakeStore>>;
  knows(kind: Kind, name: string): boolean;
  stop(): void;
}

async function startFeeds(bounds: KnowledgeBounds): Promise<Fixture> {
  const era = createTestEra();
  const stores = {
    tables: createFakeStore(era),
    upstreams: createFakeStore(era),
    outOfService: createFakeStore(era),
    rollouts: undefined,
  };
  const known = new Map<Kind, readonly string[]>();
  const record = (kind: Kind) => (entries: ReadonlyMap<string, StoredEntry>) => {
    known.set(kind, [...entries.keys()]);
  };
  const stopping = new AbortController();
  createStoreFeeds({
    stores,
    era,
    decoders: {
      tablesName: 'main',
      tables: () => undefined,
      upstream: () => undefined,
      rollout: () => undefined,
      tablesOrder: () => undefined,
      upstreamOrder: () => undefined,
    },
    bounds,
    watcherSelection: { whenSelected: async () => {} },
    onTables: record('tables'),
    onUpstreams: record('upstreams'),
    onOutOfService: record('outOfService'),
    onRollouts: () => {},
    onStoreDelta: () => {},
    telemetry: createTelemetry({}, () => {}),
  }).run(stopping.signal);
  await vi.advanceTimersByTimeAsync(1_000);
  return {
    stores,
    knows: (kind, name) => known.get(kind)?.includes(name) ?? false,
    stop: () => stopping.abort(),
  };
}

/** Returns the kinds of which a change right after a silence of the stores becomes known too late. */
async function findLateKinds(
  bounds: KnowledgeBounds,
  silenceMs: number,
  silenced: readonly Kind[],
): Promise<Kind[]> {
  const { stores, knows, stop } = await startFeeds(bounds);
  for (const kind of silenced) stores[kind].setSilent(true);
  await vi.advanceTimersByTimeAsync(silenceMs);
  for (const kind of silenced) stores[kind].setSilent(false);
  for (const kind of silenced) stores[kind].put('added', {});
  const late: Kind[] = [];
  let elapsedMs = 0;
  for (const kind of silenced) {
    const withinMs = knownWithinMs(bounds, kind);
    await vi.advanceTimersByTimeAsync(withinMs - elapsedMs);
    elapsedMs = withinMs;
    if (!knows(kind, 'added')) late.push(kind);
  }
  stop();
  return late;
}

// Guards against watches that stay open beyond the outage in which they were silenced.
test.each([SMALL_SITE, LARGE_SITE])(
  'a change after a silent outage of any length is known in time (bounds %o)',
  async (bounds) => {
    const late: string[] = [];
    for (let silenceMs = 100; silenceMs <= 20_000; silenceMs += 100) {
      const kinds = await findLateKinds(bounds, silenceMs, KINDS);
      late.push(...kinds.map((kind) => `${kind} ${silenceMs}`));
    }
    expect(late).toEqual([]);
  },
);

// Guards against a watch whose connection hangs while the calls of other kinds are answered.
test.each([SMALL_SITE, LARGE_SITE])(
  'a change is known in time after only one watch was silenced (bounds %o)',
  async (bounds) => {
    const late: Kind[] = [];
    for (const kind of KINDS) late.push(...(await findLateKinds(bounds, 1, [kind])));
    expect(late).toEqual([]);
  },
);
