/** Stand-in of a plain upstream. */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { startServer } from './server.js';
import type { StandinServer } from './server.js';

/** Starts the stand-in, which counts the runs of each request id. */
export function startUpstream(port: number): Promise<StandinServer> {
  const runs = new Map<string, number>();
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/control/runs', (c) => c.json(Object.fromEntries(runs)));
  app.all('*', async (c) => {
    const id = c.req.header('x-request-id') ?? 'none';
    runs.set(id, (runs.get(id) ?? 0) + 1);
    const text = await c.req.text();
    return c.json({ request: id, path: c.req.path, bytes: text.length });
  });
  return startServer(app, port);
}
