import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { ok } from 'neverthrow';
import { expect, test } from 'vitest';
import {
  createFakeTransport,
  createReply,
  createTestStores,
  createUpstream,
  startTestNode,
  waitUntil,
  waitUntilReady,
} from './support/test-node.js';

/** More than the operating system takes of a response that is not read. */
const ANSWER = 'x'.repeat(8_000_000);

// Guards against a node that stops as soon as it has ended its responses, before callers have read them.
test('an answer that its caller reads only after the listener was closed arrives whole', async () => {
  const transport = createFakeTransport();
  transport.reply = async () => ok(createReply([ANSWER]));
  const stores = createTestStores();
  stores.upstreams.put('u1', createUpstream('u1'));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const res = await new Promise<IncomingMessage>((resolve, reject) => {
    const headers = { authorization: 'Bearer key-1' };
    const req = request(`${started.url}/lookup/1`, { headers }, resolve);
    req.on('error', reject);
    req.end();
  });
  await waitUntil(() => started.events.some((line) => line.includes('request finished')));

  let isDrained = false;
  const drained = started.node.drain().then(() => {
    isDrained = true;
  });
  await waitUntil(() =>
    fetch(`${started.url}/lookup/1`).then(
      () => false,
      () => true,
    ),
  );
  expect(isDrained).toBe(false);
  let received = 0;
  for await (const chunk of res) received += (chunk as Buffer).length;
  expect([received, res.complete]).toEqual([ANSWER.length, true]);
  await drained;
});
