/** HTTP server of the engine stand-in. docs/wire.md describes its endpoints. */
import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { HttpBindings } from '@hono/node-server';
import { addControlRoutes, destroyConnection } from '../control.js';
import type { FaultInjectableServer, StandinApp, StandinServer } from '../server.js';
import { startServer } from '../server.js';
import { createEngineCore } from './engine-core.js';
import type { EngineCore, EngineState } from './engine-core.js';
import { createKvClient, createWeightClient } from './kv-client.js';
import type { Order } from './orders.js';
import { addReader } from './streams.js';
import type { Stream, StreamReader } from './streams.js';
import { ENGINE_DEFAULTS, NO_ENGINE_FAULTS } from './types.js';
import type { AttemptRef, EngineFaults, EngineOptions, Hold, Refusal } from './types.js';

export interface EngineStandin extends StandinServer {
  setFaults(faults: Partial<EngineFaults>, forMs?: number): void;
  clearFaults(): void;
  readState(): EngineState;
  readRuns(): Readonly<Record<string, number>>;
  readOrders(): readonly Order[];
  holds(): Hold[];
}

type EngineContext = Context<{ Bindings: HttpBindings }>;

const FAULT_NAMES = Object.keys(NO_ENGINE_FAULTS);
const STATUS_CANCELLED = 499;

function readRef(c: EngineContext): AttemptRef {
  return {
    requestId: c.req.header('x-request-id') ?? '',
    attempt: Number(c.req.header('x-hibiscusbank-attempt') ?? 1),
  };
}

function sendRefusal(c: EngineContext, refusal: Refusal): Response {
  // The client of a cancelled call has disconnected, or learns from the broken connection that no
  // response follows.
  if (refusal.status === STATUS_CANCELLED)
    return destroyConnection(c.env.outgoing.socket ?? c.env.outgoing);
  if (refusal.notRun) c.header('x-not-run', '1');
  if (refusal.cold) c.header('x-cold-start', '1');
  return c.json({ error: refusal.reason }, refusal.status as 503);
}

/** Creates a reader that writes events to a response. */
function createReader(outgoing: ServerResponse): StreamReader {
  return {
    write: (text) => {
      outgoing.write(text);
    },
    end: () => {
      outgoing.end();
    },
    disconnect: () => {
      outgoing.destroy();
    },
  };
}

function sendStream(c: EngineContext, stream: Stream, lastIndex: number): Response {
  const { outgoing } = c.env;
  const reader = createReader(outgoing);
  outgoing.on('close', () => stream.readers.delete(reader));
  outgoing.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-request-id': stream.requestId,
    'x-hibiscusbank-attempt': String(stream.attempt),
    ...(stream.organisation === undefined
      ? {}
      : { 'x-hibiscusbank-organisation': stream.organisation }),
  });
  outgoing.flushHeaders();
  addReader(stream, reader, lastIndex);
  return RESPONSE_ALREADY_SENT;
}

interface WirePrefill {
  model?: string;
  prompt: string;
  priority?: number;
}

interface WireDecode {
  model?: string;
  kv_id: string;
  kv_source: string;
  start_index: number;
  max_tokens: number;
}

function addPrefillRoute(app: StandinApp, core: EngineCore): void {
  app.post('/v1/prefill', async (c) => {
    const body = await c.req.json<WirePrefill>();
    const outcome = await core.prefill({ ...readRef(c), priority: 0, ...body });
    await core.gate.whenOpen();
    if ('status' in outcome) return sendRefusal(c, outcome);
    return c.json({
      kv_id: outcome.kvId,
      prompt_tokens: outcome.promptTokens,
      cached_tokens: outcome.cachedTokens,
      elapsed_ms: outcome.elapsedMs,
    });
  });
}

function addStreamRoutes(app: StandinApp, core: EngineCore): void {
  app.post('/v1/decode', async (c) => {
    const body = await c.req.json<WireDecode>();
    const started = await core.decode({
      ...readRef(c),
      ...(body.model === undefined ? {} : { model: body.model }),
      organisation: c.req.header('x-hibiscusbank-organisation'),
      kvId: body.kv_id,
      kvSource: body.kv_source,
      startIndex: body.start_index,
      maxTokens: body.max_tokens,
    });
    await core.gate.whenOpen();
    if ('status' in started) return sendRefusal(c, started);
    return sendStream(c, started, -1);
  });
  app.get('/v1/streams/:id', (c) => {
    const stream = core.findStream(c.req.param('id'));
    if (stream === undefined) return c.json({ error: 'no such stream' }, 404);
    return sendStream(c, stream, Number(c.req.header('last-event-id') ?? -1));
  });
  app.delete('/v1/requests/:id', (c) => {
    const attempt = c.req.query('attempt');
    core.cancel(c.req.param('id'), attempt === undefined ? undefined : Number(attempt));
    return c.json({});
  });
}

function addKvRoutes(app: StandinApp, core: EngineCore): void {
  app.get('/v1/kv/:id', (c) => {
    const kv = core.exports.beginImport(c.req.param('id'));
    if (kv === undefined) return c.json({ error: 'no such KV export' }, 404);
    return c.json({
      prompt_tokens: kv.promptTokens,
      bytes: kv.bytes,
      tag: kv.tag,
      next_index: kv.nextIndex,
    });
  });
  app.delete('/v1/kv/:id', (c) => {
    core.exports.endImport(c.req.param('id'), c.req.query('completed') === '1');
    return c.json({});
  });
}

function addReportRoutes(app: StandinApp, core: EngineCore): void {
  app.get('/v1/holds', (c) => c.json({ holds: core.holds() }));
  app.get('/v1/load', (c) => c.json(core.readLoad()));
  app.get('/v1/cache-events', (c) =>
    c.json(core.cache.readEvents(Number(c.req.query('after') ?? -1))),
  );
  app.post('/v1/orders', async (c) => {
    const accepted = core.orders.apply(await c.req.json<Order>());
    return accepted ? c.json({}) : c.json({ error: 'stale fencing token' }, 409);
  });
  app.get('/control/runs', (c) => c.json(core.readRuns()));
  app.get('/control/orders', (c) => c.json({ orders: core.orders.history() }));
}

/** Starts the stand-in on a loopback port. Port 0 selects a free one. */
export async function startEngine(
  port: number,
  options: Partial<EngineOptions> = {},
): Promise<EngineStandin> {
  const resolvedOptions = { ...ENGINE_DEFAULTS, ...options };
  const ref: { server: FaultInjectableServer | undefined } = { server: undefined };
  const core = createEngineCore(resolvedOptions, {
    kvClient: createKvClient(() => ref.server?.url ?? ''),
    reserveWeights: createWeightClient(resolvedOptions.weightStore),
    setRefusing: (refusing) => ref.server?.setRefusing(refusing),
    destroyConnections: () => ref.server?.destroyConnections(),
  });
  const app: StandinApp = new Hono();
  addControlRoutes(app, {
    faults: core.faults,
    faultNames: FAULT_NAMES,
    gate: core.gate,
    readState: core.readState,
  });
  addPrefillRoute(app, core);
  addStreamRoutes(app, core);
  addKvRoutes(app, core);
  addReportRoutes(app, core);
  const server = await startServer(app, port);
  ref.server = server;
  return {
    url: server.url,
    stop: async () => {
      core.stop();
      await server.stop();
    },
    setFaults: core.faults.set,
    clearFaults: core.faults.clear,
    readState: core.readState,
    readRuns: core.readRuns,
    readOrders: () => core.orders.history(),
    holds: core.holds,
  };
}
