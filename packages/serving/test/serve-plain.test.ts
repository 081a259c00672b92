import { err, ok } from 'neverthrow';
import { afterEach, expect, test, vi } from 'vitest';
import type { SendFailure } from '../src/index.js';
import {
  createFakeTransport,
  createReply,
  createTables,
  createTestStores,
  createUpstream,
  startTestNode,
  waitUntil,
  waitUntilReady,
} from './support/test-node.js';
import type { FakeTransport, TestNode, TestStores } from './support/test-node.js';

const broken: SendFailure = { effect: 'unknown', wasSent: true, reason: 'broken' };
const unreachable: SendFailure = { effect: 'not_run', wasSent: false, reason: 'unreachable' };

afterEach(() => {
  vi.useRealTimers();
});

async function startPlainPool(
  transport: FakeTransport,
  stores: TestStores = createTestStores(),
): Promise<TestNode> {
  for (const name of ['u1', 'u2', 'u3']) stores.upstreams.put(name, createUpstream(name));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  return started;
}

function call(started: TestNode, path: string, key = 'key-1'): Promise<Response> {
  return fetch(`${started.url}${path}`, { headers: { authorization: `Bearer ${key}` } });
}

test('an interrupted idempotent request is retried on another upstream', async () => {
  const transport = createFakeTransport();
  transport.reply = async () =>
    transport.sends.length === 1 ? err(broken) : ok(createReply(['done']));
  const started = await startPlainPool(transport);
  expect(await (await call(started, '/lookup/1')).text()).toBe('done');
  expect(transport.sends[0]?.upstream.id).not.toBe(transport.sends[1]?.upstream.id);
});

// A repeated non-idempotent request, such as a booking, would take effect twice.
test('a non-idempotent request is sent only once when its effect is unknown', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => err(broken);
  const started = await startPlainPool(transport);
  expect((await call(started, '/book/1')).status).toBe(502);
  expect(transport.sends).toHaveLength(1);
});

test('a non-idempotent request is retried when the first attempt was not sent', async () => {
  const transport = createFakeTransport();
  transport.reply = async () =>
    transport.sends.length === 1 ? err(unreachable) : ok(createReply(['booked']));
  const started = await startPlainPool(transport);
  expect(await (await call(started, '/book/1')).text()).toBe('booked');
});

test('a truncated body is never passed on as complete', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => ok(createReply(['par'], false));
  const started = await startPlainPool(transport);
  expect((await call(started, '/book/1')).status).toBe(502);
});

test('an idempotent request is retried when an upstream hangs', async () => {
  const transport = createFakeTransport();
  transport.reply = (send) =>
    transport.sends.length === 1
      ? new Promise((resolve) => {
          send.signal.addEventListener('abort', () => {
            resolve(err({ effect: 'unknown', wasSent: true, reason: 'aborted' }));
          });
        })
      : Promise.resolve(ok(createReply(['done'])));
  const started = await startPlainPool(transport);
  expect(await (await call(started, '/lookup/1')).text()).toBe('done');
});

// Aborting the only possible attempt would turn a slow response into a failure.
test('a slow idempotent request is not aborted when there is no other upstream', async () => {
  const transport = createFakeTransport();
  transport.reply = async (send) => {
    // Longer than the time after which a request is retried on another upstream.
    await vi.advanceTimersByTimeAsync(150);
    return send.signal.aborted
      ? err({ effect: 'unknown', wasSent: true, reason: 'aborted' })
      : ok(createReply(['done']));
  };
  const stores = createTestStores();
  stores.upstreams.put('u1', createUpstream('u1'));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] });
  expect(await (await call(started, '/lookup/1')).text()).toBe('done');
});

test('a withdrawn key is refused on the next request, also on a keep-alive connection', async () => {
  const stores = createTestStores();
  const transport = createFakeTransport();
  const started = await startPlainPool(transport, stores);
  expect((await call(started, '/lookup/1')).status).toBe(200);
  stores.tables.put('main', createTables({ version: 2, organisations: [] }));
  await waitUntil(async () => (await call(started, '/lookup/1')).status === 401);
});

test('an older configuration version never replaces a newer one', async () => {
  const stores = createTestStores(createTables({ version: 5 }));
  const started = await startPlainPool(createFakeTransport(), stores);
  stores.tables.put('main', createTables({ version: 4, routes: [] }));
  stores.tables.put('main', createTables({ version: 6, organisations: [] }));
  await waitUntil(async () => (await call(started, '/lookup/1')).status === 401);
  expect(started.events.filter((line) => line.includes('"version":4'))).toEqual([]);
});

test('draining and removed upstreams and a data centre out of service get no more requests', async () => {
  const stores = createTestStores();
  const transport = createFakeTransport();
  const started = await startPlainPool(transport, stores);
  stores.upstreams.put('u1', createUpstream('u1', { isReady: false }));
  stores.upstreams.drop('u2');
  await waitUntil(
    () => started.events.filter((line) => line.startsWith('upstream no longer')).length === 1,
  );
  await call(started, '/lookup/1');
  expect(transport.sends.at(-1)?.upstream.id).toBe('u3');
  stores.outOfService.put('a', {});
  await waitUntil(async () => (await call(started, '/lookup/1')).status === 503);
});

// Without lists from peers, a node that cannot reach the store would keep accepting withdrawn keys.
test('a node that cannot reach the store learns of a key withdrawal from a peer', async () => {
  const sharedStores = createTestStores();
  const partitionedStores = { ...sharedStores, tables: createTestStores().tables };
  sharedStores.upstreams.put('u1', createUpstream('u1'));
  const first = await startTestNode(sharedStores, createFakeTransport(), 'node-1');
  const second = await startTestNode(partitionedStores, createFakeTransport(), 'node-2', [
    first.peer,
  ]);
  await Promise.all([waitUntilReady(first), waitUntilReady(second)]);
  partitionedStores.tables.setDown(true);
  for (let round = 0; round < 3; round += 1) sharedStores.tables.put('other', round);
  sharedStores.tables.put('main', createTables({ version: 2, organisations: [] }));
  await waitUntil(async () => (await call(second, '/lookup/1')).status === 401);
  expect(second.events.some((line) => line.startsWith('list read from a peer'))).toBe(true);
});

test('after its history is lost, a watch is replaced by a new list', async () => {
  const stores = createTestStores();
  const started = await startPlainPool(createFakeTransport(), stores);
  stores.tables.put('main', createTables({ version: 2, organisations: [] }));
  stores.tables.compact();
  await waitUntil(async () => (await call(started, '/lookup/1')).status === 401);
});
