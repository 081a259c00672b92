/** Stand-in of the platform's object API: versions, conditional writes and watches. */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { startServer } from './server.js';
import type { StandinServer } from './server.js';

interface Stored {
  key: string;
  value: unknown;
  version: number;
  writeId: string;
  deleted: boolean;
}

const HISTORY_LENGTH = 10_000;

/** Starts the stand-in. */
export function startObjectStore(port: number): Promise<StandinServer> {
  const objects = new Map<string, Stored>();
  const history: Stored[] = [];
  const waiting = new Set<() => void>();
  const app = new Hono<{ Bindings: HttpBindings }>();
  let revision = 0;

  const write = (key: string, value: unknown, writeId: string, deleted: boolean): Stored => {
    revision += 1;
    const stored = { key, value, version: revision, writeId, deleted };
    if (deleted) objects.delete(key);
    else objects.set(key, stored);
    history.push(stored);
    if (history.length > HISTORY_LENGTH) history.shift();
    for (const wake of [...waiting]) wake();
    return stored;
  };

  const hasConflict = (key: string, ifVersion: string | undefined, ifAbsent: boolean): boolean => {
    const current = objects.get(key);
    if (ifAbsent) return current !== undefined;
    return ifVersion !== undefined && current?.version !== Number(ifVersion);
  };

  app.get('/objects', (c) => {
    const prefix = c.req.query('prefix') ?? '';
    const found = [...objects.values()].filter((object) => object.key.startsWith(prefix));
    return c.json({ revision, objects: found });
  });
  app.get('/objects/:key', (c) => {
    const found = objects.get(c.req.param('key'));
    return found === undefined ? c.json({}, 404) : c.json(found);
  });
  app.put('/objects/:key', async (c) => {
    const key = c.req.param('key');
    const { value } = await c.req.json<{ value: unknown }>();
    const conflict = hasConflict(key, c.req.query('ifVersion'), c.req.query('ifAbsent') === '1');
    if (conflict) return c.json({ version: objects.get(key)?.version ?? 0 }, 409);
    return c.json(write(key, value, c.req.header('x-write-id') ?? '', false));
  });
  app.delete('/objects/:key', (c) => {
    const key = c.req.param('key');
    const conflict = hasConflict(key, c.req.query('ifVersion'), false);
    if (conflict) return c.json({ version: objects.get(key)?.version ?? 0 }, 409);
    return c.json(write(key, undefined, c.req.header('x-write-id') ?? '', true));
  });
  app.get('/watch', async (c) => {
    const prefix = c.req.query('prefix') ?? '';
    const after = Number(c.req.query('after') ?? 0);
    const waitMs = Number(c.req.query('waitMs') ?? 0);
    const read = () =>
      history.filter((change) => change.version > after && change.key.startsWith(prefix));
    const deadline = Date.now() + waitMs;
    while (read().length === 0 && Date.now() < deadline) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          waiting.delete(wake);
          resolve();
        };
        waiting.add(wake);
        setTimeout(wake, Math.max(0, deadline - Date.now()));
      });
    }
    return c.json({ revision, changes: read() });
  });
  return startServer(app, port);
}
