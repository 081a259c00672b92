import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createHttpServer } from '../src/index.js';
import type { HttpServer, Screening } from '../src/index.js';

const UNREAD_BYTES = 16_000_000;
const cleanUps: (() => unknown)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0)) await cleanUp();
});

function openConnection(server: HttpServer): Socket {
  const socket = connect(server.port(), '127.0.0.1');
  socket.on('error', () => {});
  cleanUps.push(() => socket.destroy());
  return socket;
}

interface Site {
  readonly server: HttpServer;
  /** Bodies that the handler has read. */
  readonly bodies: string[];
  open(): Socket;
}

/** Starts a server that answers each request with the length of its body. */
async function startSite(screen: (first: Buffer) => Screening, silentMs = 60_000): Promise<Site> {
  const bodies: string[] = [];
  const server = createHttpServer(
    async (req) => {
      bodies.push(await req.text());
      return new Response(`read ${bodies.at(-1)?.length}`);
    },
    { host: '127.0.0.1', port: 0 },
    { screen: { screen, silentMs: () => silentMs } },
  );
  await server.start();
  cleanUps.push(server.kill);
  return {
    server,
    bodies,
    open: () => openConnection(server),
  };
}

async function readUntil(socket: Socket, end: string): Promise<string> {
  let text = '';
  while (!text.includes(end)) {
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    text += bytes.toString();
  }
  return text;
}

const post = (length: number): string =>
  `POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${length}\r\n\r\n`;

test('requests of an accepted connection are read whole, the first and later ones', async () => {
  const { open, bodies } = await startSite(() => 'accept');
  const socket = open();
  const first = 'a'.repeat(300_000);
  socket.write(post(first.length) + first);
  await readUntil(socket, 'read 300000');
  socket.write(`${post(3)}xyz`);
  await readUntil(socket, 'read 3');
  expect(bodies).toEqual([first, 'xyz']);
});

test('what a connection sent while it was looked at reaches the handler in order', async () => {
  const seen: number[] = [];
  const { open, bodies } = await startSite((first) => {
    seen.push(first.length);
    return first.length < 200 ? 'wait' : 'accept';
  });
  const socket = open();
  const head = post(300);
  socket.write(head);
  while (seen.length === 0) await new Promise(setImmediate);
  socket.write(Array.from({ length: 300 }, (_, index) => String(index % 10)).join(''));
  await readUntil(socket, 'read 300');
  expect(bodies[0]).toBe('0123456789'.repeat(30));
  expect(seen).toEqual([head.length, head.length + 300]);
});

const acceptances: { name: string; screen: (first: Buffer) => Screening; firstBytes: number }[] = [
  { name: 'its first bytes', screen: () => 'accept', firstBytes: UNREAD_BYTES },
  {
    name: 'further bytes',
    screen: (first) => (first.length < 100_000 ? 'wait' : 'accept'),
    firstBytes: UNREAD_BYTES,
  },
  { name: 'a wait', screen: () => 'wait', firstBytes: 1_000 },
];

// Guards against bodies that are read into memory although no handler reads them.
test.each(acceptances)(
  'a body that nobody reads stays with its sender, accepted after $name',
  async ({ screen, firstBytes }) => {
    const unread: { readonly readableLength: number }[] = [];
    const server = createHttpServer(
      (req, { incoming }) => {
        if (req.method === 'GET') return new Response('ordinary');
        unread.push(incoming);
        return new Promise<Response>(() => {});
      },
      { host: '127.0.0.1', port: 0 },
      { screen: { screen, silentMs: () => 60_000 } },
    );
    await server.start();
    cleanUps.push(server.kill);
    const sender = openConnection(server);
    sender.write(post(UNREAD_BYTES) + 'x'.repeat(firstBytes));
    while (unread.length === 0) await new Promise(setImmediate);
    sender.write('x'.repeat(UNREAD_BYTES - firstBytes));
    // Each exchange lets the event loop read what it would read of the body.
    const ordinary = openConnection(server);
    for (let round = 0; round < 100; round += 1) {
      ordinary.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
      await readUntil(ordinary, 'ordinary');
    }
    expect(unread[0]?.readableLength).toBeLessThan(1_000_000);
  },
);

// Guards against connections whose first bytes never decide.
test('a connection that stays undecided is accepted', async () => {
  const { open } = await startSite(() => 'wait');
  const socket = open();
  socket.write(`${post(2)}ab`);
  expect(await readUntil(socket, 'read 2')).toContain('200 OK');
});

test('a refused connection gets its answer, is closed, and reaches no handler', async () => {
  const answer = 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n';
  const { open, bodies } = await startSite(() => ({ answer }));
  const socket = open();
  const closed = once(socket, 'close');
  socket.write(`${post(2)}ab`);
  expect(await readUntil(socket, '\r\n\r\n')).toBe(answer);
  await closed;
  expect(bodies).toEqual([]);
});

test('a connection that sends nothing is closed in time', async () => {
  const { open } = await startSite(() => 'accept', 20);
  await once(open(), 'close');
});

// Guards against a server that cannot be stopped while a connection has sent nothing yet.
test('connections that have sent nothing do not keep a server from being stopped', async () => {
  const { server, open } = await startSite(() => 'accept');
  const socket = open();
  await once(socket, 'connect');
  const closed = once(socket, 'close');
  await server.kill();
  await closed;
});
