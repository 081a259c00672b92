/** HTTP server of the plain upstream stand-in. docs/wire.md describes its endpoints. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { addControlRoutes } from '../control.js';
import { startServer } from '../server.js';
import type { FaultInjectableServer, StandinApp, StandinServer } from '../server.js';
import { NO_UPSTREAM_FAULTS, UPSTREAM_DEFAULTS } from './types.js';
import type {
  RecordedCall,
  UpstreamFaults,
  UpstreamOptions,
  UpstreamRuns,
  UpstreamState,
} from './types.js';
import { createUpstreamCore } from './upstream-core.js';
import type { RunOutcome, UpstreamCore } from './upstream-core.js';

export interface UpstreamStandin extends StandinServer {
  setFaults(faults: Partial<UpstreamFaults>, forMs?: number): void;
  clearFaults(): void;
  readState(): UpstreamState;
  readRuns(): UpstreamRuns;
  /** Returns the last 1,000 requests as they arrived, oldest first. */
  readCalls(): readonly RecordedCall[];
}

/** A request with `x-standin-echo: body` gets its own body streamed back. */
const ECHO_HEADER = 'x-standin-echo';

function readHeader(incoming: IncomingMessage, name: string): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

async function countBytes(incoming: IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const chunk of incoming) bytes += (chunk as Buffer).length;
  return bytes;
}

function sendJson(
  outgoing: ServerResponse,
  status: number,
  headers: Record<string, string>,
  body: object,
): void {
  outgoing.writeHead(status, { 'content-type': 'application/json', ...headers });
  outgoing.end(JSON.stringify(body));
}

function sendFailure(outgoing: ServerResponse, outcome: RunOutcome): void {
  if (outcome === 'cut') {
    outgoing.destroy();
    return;
  }
  const notRunHeaders: Record<string, string> =
    outcome === 'cold_not_run' ? { 'x-cold-start': '1', 'x-not-run': '1' } : {};
  sendJson(outgoing, 503, notRunHeaders, { error: 'cold start' });
}

async function serve(
  core: UpstreamCore,
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): Promise<void> {
  const requestId = readHeader(incoming, 'x-request-id') ?? 'none';
  const echoesBody = readHeader(incoming, ECHO_HEADER) === 'body';
  const call = { requestId, idempotencyKey: readHeader(incoming, 'idempotency-key') };
  core.record({
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: { ...incoming.headers },
  });
  // An echoed body is sent back while it arrives, so it must not be consumed before the run.
  const bytes = echoesBody ? 0 : await countBytes(incoming);
  const outcome = await core.run(call);
  if (outcome !== 'answered') {
    sendFailure(outgoing, outcome);
    return;
  }
  if (!echoesBody) {
    const body = { request: requestId, method: incoming.method, path: incoming.url, bytes };
    sendJson(outgoing, 200, {}, { ...body, headers: incoming.headers });
    return;
  }
  outgoing.writeHead(200, { 'content-type': 'application/octet-stream' });
  await pipeline(incoming, outgoing);
}

/** Starts the stand-in on a loopback port. Port 0 selects a free one. */
export async function startUpstream(
  port: number,
  options: Partial<UpstreamOptions> = {},
): Promise<UpstreamStandin> {
  const ref: { server: FaultInjectableServer | undefined } = { server: undefined };
  const core = createUpstreamCore({ ...UPSTREAM_DEFAULTS, ...options }, (refusing) =>
    ref.server?.setRefusing(refusing),
  );
  const app: StandinApp = new Hono();
  addControlRoutes(app, {
    faults: core.faults,
    faultNames: Object.keys(NO_UPSTREAM_FAULTS),
    gate: core.gate,
    readState: core.readState,
  });
  app.get('/control/runs', (c) => c.json(core.readRuns()));
  app.get('/control/calls', (c) => c.json({ calls: core.readCalls() }));
  app.all('*', async (c) => {
    const { incoming, outgoing } = c.env;
    // The client may disconnect at any time; the error then has no recipient.
    await serve(core, incoming, outgoing).catch(() => outgoing.destroy());
    return RESPONSE_ALREADY_SENT;
  });
  const server = await startServer(app, port);
  ref.server = server;
  return {
    url: server.url,
    stop: async () => {
      core.faults.stop();
      await server.stop();
    },
    setFaults: core.faults.set,
    clearFaults: core.faults.clear,
    readState: core.readState,
    readRuns: core.readRuns,
    readCalls: core.readCalls,
  };
}
