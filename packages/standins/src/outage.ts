/** Outages of the platform's services. */
import { cutConnection } from './control.js';
import type { Gate } from './control.js';
import type { StandinApp } from './server.js';

/** `refuse` breaks the connection, `error` answers 503, `hang` answers when the outage ends. */
export type Outage = 'none' | 'refuse' | 'error' | 'hang';

const CONTROL_PREFIX = '/control/';

/** Applies the present outage to all calls but control calls. */
export function addOutage(app: StandinApp, read: () => Outage): void {
  app.use('*', async (c, next) => {
    const outage = c.req.path.startsWith(CONTROL_PREFIX) ? 'none' : read();
    if (outage === 'refuse') return cutConnection(c.env.incoming.socket);
    if (outage === 'error') return c.json({ error: 'outage' }, 503);
    await next();
    return undefined;
  });
}

/** Keeps a gate closed while the outage hangs. */
export function updateGate(gate: Gate, outage: Outage): void {
  const closed = outage === 'hang';
  if (closed !== gate.isClosed()) gate.setClosed(closed);
}
