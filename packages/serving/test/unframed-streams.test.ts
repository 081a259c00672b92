import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import { afterEach, expect, test } from 'vitest';
import { createConnections, openExchange } from '../src/index.js';
import type { SendFailure, ServingUpstream, UpstreamTransport } from '../src/index.js';
import {
  createFakeTransport,
  createTestStores,
  createUpstream,
  enginePool,
  startTestNode,
  waitUntilReady,
} from './support/test-node.js';
import type { TestNode } from './support/test-node.js';

const servers: Server[] = [];

afterEach(async () => {
  for (const server of servers.splice(0)) {
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }
});

const event = (id: number): string => `id: ${id}\ndata: x\n\n`;
const broken: SendFailure = { effect: 'unknown', wasSent: true, reason: 'broken' };

/** Starts an engine that answers with neither a length nor chunks. */
async function startEngine(
  name: string,
  body: string,
  close: (socket: Socket) => void,
): Promise<ServingUpstream> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n${body}`, () =>
        close(socket),
      );
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return createUpstream(name, { pool: enginePool, role: 'decode', address });
}

/** Starts a node that asks the engines in their order, and sends to them over real connections. */
async function startNode(engines: readonly ServingUpstream[]): Promise<{
  readonly started: TestNode;
  readonly lastEventIds: (string | undefined)[];
}> {
  const stores = createTestStores();
  for (const engine of engines) stores.upstreams.put(engine.id, engine);
  const transport = createFakeTransport();
  const lastEventIds: (string | undefined)[] = [];
  transport.reserveReply = async ({ id }) =>
    id === engines[lastEventIds.length]?.id
      ? ok('reservation')
      : err({ effect: 'not_run', wasSent: true, reason: 'refused' });
  const send: UpstreamTransport['send'] = async ({ upstream, lastEventId, signal }) => {
    lastEventIds.push(lastEventId);
    const connections = createConnections(upstream.address, 1);
    const call = { method: 'POST', path: '/', headers: {}, signal };
    const result = await openExchange(connections, call);
    return result.ok ? ok({ ...result.reply, headers: {} }) : err(broken);
  };
  transport.reply = send;
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  return { started, lastEventIds };
}

function post({ url }: TestNode, path: string): Promise<Response> {
  const headers = { authorization: 'Bearer key-1', 'x-usage': '5000,800' };
  return fetch(`${url}${path}`, { method: 'POST', body: 'prompt', headers });
}

const end = (socket: Socket): unknown => socket.end();
const reset = (socket: Socket): unknown => socket.resetAndDestroy();

test('a stream that ends with its connection after an event is complete', async () => {
  const { started, lastEventIds } = await startNode([
    await startEngine('d1', event(1) + event(2), end),
  ]);
  expect(await (await post(started, '/resumable/1')).text()).toBe(event(1) + event(2));
  expect(lastEventIds).toEqual([undefined]);
});

// Guards against taking a broken stream for a complete one.
test.each([
  ['inside an event', `${event(1)}id: 2\nda`, end],
  ['inside the separator of an event', `${event(1)}id: 2\ndata: x\n`, end],
  ['with a reset after an event', event(1), reset],
])('a stream that ends %s is broken off', async (_, body, close) => {
  const { started } = await startNode([await startEngine('d1', body, close)]);
  await expect(post(started, '/note/1').then((res) => res.text())).rejects.toThrow();
});

test('a stream that ends inside an event is resumed, and its rest ends with the connection', async () => {
  const { started, lastEventIds } = await startNode([
    await startEngine('d1', `${event(1)}id: 2\nda`, end),
    await startEngine('d2', event(2) + event(3), end),
  ]);
  expect(await (await post(started, '/resumable/1')).text()).toBe(event(1) + event(2) + event(3));
  expect(lastEventIds).toEqual([undefined, '1']);
});

test('a resumed stream that ends inside an event is broken off', async () => {
  const { started } = await startNode([
    await startEngine('d1', `${event(1)}id: 2\nda`, end),
    await startEngine('d2', `${event(2)}id: 3`, end),
  ]);
  await expect(post(started, '/resumable/1').then((res) => res.text())).rejects.toThrow();
});

// Callers of other operators got a 200 with an empty body, framed as whole.
test('a stream whose response ends after its head is not whole', async () => {
  const { started } = await startNode([await startEngine('d1', '', (socket) => socket.end())]);
  const res = await post(started, '/note/1');
  await expect(res.text()).rejects.toThrow();
});

test('a caller that resumes its stream after the last event gets an empty whole stream', async () => {
  const { started } = await startNode([await startEngine('d1', '', (socket) => socket.end())]);
  const res = await fetch(`${started.url}/resumable/1`, {
    method: 'POST',
    body: 'prompt',
    headers: { authorization: 'Bearer key-1', 'x-usage': '5000,800', 'last-event-id': '9' },
  });
  expect(await res.text()).toBe('');
});
