/** Creates the HTTP servers of a node: for callers, for readiness checks and for peers. */
import { monotonicMs } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';
import { createHttpServer } from '@hibiscusbank/gateway';
import type { HttpServer, Screening } from '@hibiscusbank/gateway';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { createReadinessApp } from './readiness-app.js';
import type { Listener } from './start-listeners.js';
import type { ServingGateway } from './serving-gateway.js';
import type { ServingNodeOptions } from './serving-node-options.js';

/**
 * Margin by which connections stay open beyond the idle limit that callers observe, so that callers
 * close them first.
 */
const IDLE_MARGIN_MS = 1_000;
const DROP_LOG_INTERVAL_MS = 1_000;

export interface NodeServersOptions {
  readonly addresses: Pick<ServingNodeOptions, 'callers' | 'readiness' | 'peers'>;
  readonly gateway: Pick<ServingGateway, 'serve'>;
  /** Returns the idle limit that callers observe. */
  readonly idleTimeoutMs: () => number;
  /** Returns the time in which callers send the head of a request. */
  readonly headerTimeoutMs: () => number;
  /** Connections of callers that are open at a time. */
  readonly maxConnections: number;
  /** Decides by the first bytes of a caller's connection whether they are parsed. */
  readonly screen: (first: Buffer) => Screening;
  readonly isReady: () => boolean;
  /** Handlers of what peers ask for. */
  readonly peerApps: readonly Hono[];
  readonly telemetry: Telemetry;
}

export interface NodeServers {
  readonly callers: HttpServer;
  readonly readiness: HttpServer;
  readonly peers: HttpServer;
  readonly listeners: readonly Listener[];
}

/** Returns a function that logs refused connections, once a second at most. */
function createDropLog(telemetry: Telemetry): () => void {
  let loggedAt = -Infinity;
  return () => {
    if (monotonicMs() - loggedAt < DROP_LOG_INTERVAL_MS) return;
    loggedAt = monotonicMs();
    telemetry.log('connectionsDropped', {});
  };
}

/** Creates the servers, which listen after they were started. */
export function createNodeServers(options: NodeServersOptions): NodeServers {
  const { addresses, gateway, idleTimeoutMs, isReady, telemetry } = options;
  const callerApp = new Hono<{ Bindings: HttpBindings }>();
  callerApp.all('*', async (c) => {
    await gateway.serve(c.env);
    return RESPONSE_ALREADY_SENT;
  });
  const readinessApp = createReadinessApp({ path: addresses.readiness.path, isReady, telemetry });
  const peerApp = new Hono();
  for (const app of options.peerApps) peerApp.route('/', app);
  const onError = (error: Error): void => telemetry.log('listenerFailed', { error: error.message });
  const logDrop = createDropLog(telemetry);
  // A connection may be idle before its first request, too.
  const headTimeoutMs = (): number => idleTimeoutMs() + options.headerTimeoutMs() + IDLE_MARGIN_MS;
  const callers = createHttpServer(callerApp.fetch, addresses.callers, {
    idleTimeoutMs: () => idleTimeoutMs() + IDLE_MARGIN_MS,
    headTimeoutMs,
    screen: { screen: options.screen, silentMs: headTimeoutMs },
    maxConnections: options.maxConnections,
    onDrop: () => {
      telemetry.metrics.droppedConnections.inc();
      logDrop();
    },
    onError,
  });
  const readiness = createHttpServer(readinessApp.fetch, addresses.readiness, { onError });
  const peers = createHttpServer(peerApp.fetch, addresses.peers, { onError });
  const listeners = [
    { ...addresses.callers, start: callers.start },
    { ...addresses.readiness, start: readiness.start },
    { ...addresses.peers, start: peers.start },
  ];
  return { callers, readiness, peers, listeners };
}
