import { err, ok } from 'neverthrow';
import { expect, test } from 'vitest';
import type { SendFailure } from '../src/index.js';
import {
  createFakeTransport,
  createReply,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntil,
  waitUntilReady,
} from './support/test-node.js';
import type { FakeTransport, TestNode } from './support/test-node.js';

const moved: SendFailure = { effect: 'not_run', wasSent: true, reason: 'moved' };
const refused: SendFailure = { effect: 'not_run', wasSent: true, reason: 'refused' };
const broken: SendFailure = { effect: 'unknown', wasSent: true, reason: 'broken' };
const event = (id: number): string => `id: ${id}\ndata: x\n\n`;

async function startEngines(transport: FakeTransport): Promise<TestNode> {
  const stores = createTestStores();
  for (const name of ['d1', 'd2', 'd3']) {
    stores.upstreams.put(name, createUpstream(name, { pool: enginePool, role: 'decode' }));
  }
  for (const name of ['p1', 'p2']) {
    stores.upstreams.put(name, createUpstream(name, { pool: enginePool, role: 'prefill' }));
  }
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  return started;
}

function post(started: TestNode, path: string, signal?: AbortSignal): Promise<Response> {
  return fetch(`${started.url}${path}`, {
    method: 'POST',
    body: 'prompt',
    headers: { authorization: 'Bearer key-1', 'x-usage': '5000,800' },
    signal: signal ?? null,
  });
}

test('a stream is reserved, read by a prefill engine and decoded with its KV cache', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => ok(createReply([event(1), event(2)]));
  const started = await startEngines(transport);
  const res = await post(started, '/note/1');
  expect(await res.text()).toBe(event(1) + event(2));
  expect(transport.prefills).toHaveLength(1);
  expect(transport.sends[0]).toMatchObject({
    reservation: 'reservation',
    kvSource: { handle: 'handle' },
    organisation: 'workshop',
  });
});

// A second run of a stream that may not be repeated would be charged and answered twice.
test('a stream that may have run is not sent again on a route without resumption', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => err(broken);
  const started = await startEngines(transport);
  const res = await post(started, '/note/1');
  expect(res.status).toBe(502);
  expect(res.headers.get('x-hibiscusbank-outcome')).toBe('unknown');
  expect(transport.sends).toHaveLength(1);
});

test('a stream that breaks off does not look whole to its caller', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => ok(createReply([event(1), 'id: 2\nda'], false));
  const started = await startEngines(transport);
  const res = await post(started, '/note/1');
  expect(res.status).toBe(200);
  await expect(res.text()).rejects.toThrow();
});

// A part of an event followed by a second run's events would join pieces of two runs.
test('a resumable stream continues after its last whole event on another engine', async () => {
  const transport = createFakeTransport();
  transport.reply = async (send) =>
    send.lastEventId === undefined
      ? ok(createReply([event(1), `${event(2)}id: 3\nda`], false))
      : ok(createReply([event(3)]));
  const started = await startEngines(transport);
  const res = await post(started, '/resumable/1');
  expect(await res.text()).toBe(event(1) + event(2) + event(3));
  const [first, second] = transport.sends;
  expect(second?.lastEventId).toBe('2');
  expect(second?.upstream.id).not.toBe(first?.upstream.id);
});

test('a refused decode is tried on another engine, and the refusal of all is truthful', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => err(refused);
  const started = await startEngines(transport);
  const res = await post(started, '/note/1');
  expect(res.status).toBe(503);
  expect(res.headers.get('x-hibiscusbank-outcome')).toBe('not_run');
  expect(Number(res.headers.get('retry-after'))).toBeGreaterThan(0);
});

test('a refusal after a run that may have happened does not say that it has not run', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => err(transport.sends.length === 1 ? broken : refused);
  const started = await startEngines(transport);
  const res = await post(started, '/resumable/1');
  expect(res.status).toBe(502);
  expect(res.headers.get('x-hibiscusbank-outcome')).toBe('unknown');
});

// Reading the prompt again for an engine that was not there is work for nothing.
test('a KV cache that no engine fetched is used for the next engine', async () => {
  const transport = createFakeTransport();
  transport.reply = async () =>
    transport.sends.length === 1 ? err(moved) : ok(createReply([event(1)]));
  const started = await startEngines(transport);
  const res = await post(started, '/note/1');
  expect(await res.text()).toBe(event(1));
  expect(transport.prefills).toHaveLength(1);
  expect(transport.sends).toHaveLength(2);
});

test('a caller that leaves during the prefill leaves no reservation and no KV cache', async () => {
  const transport = createFakeTransport();
  let finishPrefill = (): void => {};
  transport.prefillReply = (send) =>
    new Promise((resolve) => {
      finishPrefill = () => resolve(ok({ upstream: send.upstream, handle: 'handle' }));
    });
  const started = await startEngines(transport);
  const controller = new AbortController();
  const res = post(started, '/note/1', controller.signal);
  await waitUntil(() => transport.prefills.length === 1);
  controller.abort();
  await expect(res).rejects.toThrow();
  await waitUntil(() => transport.prefills[0]?.signal.aborted === true);
  finishPrefill();
  await waitUntil(() => transport.dropped.length === 2);
  expect(transport.dropped.toSorted()).toEqual(['handle', 'reservation']);
  expect(transport.sends).toHaveLength(0);
  // Without the line, the log does not tell what became of the reservation.
  await waitUntil(() => started.events.some((line) => line.includes('"reason":"request ended"')));
});

test('without prefill engines the decode engine reads the prompt itself', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => ok(createReply([event(1)]));
  transport.prefillReply = async () => err(broken);
  const started = await startEngines(transport);
  const res = await post(started, '/note/1');
  expect(await res.text()).toBe(event(1));
  expect(transport.sends[0]?.kvSource).toBeUndefined();
});

/** Sends more than the first, which a first accepted prefill does not count to. */
function countRepeats(transport: FakeTransport, requests: number, accepted: number): number {
  return transport.prefills.length + transport.sends.length - accepted - requests;
}

const REQUESTS = 60;
/** The bound of the test node: a share of the requests plus the allowance. */
const REPEATS_ALLOWED = 0.2 * REQUESTS + 52;

// A failed prefill followed by a run exceeded the bound on a day on which servers of a data centre left.
test('prefills that fail count as repeats of the runs that follow them', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => ok(createReply([event(1)]));
  transport.prefillReply = async () => err(refused);
  const started = await startEngines(transport);
  for (let index = 0; index < REQUESTS; index += 1) {
    await (await post(started, `/note/${index}`)).arrayBuffer();
  }
  expect(countRepeats(transport, REQUESTS, 0)).toBeLessThanOrEqual(REPEATS_ALLOWED);
});

test('a prompt that is read again after a refused run counts as a repeat', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => err(refused);
  const started = await startEngines(transport);
  const statuses = new Set<number>();
  for (let index = 0; index < REQUESTS; index += 1) {
    const res = await post(started, `/note/${index}`);
    await res.arrayBuffer();
    statuses.add(res.status);
  }
  expect(countRepeats(transport, REQUESTS, REQUESTS)).toBeLessThanOrEqual(REPEATS_ALLOWED);
  expect([...statuses]).toEqual([503]);
});
