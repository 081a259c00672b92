import { upstreamId } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { createEnginePace } from '../src/engine-pace.js';
import { createMovedUpstreams } from '../src/moved-upstreams.js';
import {
  createFakeTransport,
  createReply,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntilReady,
} from './support/test-node.js';

const slow = upstreamId('e1');
const engines = [slow, ...['e2', 'e3', 'e4'].map(upstreamId)];

beforeEach(() => {
  vi.useFakeTimers({ toFake: ['performance'] });
});

afterEach(() => {
  vi.useRealTimers();
});

function playPauses(pauseMs: (engine: string) => number, known = engines) {
  const pace = createEnginePace();
  for (let event = 0; event < 20; event += 1) {
    for (const engine of known) pace.record(engine, pauseMs(engine));
    vi.advanceTimersByTime(50);
  }
  return pace;
}

// Streams on an engine that turned slow had pauses that callers notice, while other engines had room.
test('an engine whose streams pause much longer than those of the others is slow', () => {
  const pace = playPauses((engine) => (engine === slow ? 300 : 60));
  expect(engines.filter(pace.isSlow)).toEqual([slow]);
});

test('no engine is slow while all are under the same load or too few are known', () => {
  expect(engines.filter(playPauses(() => 300).isSlow)).toEqual([]);
  const two = playPauses((engine) => (engine === slow ? 900 : 60), engines.slice(0, 2));
  expect(engines.filter(two.isSlow)).toEqual([]);
});

test('a slow engine is tried again after some seconds without a stream', () => {
  const pace = playPauses((engine) => (engine === slow ? 300 : 60));
  vi.advanceTimersByTime(3_500);
  expect(pace.isSlow(slow)).toBe(false);
});

test('a moved upstream is avoided until its entry changes', () => {
  const moved = createMovedUpstreams();
  const upstream = createUpstream('d1', { role: 'decode' });
  moved.record(upstream);
  expect(moved.has(upstream)).toBe(true);
  expect(moved.has({ ...upstream, role: 'prefill' })).toBe(false);
  expect(moved.has({ ...upstream, startedAt: 2 })).toBe(false);
  vi.advanceTimersByTime(5_000);
  expect(moved.has(upstream)).toBe(false);
});

// A restarted engine grants reservations in its old role and refuses the run: each request lost its
// prefilled prompt there, several times in a row, and was refused although other engines were free.
test('a request whose engine has moved runs on another one, and later requests avoid it', async () => {
  vi.useRealTimers();
  const stores = createTestStores();
  for (const name of ['d1', 'd2']) {
    stores.upstreams.put(name, createUpstream(name, { pool: enginePool, role: 'decode' }));
  }
  stores.upstreams.put('p1', createUpstream('p1', { pool: enginePool, role: 'prefill' }));
  const transport = createFakeTransport();
  transport.reply = async (send) =>
    send.upstream.id === 'd1'
      ? err({ effect: 'not_run', wasSent: true, reason: 'moved' })
      : ok(createReply(['id: 1\ndata: x\n\n']));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const statuses: number[] = [];
  for (let request = 0; request < 6; request += 1) {
    const res = await fetch(`${started.url}/resumable/${request}`, {
      method: 'POST',
      body: 'prompt',
      headers: { authorization: 'Bearer key-1', 'x-usage': '5000,800' },
    });
    await res.text();
    statuses.push(res.status);
  }
  expect(statuses).toEqual([200, 200, 200, 200, 200, 200]);
  expect(transport.sends.filter(({ upstream }) => upstream.id === 'd1').length).toBeLessThan(2);
});
