/** HTTP server of the object API stand-in. docs/wire.md describes its endpoints. */
import { sleep } from '@hibiscusbank/core';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { HttpBindings } from '@hono/node-server';
import {
  addControlRoutes,
  createFaultController,
  createGate,
  destroyConnection,
} from '../control.js';
import type { FaultController } from '../control.js';
import { addOutageMiddleware, updateGate } from '../outage.js';
import type { Outage } from '../outage.js';
import { createSeededRandom } from '../seeded-random.js';
import { startServer } from '../server.js';
import type { StandinApp, StandinServer } from '../server.js';
import { createObjectTable } from './object-table.js';
import type { ObjectTable, StoredObject, WriteCall } from './object-table.js';
import { createRateLimit } from './rate-limit.js';
import type { RateLimit } from './rate-limit.js';

export interface ObjectApiOptions {
  /** Minimum number of changes kept for watches; fewer than twice as many are kept. */
  readonly historyLength: number;
  readonly maxValueBytes: number;
  /** Delay before each call takes effect. */
  readonly latencyMs: number;
  /**
   * `readsPerS` and `writesPerS` limit the rates of calls; 0 means no limit. A watch counts as one
   * read, however long it waits.
   */
  readonly readsPerS: number;
  readonly writesPerS: number;
  readonly limitStatus: 429 | 503;
  /** Seed for `loseAnswerRate`. */
  readonly seed: number;
}

export const OBJECT_API_DEFAULTS: ObjectApiOptions = {
  historyLength: 10_000,
  maxValueBytes: 1_000_000,
  latencyMs: 0,
  readsPerS: 0,
  writesPerS: 0,
  limitStatus: 503,
  seed: 1,
};

export interface ObjectApiFaults {
  readonly outage: Outage;
  /** Breaks the connections of the next n writes after they took effect. */
  readonly loseAnswers: number;
  /** Fraction of writes whose connection is broken after they took effect. */
  readonly loseAnswerRate: number;
  /** Added to the latency. */
  readonly slowMs: number;
}

const NO_FAULTS: ObjectApiFaults = {
  outage: 'none',
  loseAnswers: 0,
  loseAnswerRate: 0,
  slowMs: 0,
};

export interface ObjectApiState {
  readonly reads: number;
  readonly writes: number;
  readonly conflicts: number;
  readonly watches: number;
  readonly waitingWatches: number;
  readonly peakWaitingWatches: number;
  readonly lostAnswers: number;
  readonly limited: number;
  readonly revision: number;
  readonly objects: number;
}

export interface ObjectApiStandin extends StandinServer {
  setFaults(faults: Partial<ObjectApiFaults>, forMs?: number): void;
  clearFaults(): void;
  readState(): ObjectApiState;
  /** Reads an object directly, without an HTTP call. */
  get(key: string): StoredObject | undefined;
  list(prefix: string): StoredObject[];
  /** Writes unconditionally, without an HTTP call. */
  put(key: string, value: unknown): StoredObject;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };
type Counters = Mutable<Omit<ObjectApiState, 'waitingWatches' | 'revision' | 'objects'>>;
type ApiContext = Context<{ Bindings: HttpBindings }>;

interface HandlerContext {
  readonly app: StandinApp;
  readonly table: ObjectTable;
  readonly options: ObjectApiOptions;
  readonly counters: Counters;
  readonly faults: FaultController<ObjectApiFaults>;
  /** Decides whether the connection of a write is broken in place of its response. */
  readonly shouldLoseAnswer: () => boolean;
}

function createCounters(): Counters {
  return {
    reads: 0,
    writes: 0,
    conflicts: 0,
    watches: 0,
    peakWaitingWatches: 0,
    lostAnswers: 0,
    limited: 0,
  };
}

function createLostAnswerDecider(
  faults: FaultController<ObjectApiFaults>,
  seed: number,
  counters: Counters,
): () => boolean {
  const random = createSeededRandom(seed, 'lost answers');
  return () => {
    const { loseAnswers, loseAnswerRate } = faults.read();
    const losesAnswer = loseAnswers > 0 || (loseAnswerRate > 0 && random.next() < loseAnswerRate);
    if (loseAnswers > 0) faults.set({ loseAnswers: loseAnswers - 1 });
    if (losesAnswer) counters.lostAnswers += 1;
    return losesAnswer;
  };
}

function addRateLimits(context: HandlerContext): void {
  const { app, options, counters, faults } = context;
  const reads = createRateLimit(() => options.readsPerS);
  const writes = createRateLimit(() => options.writesPerS);
  app.use('*', async (c, next) => {
    if (c.req.path.startsWith('/control/')) return next();
    const isWrite = c.req.method === 'PUT' || c.req.method === 'DELETE';
    if (isWrite) counters.writes += 1;
    else counters.reads += 1;
    const limit: RateLimit = isWrite ? writes : reads;
    if (!limit.tryAcquire()) {
      counters.limited += 1;
      return c.json({ error: 'too many calls' }, options.limitStatus);
    }
    const latencyMs = options.latencyMs + faults.read().slowMs;
    if (latencyMs > 0) await sleep(latencyMs);
    return next();
  });
}

