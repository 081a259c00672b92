/** Stand-in of the platform's VM list. */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { startServer } from './server.js';
import type { StandinServer } from './server.js';

export interface StandinVm {
  readonly id: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

export interface VmListStandin extends StandinServer {
  setVms(vms: readonly StandinVm[]): void;
}

/** Starts the stand-in. `PUT /vms` replaces the list. */
export async function startVmList(
  port: number,
  initial: readonly StandinVm[] = [],
): Promise<VmListStandin> {
  let vms = initial;
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get('/vms', (c) => c.json({ vms }));
  app.put('/vms', async (c) => {
    ({ vms } = await c.req.json<{ vms: StandinVm[] }>());
    return c.json({});
  });
  const server = await startServer(app, port);
  return {
    ...server,
    setVms: (next) => {
      vms = next;
    },
  };
}
