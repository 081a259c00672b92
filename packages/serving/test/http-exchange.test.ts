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

const MEBIBYTE = 1_024 * 1_024;

/** Writes a block again and again until the other side closes, and counts the bytes written. */
function writeWithoutEnd(socket: Socket, block: Buffer, count: { bytes: number }): void {
  const write = (): void => {
    while (!socket.destroyed) {
      count.bytes += block.length;
      if (!socket.write(block)) return;
    }
  };
  socket.on('drain', write);
  write();
}

// Bytes without end would otherwise fill the memory of the node until it is killed.
test.each([
  ['a head', '', `x-more: ${'a'.repeat(1_000)}\r\n`],
  ['a body without a length', '\r\n', 'a'.repeat(65_536)],
  ['a chunked body', 'transfer-encoding: chunked\r\n\r\n', `10000\r\n${'a'.repeat(65_536)}\r\n`],
  // Each chunk takes memory and work of its own, which exhausted the heap long before the length did.
  [
    'a body in chunks of one byte',
    'transfer-encoding: chunked\r\n\r\n',
    '1\r\na\r\n'.repeat(9_000),
  ],
  ['a trailer', 'transfer-encoding: chunked\r\n\r\n0\r\n', `x-more: ${'a'.repeat(1_000)}\r\n`],
])('%s without end is refused and its connection closed', async (_, start, block) => {
  const count = { bytes: 0 };
  let closed: Promise<void> | undefined;
  const address = await listen((socket) => {
    closed = new Promise((resolve) => {
      socket.once('close', () => resolve());
    });
    socket.write(`HTTP/1.1 200 OK\r\n${start}`);
    writeWithoutEnd(socket, Buffer.from(block), count);
  });
  expect(await fetchBody(address)).toBeUndefined();
  await closed;
  expect(count.bytes).toBeLessThan(32 * MEBIBYTE);
});

test('bodies without end together take a bounded part of the memory', async () => {
  const count = { bytes: 0 };
  const address = await listen((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\n');
    writeWithoutEnd(socket, Buffer.alloc(65_536), count);
  });
  const before = process.memoryUsage.rss();
  const bodies = await Promise.all(Array.from({ length: 40 }, () => fetchBody(address)));
  expect(bodies.every((body) => body === undefined)).toBe(true);
  expect(process.memoryUsage.rss() - before).toBeLessThan(256 * MEBIBYTE);
});

// The limit on all bodies counted their bytes, and not the memory that very small chunks take.
test('bodies without end in chunks of one byte together take a bounded part of the heap', async () => {
  const address = await listen((socket) => {
    socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
    writeWithoutEnd(socket, Buffer.from('1\r\na\r\n'.repeat(9_000)), { bytes: 0 });
  });
  const before = process.memoryUsage().heapUsed;
  const bodies = await Promise.all(Array.from({ length: 12 }, () => fetchBody(address)));
  expect(bodies.every((body) => body === undefined)).toBe(true);
  expect(process.memoryUsage().heapUsed - before).toBeLessThan(64 * MEBIBYTE);
});

test('a body in chunks of one byte that ends is complete', async () => {
  const address = await listen((socket) => {
    const chunks = [...'complete'].map((letter) => `1\r\n${letter}\r\n`).join('');
    socket.end(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
  });
  expect((await fetchBody(address))?.toString()).toBe('complete');
});

test('a body that is read after bodies without end is complete', async () => {
  let connections = 0;
  const address = await listen((socket) => {
    connections += 1;
    if (connections > 3) {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      return;
    }
    socket.write('HTTP/1.1 200 OK\r\n\r\n');
    writeWithoutEnd(socket, Buffer.alloc(65_536), { bytes: 0 });
  });
  for (let body = 0; body < 3; body += 1) expect(await fetchBody(address)).toBeUndefined();
  expect((await fetchBody(address))?.toString()).toBe('ok');
});

// Guards against a partition that holds up an aborted request and delivers it after it has healed.
test('an aborted request resets its connection', async () => {
  const controller = new AbortController();
  let onClosed: (how: string) => void = () => {};
  const closed = new Promise<string>((resolve) => {
    onClosed = resolve;
  });
  const address = await listen((socket) => {
    socket.on('error', (error: NodeJS.ErrnoException) => onClosed(error.code ?? 'error'));
    socket.on('end', () => onClosed('end'));
    controller.abort();
  });
  const connections = createConnections(address, 1);
  const call = { method: 'POST', path: '/', headers: {}, body: 'order', signal: controller.signal };
  expect(await openExchange(connections, call)).toMatchObject({ ok: false, wasSent: true });
  expect(await closed).toBe('ECONNRESET');
  await connections.destroy();
});
