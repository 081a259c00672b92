import { once } from 'node:events';
import { connect } from 'node:net';
import { Agent, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import { expect, test } from 'vitest';
import {
  createFakeTransport,
  createReply,
  createTestStores,
  createUpstream,
  enginePool,
  plainPool,
  startTestNode,
  waitUntil,
  waitUntilReady,
} from './support/test-node.js';
import type { FakeTransport, TestNode } from './support/test-node.js';

function get(agent: Agent, port: number, path: string): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const req = request(
      { agent, port, host: '127.0.0.1', path, headers: { authorization: 'Bearer key-1' } },
      resolve,
    );
    req.on('error', reject);
    req.end();
  });
}

async function readAll(res: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of res) text += String(chunk);
  return text;
}

// On a connection that stays open after the drain, a client could send a request that the process
// cannot finish.
test('a connection whose stream started before the drain is closed after the stream', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  stores.upstreams.put('d1', createUpstream('d1', { pool: enginePool, role: 'decode' }));
  stores.upstreams.put('p1', createUpstream('p1', { pool: enginePool, role: 'prefill' }));
  let endStream = (): void => {};
  transport.reply = async () =>
    ok({
      ...createReply([]),
      read: (onData) => {
        onData(Buffer.from('id: 1\ndata: a\n\n'));
        return new Promise((resolve) => {
          endStream = () => resolve(true);
        });
      },
    });
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const res = await get(agent, started.port, '/note/1');
  const { socket } = res;
  const text = readAll(res);
  const drained = started.node.drain();
  endStream();
  expect(await text).toBe('id: 1\ndata: a\n\n');
  await waitUntil(() => socket.destroyed);
  // The node still listens, so the connection was closed by the end of the stream.
  expect((await get(new Agent(), started.port, '/unknown')).statusCode).toBe(404);
  agent.destroy();
  await drained;
});

test('a draining node is not ready and sends Connection: close with its responses', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  stores.upstreams.put('u1', createUpstream('u1', { pool: plainPool }));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const drained = started.node.drain();
  expect((await fetch(started.readyUrl)).status).toBe(503);
  const agent = new Agent({ keepAlive: true });
  const res = await get(agent, started.port, '/lookup/1');
  expect(res.headers.connection).toBe('close');
  expect(await readAll(res)).toBe('done');
  await drained;
  agent.destroy();
});

type Outcome = 'answered' | 'refused' | 'cut';

/** Sends one request on a connection of its own. */
function sendOnNewConnection(port: number): Promise<Outcome> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    let isConnected = false;
    socket.on('connect', () => {
      isConnected = true;
      socket.write('GET /lookup/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-1\r\n\r\n');
    });
    socket.on('data', (chunk) => {
      text += chunk.toString();
      if (text.includes('200 OK')) socket.end();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      if (text.includes('200 OK')) resolve('answered');
      else resolve(isConnected ? 'cut' : 'refused');
    });
  });
}

// Operators saw requests cut off that had just been accepted when a process stopped under load.
test('a drain under load answers every request on a connection that it accepted', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  stores.upstreams.put('u1', createUpstream('u1', { pool: plainPool }));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const outcomes: Outcome[] = [];
  const drained = started.node.drain();
  // The load balancer removes the node after two failed checks; its last connections arrive about
  // when the node stops to wait for that.
  const removedAt = performance.now() + 2_800;
  const sendUntilRemoved = async (): Promise<void> => {
    while (performance.now() < removedAt) outcomes.push(await sendOnNewConnection(started.port));
  };
  await Promise.all(Array.from({ length: 30 }, sendUntilRemoved));
  await drained;
  expect(outcomes.filter((outcome) => outcome !== 'answered')).toEqual([]);
  expect(outcomes.length).toBeGreaterThan(30);
});

// A caller may have opened its connection before the drain and send its first request after it.
test('a connection without a request at the end of a drain still gets an answer', async () => {
  const transport = createFakeTransport();
  const stores = createTestStores();
  stores.upstreams.put('u1', createUpstream('u1', { pool: plainPool }));
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  const socket = connect(started.port, '127.0.0.1');
  await once(socket, 'connect');
  const drained = started.node.drain();
  const isListening = async (): Promise<boolean> =>
    (await sendOnNewConnection(started.port)) !== 'refused';
  await waitUntil(async () => !(await isListening()));
  // The process still runs: it answers that it is not ready.
  expect((await fetch(started.readyUrl)).status).toBe(503);
  socket.write('GET /lookup/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-1\r\n\r\n');
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  expect(chunk.toString()).toContain('200 OK');
  socket.destroy();
  await drained;
});

