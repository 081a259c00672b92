/** An HTTP server for a hono application, with a port that is known after the start. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';

export interface HttpServer {
  /** Rejects when the address is in use. */
  start(): Promise<void>;
  /** The port that the server listens on; 0 while it does not. */
  port(): number;
  /** Stops listening and waits for running responses. */
  close(): Promise<void>;
  /** Stops listening and drops all connections. */
  kill(): Promise<void>;
}

export interface HttpServerOptions {
  /** Time after which an idle connection is closed, read for each new connection. */
  readonly idleTimeoutMs?: () => number;
}

/** Creates the server; nothing listens before `start`. */
export function createHttpServer(
  fetch: Parameters<typeof getRequestListener>[0],
  listen: { readonly host: string; readonly port: number },
  options: HttpServerOptions = {},
): HttpServer {
  let server: Server | undefined;

  const close = (): Promise<void> => {
    const closing = server;
    server = undefined;
    if (closing === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      closing.close(() => resolve());
      closing.closeIdleConnections();
    });
  };

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const listener = getRequestListener(fetch, { overrideGlobalObjects: false });
        server = createServer((req, res) => {
          void listener(req, res);
        });
        const { idleTimeoutMs } = options;
        if (idleTimeoutMs !== undefined) {
          const opened = server;
          opened.keepAliveTimeout = idleTimeoutMs();
          opened.on('connection', () => {
            opened.keepAliveTimeout = idleTimeoutMs();
          });
        }
        server.once('error', reject);
        server.listen(listen.port, listen.host, () => resolve());
      }),
    port: () => (server?.address() as AddressInfo | null)?.port ?? 0,
    close,
    kill: async () => {
      const killed = server;
      const closed = close();
      killed?.closeAllConnections();
      await closed;
    },
  };
}
