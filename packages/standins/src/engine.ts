/** Stand-in of a model engine. */
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { startServer } from './server.js';
import type { StandinServer } from './server.js';

export interface EngineOptions {
  readonly tokenMs: number;
  readonly prefillTokensPerMs: number;
}

const CHARS_PER_TOKEN = 4;

const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts the stand-in. */
export function startEngine(port: number, options: EngineOptions): Promise<StandinServer> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.post('/v1/prefill', async (c) => {
    const { prompt } = await c.req.json<{ prompt: string }>();
    const promptTokens = Math.ceil(prompt.length / CHARS_PER_TOKEN);
    const elapsedMs = promptTokens / options.prefillTokensPerMs;
    await delay(elapsedMs);
    return c.json({
      kv_id: `kv-${c.req.header('x-request-id')}`,
      prompt_tokens: promptTokens,
      cached_tokens: 0,
      elapsed_ms: elapsedMs,
    });
  });
  app.post('/v1/decode', async (c) => {
    const body = await c.req.json<{ start_index: number; max_tokens: number }>();
    const { outgoing } = c.env;
    outgoing.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let i = 0; i < body.max_tokens && !outgoing.destroyed; i += 1) {
      await delay(options.tokenMs);
      const last = i === body.max_tokens - 1;
      const token = {
        text: `t${body.start_index + i} `,
        ...(last ? { finish_reason: 'length' } : {}),
      };
      outgoing.write(`id: ${body.start_index + i}\ndata: ${JSON.stringify(token)}\n\n`);
    }
    outgoing.end();
    return RESPONSE_ALREADY_SENT;
  });
  app.delete('/v1/requests/:id', (c) => c.json({}));
  app.get('/v1/holds', (c) => c.json({ holds: [] }));
  return startServer(app, port);
}
