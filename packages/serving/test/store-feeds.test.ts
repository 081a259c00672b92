import { createTelemetry } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import type { StoredEntry } from '../src/index.js';
import { createStoreFeeds } from '../src/store-feeds.js';
import { createFakeStore } from './support/fake-store.js';
import type { FakeStore } from './support/fake-store.js';

const BOUNDS = {
  recoveryMs: 3_000,
  applyTablesWithinMs: 2_000,
  stopSendingWithinMs: 2_000,
  leaveDataCentreWithinMs: 5_000,
};
const KINDS = ['tables', 'upstreams', 'outOfService'] as const;
type Kind = (typeof KINDS)[number];

/** Time after the end of a silence by which each kind of change has to be known. */
const KNOWN_WITHIN_MS: Readonly<Record<Kind, number>> = {
  tables: 3_000,
  upstreams: 3_000,
  outOfService: 5_000,
};

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

async function startFeeds(): Promise<Fixture> {
  const stores = {
    tables: createFakeStore(),
    upstreams: createFakeStore(),
    outOfService: createFakeStore(),
  };
  const known = new Map<Kind, readonly string[]>();
  const record = (kind: Kind) => (entries: ReadonlyMap<string, StoredEntry>) => {
    known.set(kind, [...entries.keys()]);
  };
  const stopping = new AbortController();
  createStoreFeeds({
    stores,
    decoders: {
      tablesName: 'main',
      tables: () => undefined,
      upstream: () => undefined,
    },
    bounds: BOUNDS,
    watcherSelection: { whenSelected: async () => {} },
    onTables: record('tables'),
    onUpstreams: record('upstreams'),
    onOutOfService: record('outOfService'),
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
async function findLateKinds(silenceMs: number, silenced: readonly Kind[]): Promise<Kind[]> {
  const { stores, knows, stop } = await startFeeds();
  for (const kind of silenced) stores[kind].setSilent(true);
  await vi.advanceTimersByTimeAsync(silenceMs);
  for (const kind of silenced) stores[kind].setSilent(false);
  for (const kind of silenced) stores[kind].put('added', {});
  const late: Kind[] = [];
  let elapsedMs = 0;
  for (const kind of silenced) {
    await vi.advanceTimersByTimeAsync(KNOWN_WITHIN_MS[kind] - elapsedMs);
    elapsedMs = KNOWN_WITHIN_MS[kind];
    if (!knows(kind, 'added')) late.push(kind);
  }
  stop();
  return late;
}

// Guards against watches that stay open beyond the outage in which they were silenced.
test('a change after a silent outage is known in time, whatever the length of the outage', async () => {
  const late: string[] = [];
  for (let silenceMs = 100; silenceMs <= 20_000; silenceMs += 100) {
    for (const kind of await findLateKinds(silenceMs, KINDS)) late.push(`${kind} ${silenceMs}`);
  }
  expect(late).toEqual([]);
});

// Guards against a watch whose connection hangs while the calls of other kinds are answered.
test('a change is known in time after only one watch was silenced', async () => {
  const late: Kind[] = [];
  for (const kind of KINDS) late.push(...(await findLateKinds(1, [kind])));
  expect(late).toEqual([]);
});
