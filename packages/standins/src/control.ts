/** Control calls that all stand-ins share: `POST /control/faults` and `GET /control/state`. */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { StandinApp } from './server.js';

/** Answers wait while the gate is closed, which emulates a frozen process. */
export interface Gate {
  isClosed(): boolean;
  setClosed(closed: boolean): void;
  /** Resolves at once when the gate is open, else when it opens. */
  whenOpen(): Promise<void>;
}

/** Creates an open gate. */
export function createGate(onChange: () => void = () => {}): Gate {
  let closed = false;
  let waiting: (() => void)[] = [];
  return {
    isClosed: () => closed,
    setClosed: (next) => {
      closed = next;
      onChange();
      if (closed) return;
      const woken = waiting;
      waiting = [];
      for (const wake of woken) wake();
    },
    whenOpen: () =>
      closed
        ? new Promise((resolve) => {
            waiting.push(resolve);
          })
        : Promise.resolve(),
  };
}

export interface FaultBoard<F extends object> {
  read(): F;
  /** Merges faults into the present ones; `forMs` restores the defaults after that time. */
  set(faults: Partial<F>, forMs?: number): void;
  clear(): void;
  stop(): void;
}

/** Creates the present faults of a stand-in. `onChange` runs after each change. */
export function createFaultBoard<F extends object>(
  defaults: F,
  onChange: (faults: F) => void = () => {},
): FaultBoard<F> {
  let faults = { ...defaults };
  const timers = new Set<NodeJS.Timeout>();
  const apply = (next: Partial<F>): void => {
    faults = { ...faults, ...next };
    onChange(faults);
  };
  const restore = (names: readonly string[]): void => {
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
        restore(Object.keys(next));
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
  readonly faults: FaultBoard<F>;
  readonly faultNames: readonly string[];
  readonly gate?: Gate;
  /** State for `GET /control/state`. */
  readonly readState: () => object;
}

const CONTROL_PREFIX = '/control/';

/**
 * Adds the control calls. They answer also while the gate is closed; all other calls wait for it.
 */
export function addControl<F extends object>(app: StandinApp, options: ControlOptions<F>): void {
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

/** Destroys the connection of a call in place of an answer. */
export function cutConnection(outgoing: { destroy(): unknown }): Response {
  outgoing.destroy();
  return RESPONSE_ALREADY_SENT;
}
