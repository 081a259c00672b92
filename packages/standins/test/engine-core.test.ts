import { hashPrefixes, PREFIX_BLOCK_CHARS } from '@hibiscusbank/core';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEngineCore } from '../src/engine/engine-core.js';
import type { EngineCore } from '../src/engine/engine-core.js';
import { createLink } from '../src/engine/link.js';
import { createPrefixCache } from '../src/engine/prefix-cache.js';
import { ENGINE_DEFAULTS } from '../src/engine/types.js';
import type { EngineOptions } from '../src/engine/types.js';

const KV = { promptTokens: 10, bytes: 1_000, tag: 'abcdef01', nextIndex: 0 };

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

function createCore(options: Partial<EngineOptions> = {}): EngineCore {
  return createEngineCore(
    { ...ENGINE_DEFAULTS, prefillTokensPerMs: 1, linkBytesPerMs: 1_000, ...options },
    {
      kvClient: { begin: async () => KV, end: async () => {}, isLocal: () => false },
      reserveWeights: async () => 500,
      setRefusing: () => {},
      destroyConnections: () => {},
    },
  );
}

const prefillCall = (id: string, prompt: string, priority = 1) => ({
  requestId: id,
  attempt: 1,
  prompt,
  priority,
});

const decodeCall = (id: string, maxTokens = 10) => ({
  requestId: id,
  attempt: 1,
  organisation: undefined,
  kvId: 'kv',
  kvSource: 'remote-engine',
  startIndex: 0,
  maxTokens,
});

test('an export that nobody imports is dropped after its TTL and counted as wasted', async () => {
  const core = createCore({ kvTtlMs: 800 });
  const done = core.prefill(prefillCall('r1', 'x'.repeat(40)));
  await vi.advanceTimersByTimeAsync(10);
  await done;
  await vi.advanceTimersByTimeAsync(799);
  expect(core.holds()).toHaveLength(1);
  await vi.advanceTimersByTimeAsync(1);
  expect(core.holds()).toEqual([]);
  expect(core.readState()).toMatchObject({ wastedPrefills: 1, blocksUsed: 0 });
});

test('waiting prefills run in order of priority instead of arrival', async () => {
  const core = createCore();
  const order: string[] = [];
  for (const [id, priority] of [
    ['first', 1],
    ['low', 1],
    ['high', 9],
  ] as const) {
    void core.prefill(prefillCall(id, 'x'.repeat(40), priority)).then(() => order.push(id));
  }
  await vi.advanceTimersByTimeAsync(100);
  expect(order).toEqual(['first', 'high', 'low']);
});

test('cached prefix tokens cost no prefill time', async () => {
  const core = createCore({ kvTtlMs: 10_000 });
  const prompt = 'x'.repeat(2 * PREFIX_BLOCK_CHARS);
  void core.prefill(prefillCall('r1', prompt));
  await vi.advanceTimersByTimeAsync(2_000);
  const second = core.prefill(prefillCall('r2', prompt));
  await vi.advanceTimersByTimeAsync(1);
  expect(await second).toMatchObject({ cachedTokens: 2_000 });
});

test('the cancellation of a running prefill frees its memory', async () => {
  const core = createCore();
  void core.prefill(prefillCall('r1', 'x'.repeat(4_000)));
  await vi.advanceTimersByTimeAsync(1);
  expect(core.readState().blocksUsed).toBe(1);
  core.cancel('r1');
  expect(core.readState().blocksUsed).toBe(0);
});

test('a cancellation during a KV transfer frees the slot and its memory at once', async () => {
  const core = createCore({ linkBytesPerMs: 1 });
  const started = core.decode(decodeCall('r1'));
  await vi.advanceTimersByTimeAsync(1);
  expect(core.holds()).toMatchObject([{ kind: 'slot', blocks: 1 }]);
  core.cancel('r1', 1);
  expect(core.readState()).toMatchObject({ holds: 0, blocksUsed: 0 });
  expect(await started).toMatchObject({ status: 499 });
});

