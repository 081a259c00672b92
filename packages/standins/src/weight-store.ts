/** Stand-in for the weight store, which limits the rate of model loads. */
import { Hono } from 'hono';
import { addControlRoutes, createFaultController, createGate } from './control.js';
import { addOutageMiddleware, updateGate } from './outage.js';
import type { Outage } from './outage.js';
import { startServer } from './server.js';
import type { StandinApp, StandinServer } from './server.js';

export interface WeightStoreOptions {
  /** Minimum time between the starts of two transfers. */
  readonly intervalMs: number;
}

export const WEIGHT_STORE_DEFAULTS: WeightStoreOptions = { intervalMs: 1_000 };

export interface WeightStoreFaults {
  readonly outage: Outage;
}

const NO_FAULTS: WeightStoreFaults = { outage: 'none' };

export interface Reservation {
  readonly model: string;
  readonly version: string;
  readonly startInMs: number;
}

export interface WeightStoreState {
  readonly reservations: number;
  readonly backlogMs: number;
}

export interface WeightStoreStandin extends StandinServer {
  setFaults(faults: Partial<WeightStoreFaults>, forMs?: number): void;
  clearFaults(): void;
  readState(): WeightStoreState;
  readReservations(): readonly Reservation[];
}

/** Creates a scheduler of start times `intervalMs` apart. `reserve` returns the wait in ms. */
export function createStartScheduler(intervalMs: number) {
  let nextStartMs = 0;
  const computeWaitMs = (): number => Math.max(0, nextStartMs - performance.now());
  return {
    reserve: (): number => {
      const startInMs = computeWaitMs();
      nextStartMs = performance.now() + startInMs + intervalMs;
      return startInMs;
    },
    backlogMs: computeWaitMs,
  };
}

/** Starts the stand-in on a loopback port. Port 0 selects a free one. */
export async function startWeightStore(
  port: number,
  { intervalMs = WEIGHT_STORE_DEFAULTS.intervalMs }: Partial<WeightStoreOptions> = {},
): Promise<WeightStoreStandin> {
  const gate = createGate();
  const faults = createFaultController(NO_FAULTS, (next) => updateGate(gate, next.outage));
  const startScheduler = createStartScheduler(intervalMs);
  const reservations: Reservation[] = [];
  const readState = (): WeightStoreState => ({
    reservations: reservations.length,
    backlogMs: startScheduler.backlogMs(),
  });
  const app: StandinApp = new Hono();
  addControlRoutes(app, { faults, faultNames: Object.keys(NO_FAULTS), gate, readState });
  addOutageMiddleware(app, () => faults.read().outage);
  app.post('/reservations', async (c) => {
    const { model, version } = await c.req.json<{ model: string; version: string }>();
    const reservation = { model, version, startInMs: startScheduler.reserve() };
    reservations.push(reservation);
    return c.json({ startInMs: reservation.startInMs });
  });
  app.get('/control/reservations', (c) => c.json({ reservations }));
  const server = await startServer(app, port);
  return {
    url: server.url,
    stop: async () => {
      faults.stop();
      await server.stop();
    },
    setFaults: faults.set,
    clearFaults: faults.clear,
    readState,
    readReservations: () => reservations,
  };
}
