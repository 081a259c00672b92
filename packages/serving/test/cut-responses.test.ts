import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createConnections, openExchange, readFullBody } from '../src/index.js';

let server: Server | undefined;

afterEach(async () => {
  await new Promise((resolve) => {
    server?.close(resolve);
  });
});

/** Starts a server that answers the requests of all connections in turn. */
async function listen(answer: (socket: Socket, request: number) => void): Promise<string> {
  let requests = 0;
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', () => {
      requests += 1;
      answer(socket, requests);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface Seen {
  readonly status: number | undefined;
  readonly body: string | undefined;
}

type Connections = ReturnType<typeof createConnections>;

async function fetchWhole(connections: Connections): Promise<Seen> {
  const result = await openExchange(connections, { method: 'GET', path: '/', headers: {} });
  if (!result.ok) return { status: undefined, body: undefined };
  const body = await readFullBody(result.reply);
  return { status: result.reply.status, body: body?.toString() };
}

const FIRST = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst';
const SIZED = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-type: text/plain\r\n\r\n';
const UNSIZED = 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/plain\r\n\r\n';
const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const BODY = { sized: 'body', chunked: '4\r\nbody\r\n0\r\n\r\n' };

// Callers of other operators got a 200 with an empty or short body that looked whole.
test.each([
  ['a head with a length', SIZED + BODY.sized, 0],
  ['a head without a length', UNSIZED, UNSIZED.length],
  ['a chunked response', CHUNKED + BODY.chunked, 0],
] as const)('%s that is cut at any byte is no whole response', async (_, text, wholeFrom) => {
  for (const isKept of [false, true]) {
    for (const how of ['end', 'resetAndDestroy'] as const) {
      let cutAt = 0;
      const address = await listen((socket, request) => {
        if (isKept && request % 2 === 1) socket.write(FIRST);
        else if (cutAt === 0) socket[how]();
        else socket.write(text.slice(0, cutAt), () => socket[how]());
      });
      for (cutAt = 0; cutAt < text.length; cutAt += 1) {
        const connections = createConnections(address, 1);
        if (isKept) expect((await fetchWhole(connections)).body).toBe('first');
        const seen = await fetchWhole(connections);
        expect({ cutAt, isKept, how, body: seen.body }).toEqual({
          cutAt,
          isKept,
          how,
          body: undefined,
        });
        expect(seen.status === undefined || cutAt >= text.indexOf('\r\n\r\n') + 4).toBe(true);
        await connections.destroy();
      }
      expect(wholeFrom === 0 || wholeFrom === text.length).toBe(true);
      server?.close();
    }
  }
});

test.each([
  ['bytes without a head', 'all is well'],
  ['a page without a head', '<html>all is well</html>'],
  ['a head of another protocol', 'ICY 200 OK\r\n\r\nbody'],
  [
    'an early hint that ends the connection',
    'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n',
  ],
  ['a head that ends before its empty line', 'HTTP/1.1 200 OK\r\nconnection: close\r\n'],
  [
    'two different lengths',
    'HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nbody',
  ],
  [
    'a length beside chunks',
    `HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n${BODY.chunked}`,
  ],
  ['a length that is no number', 'HTTP/1.1 200 OK\r\ncontent-length: four\r\n\r\nbody'],
])('%s is no response', async (_, text) => {
  const address = await listen((socket) => socket.end(text));
  const connections = createConnections(address, 1);
  expect((await fetchWhole(connections)).body).toBeUndefined();
  await connections.destroy();
});

// A server in trouble sends such bytes until its caller closes.
test.each([
  ['early hints', '', 'HTTP/1.1 103 Early Hints\r\nx-more: a\r\n\r\n'],
  ['a chunk extension', `${CHUNKED}4;`, 'a=b;'.repeat(1_000)],
  ['a status line', 'HTTP/1.1 200 ', 'a'.repeat(1_000)],
])('%s without end take no memory, and end with the request', async (_, start, block) => {
  const address = await listen((socket) => {
    const write = (): void => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.write(start);
    socket.on('drain', write);
    write();
  });
  const connections = createConnections(address, 1);
  const signal = AbortSignal.timeout(400);
  const before = process.memoryUsage.rss();
  const call = { method: 'GET', path: '/', headers: {}, signal };
  const result = await openExchange(connections, call);
  if (result.ok) expect(await readFullBody(result.reply)).toBeUndefined();
  expect(process.memoryUsage.rss() - before).toBeLessThan(96 * 1_024 * 1_024);
  await connections.destroy();
});
