import { upstreamId } from '@hibiscusbank/core';
import type { CacheEvent } from '@hibiscusbank/engines';
import { expect, test } from 'vitest';
import { createCacheIndex } from '../src/cache-index.js';
import {
  createCell,
  createEngineEntry,
  createFakeEngine,
  createFakePort,
  telemetry,
} from './support.js';

function createHarness() {
  const engine = createFakeEngine('prefill');
  const index = createCacheIndex({
    engines: createFakePort({ p1: engine }),
    telemetry,
    listCells: () => [createCell([createEngineEntry('p1', 'prefill')])],
  });
  const setEvents = (latestSeq: number, events: CacheEvent[], snapshot: number[]): void => {
    engine.readCacheEvents = (after) => ({
      latestSeq,
      events: events.filter((event) => event.seq > after),
      ...(after < 0 ? { snapshot } : {}),
    });
  };
  return { index, setEvents };
}

const engine = upstreamId('p1');

test('counts only the leading prefixes up to the first that is not cached', async () => {
  const { index, setEvents } = createHarness();
  setEvents(
    2,
    [
      { seq: 1, kind: 'stored', hash: 11 },
      { seq: 2, kind: 'stored', hash: 13 },
    ],
    [],
  );
  await index.poll();
  expect(index.findCachedTokens(engine, [11, 12, 13])).toBe(1_000);
});

test('an evicted prefix is no longer counted as cached', async () => {
  const { index, setEvents } = createHarness();
  index.recordPlacement(engine, [11, 12]);
  expect(index.findCachedTokens(engine, [11, 12])).toBe(2_000);
  setEvents(1, [{ seq: 1, kind: 'evicted', hash: 11 }], []);
  await index.poll();
  expect(index.findCachedTokens(engine, [11, 12])).toBe(0);
});

test('after a gap in the events the index is replaced by a snapshot of the engine', async () => {
  const { index, setEvents } = createHarness();
  index.recordPlacement(engine, [11]);
  setEvents(9, [{ seq: 9, kind: 'stored', hash: 99 }], [42]);
  await index.poll();
  expect(index.findCachedTokens(engine, [11])).toBe(0);
  expect(index.findCachedTokens(engine, [42])).toBe(1_000);
});
