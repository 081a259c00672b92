/** HTTP server for health checks, metrics, status and key withdrawal. */
import { keyDigest, poolId } from '@hibiscusbank/core';
import { createHttpServer } from '@hibiscusbank/gateway';
import { Hono } from 'hono';
import type { RouterNode } from './types.js';

export interface AdminServer {
  start(): Promise<void>;
  port(): number;
  stop(): Promise<void>;
}

export interface AdminOptions {
  readonly node: Pick<
    RouterNode,
    'telemetry' | 'configuration' | 'membership' | 'scheduler' | 'quota'
  >;
  readonly listen: { readonly host: string; readonly port: number };
  /** Returns the reason why the node is not ready, or `undefined` when it is ready. */
  readonly findUnreadyReason: () => string | undefined;
  readonly activeRequests: () => number;
  /** Returns the recent log lines about a request. */
  readonly explainRequest: (request: string) => readonly string[];
}

function createStatus({ node, activeRequests, findUnreadyReason }: AdminOptions) {
  return {
    vm: node.membership.self.vm,
    dataCentre: node.membership.self.dataCentre,
    ready: findUnreadyReason() === undefined,
    obstacle: findUnreadyReason(),
    revision: node.configuration.revision(),
    activeRequests: activeRequests(),
    members: node.membership.members(),
    cells: node.scheduler.ownedCells(),
    balances: node.quota.balances(),
    violations: node.telemetry.invariants.violations(),
  };
}

export function createAdminServer(options: AdminOptions): AdminServer {
  const { node } = options;
  const app = new Hono();
  app.get('/healthz', (c) => c.text('ok\n'));
  app.get('/readyz', (c) => {
    const unreadyReason = options.findUnreadyReason();
    return unreadyReason === undefined
      ? c.text('ready\n')
      : c.text(`not ready: ${unreadyReason}\n`, 503);
  });
  app.get('/metrics', async (c) =>
    c.text(await node.telemetry.metrics.registry.metrics(), 200, {
      'content-type': node.telemetry.metrics.registry.contentType,
    }),
  );
  app.get('/status', (c) => c.json(createStatus(options)));
  app.get('/explain', (c) => {
    const pool = c.req.query('pool');
    const request = c.req.query('request');
    if (pool !== undefined) return c.json({ lines: node.scheduler.explain(poolId(pool)) });
    if (request !== undefined) return c.json({ lines: options.explainRequest(request) });
    return c.json({ error: 'name a pool or a request: /explain?pool=NAME or ?request=ID' }, 400);
  });
  app.post('/keys/withdraw', async (c) => {
    const { digest } = await c.req.json<{ digest?: string }>();
    if (digest === undefined) return c.json({ error: 'send {"digest": SHA-256 of the key}' }, 400);
    await node.configuration.withdrawKey(keyDigest(digest));
    return c.json({ withdrawn: digest });
  });
  const server = createHttpServer(app.fetch, options.listen, {
    onError: (error) => options.node.telemetry.log('listenerFailed', { error: error.message }),
  });
  return { start: server.start, port: server.port, stop: server.kill };
}
