import { ok } from 'neverthrow';
import { expect, test } from 'vitest';
import {
  createFakeTransport,
  createReply,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntilReady,
} from './support/test-node.js';
import type { FakeTransport, TestNode } from './support/test-node.js';

const event = (id: number): string => `id: ${id}\ndata: x\n\n`;

/** Starts a node with three decode engines. */
async function startEngines(transport: FakeTransport): Promise<TestNode> {
  const stores = createTestStores();
  for (const name of ['d1', 'd2', 'd3']) {
    stores.upstreams.put(name, createUpstream(name, { pool: enginePool, role: 'decode' }));
  }
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  return started;
}

const post = (started: TestNode): Promise<Response> =>
  fetch(`${started.url}/resumable/1`, {
    method: 'POST',
    body: 'prompt',
    headers: { authorization: 'Bearer key-1', 'x-usage': '5000,800' },
  });

const firstRun = (): ReturnType<typeof createReply> => createReply([event(1), 'id: 2\nda'], false);
const withType = (type: string, body: string) => ({
  ...createReply([body]),
  headers: { 'content-type': type },
});

// Clients found the text of an error in their stream, or a stream that ended as if it were complete.
test.each([
  ['an error', createReply(['HTTP/1.1 500 broken'], true, 500)],
  ['a page', withType('text/html', '<p>busy</p>\n\n')],
  ['JSON', withType('application/json', '{"error":"busy"}')],
  ['an empty stream', createReply([])],
])(
  'a stream that has begun and is answered with %s by the next engine breaks off',
  async (_what, next) => {
    const transport = createFakeTransport();
    transport.reply = async () => ok(transport.sends.length === 1 ? firstRun() : next);
    const started = await startEngines(transport);
    const res = await post(started);
    const chunks: string[] = [];
    const reading = (async () => {
      for await (const chunk of res.body ?? []) chunks.push(Buffer.from(chunk).toString());
    })();
    await expect(reading).rejects.toThrow();
    // What arrives with the reset may be dropped on the client's side.
    expect(['', event(1)]).toContain(chunks.join(''));
    expect(transport.sends).toHaveLength(2);
  },
);

// The answer had begun with the head of the first engine, and was never ended.
test('a response whose head was sent breaks off when the next engine answers with an error', async () => {
  const transport = createFakeTransport();
  transport.reply = async () =>
    ok(transport.sends.length === 1 ? createReply([], false) : createReply(['busy'], true, 503));
  const started = await startEngines(transport);
  const res = await post(started);
  expect(res.status).toBe(200);
  await expect(res.text()).rejects.toThrow();
});
