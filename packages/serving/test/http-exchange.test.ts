import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createConnections, openExchange, readWhole } from '../src/index.js';

let server: Server | undefined;

afterEach(async () => {
  await new Promise((resolve) => {
    server?.close(resolve);
  });
});

/** Starts a server that answers each connection's first bytes with `answer`. */
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
  const body = result.ok ? await readWhole(result.reply) : undefined;
  await connections.destroy();
  return body;
}

const unframed = 'HTTP/1.1 200 OK\r\n\r\npart';

test('an answer without a length that is closed is whole', async () => {
  const address = await listen((socket) => socket.end(unframed));
  expect((await fetchBody(address))?.toString()).toBe('part');
});

test('an answer without a length that is reset is not taken for whole', async () => {
  const address = await listen((socket) => {
    socket.write(unframed);
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  expect(await fetchBody(address)).toBeUndefined();
});

test('an answer without a length that is reset at once is not taken for whole', async () => {
  const address = await listen((socket) => {
    socket.write(unframed, () => socket.resetAndDestroy());
  });
  expect(await fetchBody(address)).toBeUndefined();
});

test.each(['end', 'resetAndDestroy'] as const)(
  'an answer that is shorter than its length is not whole (%s)',
  async (how) => {
    const address = await listen((socket) => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart');
      setTimeout(() => socket[how](), 50);
    });
    expect(await fetchBody(address)).toBeUndefined();
  },
);

test('a chunked answer without its last chunk is not whole', async () => {
  const address = await listen((socket) => {
    socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n');
  });
  expect(await fetchBody(address)).toBeUndefined();
});
