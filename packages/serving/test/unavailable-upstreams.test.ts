import { createTelemetry } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import type { SendFailure } from '../src/index.js';
import { createUnavailableUpstreams } from '../src/unavailable-upstreams.js';
import type { LeavingUpstream } from '../src/unavailable-upstreams.js';
import {
  createFakeTransport,
  createReply,
  createStatement,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntilReady,
} from './support/test-node.js';
import type { FakeTransport, TestNode } from './support/test-node.js';

const upstream = createUpstream('u1');
const restarted = createUpstream('u1', { startedAt: 2 });
const refused: SendFailure = { effect: 'not_run', wasSent: true, reason: 'refused' };

function createRecord() {
  const told: LeavingUpstream[] = [];
  const unavailable = createUnavailableUpstreams({
    onLeaving: (leaving) => told.push(leaving),
    telemetry: createTelemetry({}, () => {}),
  });
  return { unavailable, told };
}

describe('the record of one node', () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance'] });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  test('an upstream that leaves gets no requests until it has restarted', () => {
    const { unavailable } = createRecord();
    unavailable.record(upstream, { isLeaving: true, pauseMs: 0 });
    unavailable.record(upstream, { isLeaving: false, pauseMs: 0 });
    vi.advanceTimersByTime(60_000);
    expect(unavailable.find(upstream)).toBe('leaving');
    expect(unavailable.find(restarted)).toBeUndefined();
  });

  test('peers are told once that an upstream leaves, and pauses are kept from them', () => {
    const { unavailable, told } = createRecord();
    unavailable.record(upstream, { isLeaving: true, pauseMs: 5_000 });
    unavailable.record(upstream, { isLeaving: true, pauseMs: 5_000 });
    expect(told).toEqual([{ upstream: 'u1', startedAt: 1, ageMs: 0 }]);
    const other = createRecord();
    other.unavailable.applyReport(unavailable.report());
    expect(other.unavailable.find(upstream)).toBe('leaving');
    expect(other.told).toEqual([]);
    expect(other.unavailable.report()).toHaveLength(1);
  });

  // Two nodes that repeat each other's reports would otherwise lose an upstream for good.
  test('an upstream that no longer says that it leaves is used again after some minutes', () => {
    const first = createRecord().unavailable;
    const second = createRecord().unavailable;
    first.record(upstream, { isLeaving: true, pauseMs: 0 });
    for (let seconds = 0; seconds < 400; seconds += 1) {
      vi.advanceTimersByTime(1_000);
      second.applyReport(first.report());
      first.applyReport(second.report());
      for (const unavailable of [first, second])
        unavailable.record(createUpstream('u2', { startedAt: seconds }), {
          isLeaving: true,
          pauseMs: 0,
        });
    }
    expect([first.find(upstream), second.find(upstream)]).toEqual([undefined, undefined]);
  });

  test('a pause lasts as long as the upstream asked for, and one request goes first after it', () => {
    const { unavailable } = createRecord();
    unavailable.record(upstream, { isLeaving: false, pauseMs: 2_000 });
    vi.advanceTimersByTime(1_500);
    unavailable.record(upstream, { isLeaving: false, pauseMs: 0 });
    expect(unavailable.find(upstream)).toBe('paused');
    expect(unavailable.returnMs([upstream])).toBe(500);
    vi.advanceTimersByTime(500);
    expect(unavailable.find(upstream)).toBeUndefined();
    unavailable.recordSend(upstream);
    expect(unavailable.find(upstream)).toBe('paused');
    unavailable.record(upstream, { isLeaving: false, pauseMs: 0 });
    expect(unavailable.find(upstream)).toBeUndefined();
  });

  test('the request after a pause does not keep others away for good when it is not answered', () => {
    const { unavailable } = createRecord();
    unavailable.record(upstream, { isLeaving: false, pauseMs: 100 });
    vi.advanceTimersByTime(100);
    unavailable.recordSend(upstream);
    vi.advanceTimersByTime(1_000);
    expect(unavailable.find(upstream)).toBeUndefined();
  });

  test('leaving upstreams of another form are dropped without an error', () => {
    const { unavailable } = createRecord();
    for (const invalid of [undefined, 'u1', [null, 1, { upstream: 'u1', startedAt: 1 }]])
      unavailable.applyReport(invalid);
    expect(unavailable.report()).toEqual([]);
  });
});

async function startPlainPool(transport: FakeTransport, names: readonly string[]) {
  const stores = createTestStores();
  for (const name of names) stores.upstreams.put(name, createUpstream(name));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  return started;
}

const call = (started: TestNode, path: string): Promise<Response> =>
  fetch(`${started.url}${path}`, { headers: { authorization: 'Bearer key-1' } });

