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

/** Starts a server that calls `answer` for the first bytes of each connection. */
async function listen(answer: (socket: Socket) => void): Promise<string> {
  const opened = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  server = opened;
  await new Promise<void>((resolve) => {
    opened.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(opened.address() as AddressInfo).port}`;
}

async function fetchBody(address: string): Promise<Buffer | undefined> {
  const connections = createConnections(address, 1);
  const result = await openExchange(connections, { method: 'GET', path: '/', headers: {} });
  const body = result.ok ? await readFullBody(result.reply) : undefined;
  await connections.destroy();
  return body;
}

const unframed = 'HTTP/1.1 200 OK\r\n\r\npart';

test('a response without a length is complete when its connection is closed', async () => {
  const address = await listen((socket) => socket.end(unframed));
  expect((await fetchBody(address))?.toString()).toBe('part');
});

test('a response without a length is incomplete when its connection is reset', async () => {
  const address = await listen((socket) => {
    socket.write(unframed);
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  expect(await fetchBody(address)).toBeUndefined();
});

test('a response without a length is incomplete when its connection is reset immediately', async () => {
  const address = await listen((socket) => {
    socket.write(unframed, () => socket.resetAndDestroy());
  });
  expect(await fetchBody(address)).toBeUndefined();
});

test.each(['end', 'resetAndDestroy'] as const)(
  'a response shorter than its length is incomplete (%s)',
  async (how) => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart');
      setTimeout(() => socket[how](), 50);
    });
    expect(await fetchBody(address)).toBeUndefined();
  },
);

test('a chunked response without its last chunk is incomplete', async () => {
  const address = await listen((socket) => {
    socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n');
  });
  expect(await fetchBody(address)).toBeUndefined();
});
