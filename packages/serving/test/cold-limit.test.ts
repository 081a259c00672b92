import { ok } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createColdLimit } from '../src/cold-limit.js';
import {
  createFakeTransport,
  createReply,
  createTables,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntil,
  waitUntilReady,
} from './support/test-node.js';

const RATE = 10;
const USABLE = 9;
const cold = { ...createUpstream('cold'), coldUntil: Infinity };

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

// Requests that waited for a prefill all passed the same check, and were sent in one moment.
test('requests that were placed and not yet sent count against the limit', () => {
  const limit = createColdLimit({ self: 'a', nodes: () => ['a'] });
  const permits = Array.from({ length: 30 }, () => limit.take(cold, RATE)).filter(
    (permit) => permit !== undefined,
  );
  expect(permits).toHaveLength(USABLE);
  vi.advanceTimersByTime(1_500);
  expect(limit.isAllowed(cold, RATE)).toBe(false);
  permits.forEach((permit) => permit.recordSend());
  vi.advanceTimersByTime(900);
  expect(limit.isAllowed(cold, RATE)).toBe(false);
  vi.advanceTimersByTime(200);
  expect(limit.isAllowed(cold, RATE)).toBe(true);
});

test('a permit that was not used leaves room for another request, and one that was used does not', () => {
  const limit = createColdLimit({ self: 'a', nodes: () => ['a'] });
  const permits = Array.from({ length: USABLE }, () => limit.take(cold, RATE));
  expect(limit.take(cold, RATE)).toBeUndefined();
  permits[0]?.release();
  permits[0]?.release();
  expect(limit.take(cold, RATE)).toBeDefined();
  expect(limit.take(cold, RATE)).toBeUndefined();
  permits[1]?.recordSend();
  permits[1]?.release();
  expect(limit.take(cold, RATE)).toBeUndefined();
});

// Nodes that had just started took the whole rate each, since they knew no others.
test('a node that does not know the fleet sends nothing to a cold upstream', () => {
  const limit = createColdLimit({ self: 'a', nodes: () => [] });
  expect(limit.take(cold, RATE)).toBeUndefined();
  expect(limit.take({ ...cold, coldUntil: 0 }, RATE)).toBeDefined();
});

// A cold engine that came after the loss of others got more runs within a second than it states.
test('streams that wait for a prefill reach a cold engine at its rate', async () => {
  vi.useRealTimers();
  const transport = createFakeTransport();
  const tables = createTables();
  const stores = createTestStores({
    ...tables,
    pools: tables.pools.map((pool) =>
      pool.id === enginePool ? { ...pool, coldRequestsPerSecond: RATE } : pool,
    ),
  });
  stores.upstreams.put('p1', createUpstream('p1', { pool: enginePool, role: 'prefill' }));
  const engine = createUpstream('d1', { pool: enginePool, role: 'decode', coldMs: 60_000 });
  stores.upstreams.put('d1', engine);
  let finishPrefills = (): void => {};
  const prefilled = new Promise<void>((resolve) => {
    finishPrefills = resolve;
  });
  transport.prefillReply = async (send) => {
    await prefilled;
    return ok({ upstream: send.upstream, handle: 'handle' });
  };
  transport.reply = async () => ok(createReply(['id: 1\ndata: a\n\n']));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const controller = new AbortController();
  const streams = Array.from({ length: 40 }, () =>
    fetch(`${started.url}/note/1`, {
      method: 'POST',
      body: 'prompt',
      headers: { authorization: 'Bearer key-1', 'x-usage': '500,100' },
      signal: controller.signal,
    }).catch(() => undefined),
  );
  await waitUntil(() => transport.prefills.length >= USABLE);
  // Others would ask again within 40 ms.
  await new Promise((resolve) => {
    setTimeout(resolve, 200);
  });
  finishPrefills();
  await waitUntil(() => transport.sends.length >= USABLE);
  expect(transport.prefills).toHaveLength(USABLE);
  expect(transport.sends).toHaveLength(USABLE);
  controller.abort();
  await Promise.all(streams);
});
