import { err, ok } from 'neverthrow';
import { expect, test } from 'vitest';
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

const names = ['u1', 'u2', 'u3'];

/** Starts a node whose upstreams of the given names state a limit in each response. */
async function startLimitedPool(
  transport: FakeTransport,
  perSecond: number,
  limited: readonly string[],
): Promise<TestNode> {
  const stores = createTestStores();
  for (const name of names) stores.upstreams.put(name, createUpstream(name));
  transport.reply = async ({ upstream }) => {
    const limitPerSecond = limited.includes(upstream.id) ? perSecond : undefined;
    transport.state(upstream, createStatement({ limit: { perSecond: limitPerSecond } }));
    return ok(createReply(['done']));
  };
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  for (const name of limited) {
    transport.state(createUpstream(name), createStatement({ limit: { perSecond } }));
  }
  return started;
}

const call = (started: TestNode, path = '/lookup/1'): Promise<Response> =>
  fetch(`${started.url}${path}`, { headers: { authorization: 'Bearer key-1' } });

// Two of three servers got 30 and 21 requests in 4 s of 15 and 17 allowed.
test('requests beyond the limit of an upstream go to those without a limit', async () => {
  const transport = createFakeTransport();
  const started = await startLimitedPool(transport, 0.01, ['u1', 'u2']);
  const statuses = await Promise.all(
    Array.from({ length: 30 }, async () => (await call(started)).status),
  );
  expect(statuses.every((status) => status === 200)).toBe(true);
  const toLimited = transport.sends.filter(({ upstream }) => upstream.id !== 'u3');
  expect(toLimited.length).toBeLessThanOrEqual(10);
});

test('a request that all upstreams would take too late is rejected at once, with the time to wait', async () => {
  const transport = createFakeTransport();
  const started = await startLimitedPool(transport, 0.01, names);
  await Promise.all(Array.from({ length: 20 }, () => call(started)));
  const sent = transport.sends.length;
  const startedAt = performance.now();
  const res = await call(started, '/book/1');
  expect(res.status).toBe(503);
  expect(performance.now() - startedAt).toBeLessThan(5_000);
  expect(Number(res.headers.get('retry-after'))).toBeGreaterThan(1);
  expect(transport.sends).toHaveLength(sent);
});

test('streams keep to the limits of decode and prefill engines', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  const engines = [
    createUpstream('d1', { pool: enginePool, role: 'decode' }),
    createUpstream('d2', { pool: enginePool, role: 'decode' }),
    createUpstream('p1', { pool: enginePool, role: 'prefill' }),
  ];
  for (const engine of engines) stores.upstreams.put(engine.id, engine);
  const state = (name: string): void =>
    transport.state(
      engines.find(({ id }) => id === name) ?? createUpstream(name),
      createStatement({ limit: { perSecond: name === 'd2' ? undefined : 0.01 } }),
    );
  transport.reply = async ({ upstream }) => {
    state(upstream.id);
    return ok(createReply(['id: 1\ndata: x\n\n']));
  };
  transport.prefillReply = async ({ upstream }) => {
    state(upstream.id);
    return err({ effect: 'not_run', wasSent: false, reason: 'refused' });
  };
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  state('d1');
  state('p1');
  const headers = { authorization: 'Bearer key-1', 'x-usage': '100,100' };
  for (let count = 0; count < 12; count += 1) {
    const res = await fetch(`${started.url}/note/1`, { method: 'POST', headers, body: 'x' });
    expect(res.status).toBe(200);
    await res.text();
  }
  expect(transport.sends.filter(({ upstream }) => upstream.id === 'd1').length).toBeLessThan(5);
  expect(transport.prefills.length).toBeLessThan(5);
});
