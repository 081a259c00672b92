/** Free loopback ports. */
import { createServer } from 'node:net';

/**
 * The port range lies below the ephemeral range, from which the kernel takes ports of outgoing
 * connections.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}

/**
 * Offset of the next candidate. Ports are not reused in this process, since a node may restart on its
 * old ports.
 */
let offset = (process.pid * 97) % PORT_COUNT;

/** Finds ports that are free now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const port = FIRST_PORT + offset;
    offset = (offset + 1) % PORT_COUNT;
    if (await isFree(port)) found.push(port);
  }
  return found;
}
