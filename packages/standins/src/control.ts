/** Control endpoints that all stand-ins share: `POST /control/faults` and `GET /control/state`. */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { StandinApp } from './server.js';

/** Holds responses back while it is closed, which emulates a frozen process. */
export interface Gate {
  isClosed(): boolean;
  setClosed(closed: boolean): void;
  /** Resolves at once if the gate is open, otherwise when it opens. */
  whenOpen(): Promise<void>;
}

/** Creates an open gate. `onChange` runs in each `setClosed`, before waiting calls resume. */
export function createGate(onChange: () => void = () => {}): Gate {
  let closed = false;
  let pendingResolvers: (() => void)[] = [];
  return {
    isClosed: () => closed,
    setClosed: (next) => {
      closed = next;
      onChange();
      if (closed) return;
      const resolvers = pendingResolvers;
      pendingResolvers = [];
      for (const wake of resolvers) wake();
    },
    whenOpen: () =>
      closed
        ? new Promise((resolve) => {
            pendingResolvers.push(resolve);
          })
        : Promise.resolve(),
  };
}

export interface FaultController<F extends object> {
  read(): F;
  /** Merges `faults` into the active ones; their defaults are restored after `forMs`, if given. */
  set(faults: Partial<F>, forMs?: number): void;
  /** Restores the defaults of all faults. */
  clear(): void;
  /** Cancels the pending restorations. */
  stop(): void;
}

/** Creates the faults of a stand-in, set to `defaults`. `onChange` runs after each change. */
export function createFaultController<F extends object>(
  defaults: F,
  onChange: (faults: F) => void = () => {},
): FaultController<F> {
  let faults = { ...defaults };
  const timers = new Set<NodeJS.Timeout>();
  const apply = (next: Partial<F>): void => {
    faults = { ...faults, ...next };
    onChange(faults);
  };
  const restoreDefaults = (names: readonly string[]): void => {
    const entries = Object.entries(defaults).filter(([name]) => names.includes(name));
    apply(Object.fromEntries(entries) as Partial<F>);
  };
  return {
    read: () => faults,
    set: (next, forMs) => {
      apply(next);
      if (forMs === undefined) return;
      const timer = setTimeout(() => {
        timers.delete(timer);
        restoreDefaults(Object.keys(next));
      }, forMs);
      timers.add(timer);
    },
    clear: () => apply(defaults),
    stop: () => {
      for (const timer of timers) clearTimeout(timer);
      timers.clear();
    },
  };
}

export interface ControlOptions<F extends object> {
  readonly faults: FaultController<F>;
  readonly faultNames: readonly string[];
  readonly gate?: Gate;
  /** Returns the body of `GET /control/state`. */
  readonly readState: () => object;
}

const CONTROL_PREFIX = '/control/';

/**
 * Adds the control endpoints. Control calls are answered even while the gate is closed; all other
 * calls wait until it opens.
 */
export function addControlRoutes<F extends object>(
  app: StandinApp,
  options: ControlOptions<F>,
): void {
  const { faults, faultNames, gate } = options;
  app.use('*', async (c, next) => {
    if (gate?.isClosed() && !c.req.path.startsWith(CONTROL_PREFIX)) await gate.whenOpen();
    await next();
  });
  app.post('/control/faults', async (c) => {
    const { forMs, ...body } = await c.req.json<Record<string, unknown> & { forMs?: number }>();
    const unknown = Object.keys(body).filter((name) => !faultNames.includes(name));
    if (unknown.length > 0) {
      return c.json({ error: `unknown faults ${unknown.join(', ')}`, known: faultNames }, 400);
    }
    if (Object.keys(body).length === 0) faults.clear();
    else faults.set(body as Partial<F>, forMs);
    return c.json(faults.read());
  });
  app.get('/control/state', (c) => c.json(options.readState()));
}

/** Destroys the connection of a call instead of responding. */
export function destroyConnection(outgoing: { destroy(): unknown }): Response {
  outgoing.destroy();
  return RESPONSE_ALREADY_SENT;
}
