/** Starts and stops the HTTP servers of the stand-ins. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';

export type StandinApp = Hono<{ Bindings: HttpBindings }>;

export interface StandinServer {
  /** Base URL. */
  readonly url: string;
  stop(): Promise<void>;
}

export interface FaultyServer extends StandinServer {
  /** Closes the listener and all connections, or listens again on the same port. */
  setRefusing(refusing: boolean): void;
  /** Destroys all connections; the listener stays. */
  cutConnections(): void;
}

function listen(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Serves an application on a loopback port; 0 picks a free one. */
export async function startServer(app: StandinApp, port: number): Promise<FaultyServer> {
  const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  const server: Server = createServer((req, res) => {
    void listener(req, res);
  });
  await listen(server, port);
  const { port: actual } = server.address() as AddressInfo;
  let closed = Promise.resolve();
  let stopped = false;
  const reopen = async (): Promise<void> => {
    await closed;
    if (!stopped && !server.listening) await listen(server, actual);
  };
  const close = (): void => {
    if (!server.listening) return;
    closed = new Promise((resolve) => {
      server.close(() => resolve());
    });
    server.closeAllConnections();
  };
  return {
    url: `http://127.0.0.1:${actual}`,
    setRefusing: (refusing) => {
      if (refusing) close();
      else void reopen();
    },
    cutConnections: () => server.closeAllConnections(),
    stop: async () => {
      stopped = true;
      close();
      await closed;
    },
  };
}
