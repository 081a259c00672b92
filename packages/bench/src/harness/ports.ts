/** Free loopback ports. */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

async function listenOnce(): Promise<{ port: number; close: () => Promise<void> }> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve());
  });
  const { port } = server.address() as AddressInfo;
  return {
    port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
      }),
  };
}

/** Finds ports that are free now; all are held until the last is known, so that none repeats. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const held = [];
  for (let i = 0; i < count; i += 1) held.push(await listenOnce());
  await Promise.all(held.map(({ close }) => close()));
  return held.map(({ port }) => port);
}
