/** Simulated outages of the platform's services. */
import { destroyConnection } from './control.js';
import type { Gate } from './control.js';
import type { StandinApp } from './server.js';

/**
 * `refuse` destroys the connection of each call, `error` responds with 503, `hang` delays responses
 * until the outage ends.
 */
export type Outage = 'none' | 'refuse' | 'error' | 'hang';

const CONTROL_PREFIX = '/control/';

/** Adds middleware that applies the current outage to all calls except control calls. */
export function addOutageMiddleware(app: StandinApp, read: () => Outage): void {
  app.use('*', async (c, next) => {
    const outage = c.req.path.startsWith(CONTROL_PREFIX) ? 'none' : read();
    if (outage === 'refuse') return destroyConnection(c.env.incoming.socket);
    if (outage === 'error') return c.json({ error: 'outage' }, 503);
    await next();
    return undefined;
  });
}

/** Closes the gate during a `hang` outage and opens it otherwise. */
export function updateGate(gate: Gate, outage: Outage): void {
  const closed = outage === 'hang';
  if (closed !== gate.isClosed()) gate.setClosed(closed);
}