test('an upstream that says in an answer that it leaves gets no further requests', async () => {
  const transport = createFakeTransport();
  transport.reply = async ({ upstream: asked }) => {
    transport.state(asked, createStatement({ isLeaving: asked.id === 'u1' }));
    return ok(createReply(['done']));
  };
  const started = await startPlainPool(transport, ['u1', 'u2']);
  for (let count = 0; count < 20; count += 1)
    expect((await call(started, '/book/1')).status).toBe(200);
  expect(transport.sends.filter((send) => send.upstream.id === 'u1').length).toBeLessThanOrEqual(1);
});

test('an upstream that asks for a pause gets nothing in it', async () => {
  const transport = createFakeTransport();
  transport.reply = async ({ upstream: asked }) => {
    if (asked.id !== 'u1') return ok(createReply(['done']));
    transport.state(asked, createStatement({ pauseMs: 60_000 }));
    return err(refused);
  };
  const started = await startPlainPool(transport, ['u1', 'u2']);
  for (let count = 0; count < 20; count += 1)
    expect((await call(started, '/book/1')).status).toBe(200);
  expect(transport.sends.filter((send) => send.upstream.id === 'u1').length).toBeLessThanOrEqual(1);
});

// An upstream that asks for pauses would be avoided for much longer than it asks for.
test('refusals that ask for a pause do not count as failures of the upstream', async () => {
  const countAvoided = async (reason: SendFailure['reason']): Promise<number> => {
    const transport = createFakeTransport();
    transport.reply = async () => err({ ...refused, reason });
    const started = await startPlainPool(transport, ['u1']);
    for (let count = 0; count < 20; count += 1) await call(started, '/book/1');
    return started.events.filter((line) => line.includes('upstream avoided after failures')).length;
  };
  expect(await countAvoided('refused')).toBeGreaterThan(0);
  expect(await countAvoided('paused')).toBe(0);
});

// The prefill engine would be avoided for the pause of a decode engine, and its work thrown away.
test('a decode engine that asks for a pause leaves the prefilled prompt for the next one', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  for (const name of ['d1', 'd2'])
    stores.upstreams.put(name, createUpstream(name, { pool: enginePool, role: 'decode' }));
  stores.upstreams.put('p1', createUpstream('p1', { pool: enginePool, role: 'prefill' }));
  transport.reply = async ({ upstream: asked }) => {
    if (transport.sends.length > 1) return ok(createReply(['id: 1\ndata: x\n\n']));
    transport.state(asked, createStatement({ pauseMs: 60_000 }));
    return err({ ...refused, reason: 'paused' });
  };
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const headers = { authorization: 'Bearer key-1', 'x-usage': '100,100' };
  const res = await fetch(`${started.url}/note/1`, { method: 'POST', headers, body: 'x' });
  expect(res.status).toBe(200);
  await res.text();
  expect(transport.prefills).toHaveLength(1);
  expect(transport.sends.map(({ kvSource }) => kvSource?.handle)).toEqual(['handle', 'handle']);
});

test('while all upstreams pause, a request is rejected at once with the time until the first returns', async () => {
  const transport = createFakeTransport();
  transport.reply = async ({ upstream: asked }) => {
    transport.state(asked, createStatement({ pauseMs: asked.id === 'u1' ? 60_000 : 90_000 }));
    return err(refused);
  };
  const started = await startPlainPool(transport, ['u1', 'u2']);
  await call(started, '/book/1');
  const sent = transport.sends.length;
  const res = await call(started, '/book/2');
  expect(res.status).toBe(503);
  expect(Number(res.headers.get('retry-after'))).toBeGreaterThan(50);
  expect(Number(res.headers.get('retry-after'))).toBeLessThanOrEqual(60);
  expect(transport.sends).toHaveLength(sent);
});

test('engines that leave or pause get neither reservations nor prompts', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  const engines = ['d1', 'd2', 'd3'].map((name) =>
    createUpstream(name, { pool: enginePool, role: 'decode' }),
  );
  const prefill = createUpstream('p1', { pool: enginePool, role: 'prefill' });
  for (const engine of [...engines, prefill]) stores.upstreams.put(engine.id, engine);
  const reserved: string[] = [];
  transport.reserveReply = async (asked) => {
    reserved.push(asked.id);
    return ok('reservation');
  };
  transport.reply = async () => ok(createReply(['id: 1\ndata: x\n\n']));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  transport.state(engines[0] ?? prefill, createStatement({ isLeaving: true }));
  transport.state(engines[1] ?? prefill, createStatement({ pauseMs: 60_000 }));
  transport.state(prefill, createStatement({ isLeaving: true }));
  const headers = { authorization: 'Bearer key-1', 'x-usage': '100,100' };
  for (let count = 0; count < 6; count += 1) {
    const res = await fetch(`${started.url}/note/1`, { method: 'POST', headers, body: 'x' });
    await res.text();
  }
  expect(new Set(reserved)).toEqual(new Set(['d3']));
  expect(transport.prefills).toEqual([]);
});
