/** HTTP server for a Hono application. */
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { monotonicMs } from '@hibiscusbank/core';
import { getRequestListener } from '@hono/node-server';
import { screenConnections } from './screen-connections.js';
import type { ScreenedConnections, ScreenOptions } from './screen-connections.js';

/** Interval in which connections without a complete head are looked for. */
const HEAD_CHECK_INTERVAL_MS = 2_000;

export interface HttpServer {
  /** Starts to listen; rejects if the address is in use, and may be called again then. */
  start(): Promise<void>;
  /** Returns the time since the last connection was accepted, Infinity before the first. */
  sinceLastConnectionMs(): number;
  /** Returns the port that the server listens on, or 0 while it does not listen. */
  port(): number;
  /** Stops listening and waits for running responses. */
  close(): Promise<void>;
  /** Stops listening and closes all connections immediately. */
  kill(): Promise<void>;
}

export interface HttpServerOptions {
  /** Returns the idle time after which a connection is closed; called for each new connection. */
  readonly idleTimeoutMs?: () => number;
  /** Returns the time after which a connection without a complete head is closed. */
  readonly headTimeoutMs?: () => number;
  /** Connections that are open at a time; further ones are closed at once. */
  readonly maxConnections?: number;
  /** Called for each connection beyond `maxConnections`. */
  readonly onDrop?: () => void;
  /** Decides by the first bytes of a connection whether they are parsed. */
  readonly screen?: ScreenOptions;
  /** Called with errors of the listener after its start, as when the process has no file descriptors left. */
  readonly onError?: (error: Error) => void;
}

/** Whether a response has been ended, but not been handed to the operating system yet. */
const isUnwritten = (res: ServerResponse): boolean =>
  res.writableEnded && !res.writableFinished && !res.destroyed;

/**
 * Lets connections that are closed as idle write the rest of their last response first. The runtime takes
 * a connection for idle when its response has been ended, and `close` closes such connections as well.
 */
function finishWritesBeforeClose(server: Server): void {
  const responses = new Set<ServerResponse>();
  const closeIdle = server.closeIdleConnections.bind(server);
  server.on('request', (_, res) => {
    responses.add(res);
    res.once('close', () => responses.delete(res));
  });
  server.closeIdleConnections = () => {
    const unwritten = [...responses].filter(isUnwritten);
    if (unwritten.length === 0) {
      closeIdle();
      return;
    }
    const written = unwritten.map(
      (res) =>
        new Promise((resolve) => {
          res.once('close', resolve);
        }),
    );
    void Promise.all(written).then(closeIdle);
  };
}

/** Creates the server, which listens after `start`. */
export function createHttpServer(
  fetch: Parameters<typeof getRequestListener>[0],
  listen: { readonly host: string; readonly port: number },
  options: HttpServerOptions = {},
): HttpServer {
  let server: Server | undefined;
  let screened: ScreenedConnections | undefined;
  let lastConnectionAt = -Infinity;

  const close = (): Promise<void> => {
    const closingServer = server;
    server = undefined;
    if (closingServer === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      closingServer.close(() => resolve());
      closingServer.closeIdleConnections();
    });
  };

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const listener = getRequestListener(fetch, { overrideGlobalObjects: false });
        server = createServer(
          { connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS },
          (req, res) => {
            void listener(req, res);
          },
        );
        finishWritesBeforeClose(server);
        if (options.screen !== undefined) screened = screenConnections(server, options.screen);
        server.on('connection', () => {
          lastConnectionAt = monotonicMs();
        });
        const { idleTimeoutMs, headTimeoutMs, maxConnections, onDrop } = options;
        if (maxConnections !== undefined) server.maxConnections = maxConnections;
        if (onDrop !== undefined) server.on('drop', onDrop);
        if (headTimeoutMs !== undefined) {
          const newServer = server;
          newServer.headersTimeout = headTimeoutMs();
          newServer.on('connection', () => {
            newServer.headersTimeout = headTimeoutMs();
          });
        }
        if (idleTimeoutMs !== undefined) {
          const newServer = server;
          newServer.keepAliveTimeout = idleTimeoutMs();
          newServer.on('connection', () => {
            newServer.keepAliveTimeout = idleTimeoutMs();
          });
        }
        const starting = server;
        const onStartError = (error: Error): void => {
          server = undefined;
          reject(error);
        };
        starting.once('error', onStartError);
        starting.listen(listen.port, listen.host, () => {
          starting.off('error', onStartError);
          // Without a listener, a failure to accept one connection would end the process.
          starting.on('error', (error) => options.onError?.(error));
          resolve();
        });
      }),
    sinceLastConnectionMs: () => monotonicMs() - lastConnectionAt,
    port: () => (server?.address() as AddressInfo | null)?.port ?? 0,
    close,
    kill: async () => {
      const closingServer = server;
      const closed = close();
      closingServer?.closeAllConnections();
      screened?.close();
      await closed;
    },
  };
}
