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

export interface FaultInjectableServer extends StandinServer {
  /** Closes the listener and all connections, or listens on the same port again. */
  setRefusing(refusing: boolean): void;
  /** Destroys all connections. The listener stays open. */
  destroyConnections(): void;
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

/** Serves an application on a loopback port. Port 0 selects a free one. */
export async function startServer(app: StandinApp, port: number): Promise<FaultInjectableServer> {
  const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  const server: Server = createServer((req, res) => {
    void listener(req, res);
  });
  await listen(server, port);
  const { port: actualPort } = server.address() as AddressInfo;
  let closed = Promise.resolve();
  let stopped = false;
  const reopen = async (): Promise<void> => {
    await closed;
    if (!stopped && !server.listening) await listen(server, actualPort);
  };
  const close = (): void => {
    if (!server.listening) return;
    closed = new Promise((resolve) => {
      server.close(() => resolve());
    });
    server.closeAllConnections();
  };
  return {
    url: `http://127.0.0.1:${actualPort}`,
    setRefusing: (refusing) => {
      if (refusing) close();
      else void reopen();
    },
    destroyConnections: () => server.closeAllConnections(),
    stop: async () => {
      stopped = true;
      close();
      await closed;
    },
  };
}