function handleWrite(c: ApiContext, context: HandlerContext, call: WriteCall): Response {
  const result = context.table.write(call);
  if (result.kind === 'conflict') {
    context.counters.conflicts += 1;
    return c.json({ version: result.version }, 409);
  }
  if (context.shouldLoseAnswer()) return destroyConnection(c.env.incoming.socket);
  return c.json(result.object);
}

function readWriteCondition(c: ApiContext): Pick<WriteCall, 'writeId' | 'ifVersion' | 'ifAbsent'> {
  const ifVersion = c.req.query('ifVersion');
  return {
    writeId: c.req.header('x-write-id') ?? '',
    ifVersion: ifVersion === undefined ? undefined : Number(ifVersion),
    ifAbsent: c.req.query('ifAbsent') === '1',
  };
}

function addObjectRoutes(context: HandlerContext): void {
  const { app, table, options } = context;
  app.get('/objects', (c) =>
    c.json({ revision: table.revision(), objects: table.list(c.req.query('prefix') ?? '') }),
  );
  app.get('/objects/:key', (c) => {
    const found = table.get(c.req.param('key'));
    return found === undefined ? c.json({}, 404) : c.json(found);
  });
  app.put('/objects/:key', async (c) => {
    const text = await c.req.text();
    if (Buffer.byteLength(text) > options.maxValueBytes) {
      return c.json({ error: 'value too large' }, 413);
    }
    const { value } = JSON.parse(text) as { value: unknown };
    const key = c.req.param('key');
    return handleWrite(c, context, { key, value, deleted: false, ...readWriteCondition(c) });
  });
  app.delete('/objects/:key', (c) => {
    const key = c.req.param('key');
    const condition = readWriteCondition(c);
    // A retry of a deletion whose response was lost succeeds.
    if (table.get(key) === undefined && condition.ifVersion === undefined) return c.json({});
    return handleWrite(c, context, { key, value: undefined, deleted: true, ...condition });
  });
}

function addWatchRoute({ app, table, counters, faults }: HandlerContext): void {
  app.get('/watch', async (c) => {
    counters.watches += 1;
    const watch = table.watch(
      c.req.query('prefix') ?? '',
      Number(c.req.query('after') ?? 0),
      Number(c.req.query('waitMs') ?? 0),
    );
    counters.peakWaitingWatches = Math.max(counters.peakWaitingWatches, table.waiting());
    const { outgoing } = c.env;
    outgoing.once('close', watch.cancel);
    const batch = await watch.done;
    outgoing.off('close', watch.cancel);
    if (faults.read().outage === 'refuse') return destroyConnection(c.env.incoming.socket);
    return batch === undefined ? c.json({ error: 'history lost' }, 410) : c.json(batch);
  });
}

/** Starts the stand-in on a loopback port. Port 0 selects a free one. */
export async function startObjectApi(
  port: number,
  overrides: Partial<ObjectApiOptions> = {},
): Promise<ObjectApiStandin> {
  const options = { ...OBJECT_API_DEFAULTS, ...overrides };
  const table = createObjectTable(options.historyLength);
  const counters = createCounters();
  const gate = createGate();
  let outage: Outage = 'none';
  const faults = createFaultController(NO_FAULTS, (next) => {
    updateGate(gate, next.outage);
    // The start of an outage ends the waiting watches.
    if (next.outage !== outage && next.outage !== 'none') table.stop();
    outage = next.outage;
  });
  const app: StandinApp = new Hono();
  const shouldLoseAnswer = createLostAnswerDecider(faults, options.seed, counters);
  const context = { app, table, options, counters, faults, shouldLoseAnswer };
  const readState = (): ObjectApiState => ({
    ...counters,
    waitingWatches: table.waiting(),
    revision: table.revision(),
    objects: table.list('').length,
  });
  addControlRoutes(app, { faults, faultNames: Object.keys(NO_FAULTS), gate, readState });
  addOutageMiddleware(app, () => faults.read().outage);
  addRateLimits(context);
  addObjectRoutes(context);
  addWatchRoute(context);
  const server = await startServer(app, port);
  const write = (key: string, value: unknown): StoredObject => {
    const writeId = 'control';
    table.write({ key, value, writeId, deleted: false, ifVersion: undefined, ifAbsent: false });
    return table.get(key) as StoredObject;
  };
  return {
    url: server.url,
    stop: async () => {
      faults.stop();
      table.stop();
      await server.stop();
    },
    setFaults: faults.set,
    clearFaults: faults.clear,
    readState,
    get: table.get,
    list: table.list,
    put: write,
  };
}