test('a decode that needs more memory than is free is refused as not run', async () => {
  const core = createCore({ blocks: 1 });
  expect(await core.decode(decodeCall('r1', 5_000))).toMatchObject({ status: 503, notRun: true });
  expect(core.holds()).toEqual([]);
});

test('a cold engine refuses requests above its limit until the cold start ends', async () => {
  const core = createCore({ coldLimit: 1, coldMs: 1_000, linkBytesPerMs: 0 });
  core.faults.set({ turnCold: true });
  void core.decode(decodeCall('r1'));
  expect(await core.decode(decodeCall('r2'))).toMatchObject({ status: 503, cold: true });
  await vi.advanceTimersByTimeAsync(1_000);
  void core.decode(decodeCall('r3'));
  expect(core.readState().slotsUsed).toBe(2);
});

test('a frozen engine generates no tokens and continues when the freeze ends', async () => {
  const core = createCore({ tokenMs: 10, tokenMsPerStream: 0 });
  const pending = core.decode(decodeCall('r1', 1_000));
  await vi.advanceTimersByTimeAsync(20);
  const stream = await pending;
  core.faults.set({ freeze: true }, 500);
  const before = 'produced' in stream ? stream.produced : -1;
  await vi.advanceTimersByTimeAsync(499);
  expect(stream).toMatchObject({ produced: before });
  await vi.advanceTimersByTimeAsync(100);
  expect('produced' in stream && stream.produced > before).toBe(true);
});

test('the load report shows a change only after the load lag', async () => {
  const core = createCore({ loadLagMs: 400, linkBytesPerMs: 0 });
  void core.decode(decodeCall('r1'));
  await vi.advanceTimersByTimeAsync(399);
  expect(core.readLoad().slotsUsed).toBe(0);
  await vi.advanceTimersByTimeAsync(1);
  expect(core.readLoad().slotsUsed).toBe(1);
});

test('a model is served only after the wait for the weight store and the model load', async () => {
  const core = createCore({ models: ['old'], modelLoadMs: 1_000 });
  core.orders.apply({ epoch: 1, kind: 'load', model: 'new' });
  await vi.advanceTimersByTimeAsync(1_499);
  expect(core.orders.serves('new')).toBe(false);
  await vi.advanceTimersByTimeAsync(1);
  expect(core.orders.serves('new')).toBe(true);
});

test('concurrent transfers share the rate of their link equally', async () => {
  const link = createLink(() => 10);
  const finished: string[] = [];
  void link.transfer(100).done.then(() => finished.push('small'));
  void link.transfer(300).done.then(() => finished.push('large'));
  await vi.advanceTimersByTimeAsync(19);
  expect(finished).toEqual([]);
  await vi.advanceTimersByTimeAsync(1);
  expect(finished).toEqual(['small']);
  await vi.advanceTimersByTimeAsync(20);
  expect(finished).toEqual(['small', 'large']);
});

test('cache events appear after their lag, and lost ones leave gaps in the sequence', async () => {
  const cache = createPrefixCache({
    blocks: 9,
    lagMs: 100,
    gapEvery: 2,
    losesAllEvents: () => false,
  });
  cache.store(hashPrefixes('x'.repeat(3 * PREFIX_BLOCK_CHARS)));
  expect(cache.readEvents(0)).toEqual({ latestSeq: 0, events: [] });
  await vi.advanceTimersByTimeAsync(100);
  expect(cache.readEvents(0).events.map((event) => event.seq)).toEqual([1, 3]);
});

test('a full cache evicts the least recently used prefix', () => {
  const cache = createPrefixCache({
    blocks: 2,
    lagMs: 0,
    gapEvery: 0,
    losesAllEvents: () => false,
  });
  cache.store([1]);
  cache.store([2]);
  cache.store([1]);
  cache.store([3]);
  expect([1, 2, 3].map((hash) => cache.cachedTokens([hash]))).toEqual([1_000, 0, 1_000]);
});
