/** Starts and stops the HTTP servers of the stand-ins. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';

export interface StandinServer {
  /** Base URL. */
  readonly url: string;
  stop(): Promise<void>;
}

/** Serves an application on a loopback port; 0 picks a free one. */
export async function startServer(
  app: Hono<{ Bindings: HttpBindings }>,
  port: number,
): Promise<StandinServer> {
  const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  const server: Server = createServer((req, res) => {
    void listener(req, res);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve());
  });
  const { port: actual } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${actual}`,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