const postStream = (started: TestNode, usage: string): Promise<Response> =>
  fetch(`${started.url}/note/1`, {
    method: 'POST',
    body: 'prompt',
    headers: { authorization: 'Bearer key-1', 'x-usage': usage },
  });

/** Starts a node before a decode engine that generates a stream of 100 tokens in about 100 ms. */
async function startEngineNode(transport: FakeTransport): Promise<TestNode> {
  const stores = createTestStores();
  stores.upstreams.put('d1', createUpstream('d1', { pool: enginePool, role: 'decode' }));
  stores.upstreams.put('u1', createUpstream('u1', { pool: plainPool }));
  transport.reply = async () =>
    ok({
      ...createReply([]),
      read: async (onData) => {
        onData(Buffer.from('id: 1\ndata: a\n\n'));
        await new Promise((resolve) => {
          setTimeout(resolve, 100);
        });
        onData(Buffer.from('id: 2\ndata: b\n\n'));
        return true;
      },
    });
  const started = await startTestNode(stores, transport);
  await waitUntilReady(started);
  return started;
}

// Streams that were taken late in the grace period were cut off with the process, also those that may
// not be repeated.
test('a draining node refuses a stream that would still run when it stops, and serves a shorter one', async () => {
  const transport = createFakeTransport();
  const started = await startEngineNode(transport);
  await (await postStream(started, '500,100')).text();
  const drained = started.node.drain();
  const long = await postStream(started, '500,60000');
  expect(long.status).toBe(503);
  // There is no other node, so callers come back when this one has started again.
  expect(Number(long.headers.get('retry-after'))).toBeGreaterThan(8);
  expect(long.headers.get('connection')).toBe('close');
  expect(long.headers.get('x-hibiscusbank-outcome')).toBe('not_run');
  expect(transport.sends).toHaveLength(1);
  const short = await postStream(started, '500,100');
  expect(await short.text()).toContain('id: 2');
  await drained;
});

// The drain began while the stream waited, which then began too late to end.
test('a stream that waits for an engine is refused once it could no longer end', async () => {
  const transport = createFakeTransport();
  const started = await startEngineNode(transport);
  await (await postStream(started, '500,100')).text();
  transport.reserveReply = async () => err({ effect: 'not_run', wasSent: true, reason: 'refused' });
  const waiting = postStream(started, '500,60000');
  await waitUntil(() => started.events.some((event) => event.includes('refused a reservation')));
  const drainedAt = performance.now();
  const drained = started.node.drain();
  const res = await waiting;
  expect(res.status).toBe(503);
  expect(performance.now() - drainedAt).toBeLessThan(2_000);
  expect(await res.text()).toContain('another node');
  await drained;
});

// A connection that is closed with the process leaves its caller without an answer.
test('a request that its upstream holds until the drain ends gets an answer that promises nothing', async () => {
  const transport = createFakeTransport();
  const started = await startEngineNode(transport);
  transport.reply = ({ signal }) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () =>
        resolve(err({ effect: 'unknown', wasSent: true, reason: 'aborted' })),
      );
    });
  const pending = fetch(`${started.url}/book/1`, {
    method: 'POST',
    headers: { authorization: 'Bearer key-1' },
  });
  await waitUntil(() => transport.sends.length === 1);
  const drainedAt = performance.now();
  const drained = started.node.drain();
  const res = await pending;
  expect(performance.now() - drainedAt).toBeLessThan(8_000);
  expect(res.status).toBe(504);
  expect(res.headers.get('x-hibiscusbank-outcome')).toBe('unknown');
  await drained;
});

// The supervisor repeats its signal, and the second one ended the process at once.
test('a second drain ends with the first', async () => {
  const transport = createFakeTransport();
  const started = await startEngineNode(transport);
  await (await postStream(started, '500,100')).text();
  const first = started.node.drain();
  const running = postStream(started, '500,100');
  const second = started.node.drain();
  expect(await Promise.race([second, running.then((res) => res.text())])).toContain('id: 2');
  await Promise.all([first, second]);
});
