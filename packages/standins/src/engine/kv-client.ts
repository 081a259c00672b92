/** HTTP clients for the KV exports of other engines and for the weight store. */
import { Agent } from 'undici';
import type { KvClient } from './decodes.js';
import type { KvDescription } from './kv-exports.js';
import type { ReserveWeights } from './orders.js';

const HTTP_OK = 200;
const CALL_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_MS = 4_000;

/** All engines of a process share one agent, which keeps the number of sockets low. */
const agent = new Agent({ keepAliveTimeout: KEEP_ALIVE_MS, connect: { timeout: CALL_TIMEOUT_MS } });

interface WireKv {
  readonly prompt_tokens: number;
  readonly bytes: number;
  readonly tag: string;
  readonly next_index: number;
}

async function begin(source: string, id: string): Promise<KvDescription | undefined> {
  const res = await agent.request({
    origin: source,
    path: `/v1/kv/${encodeURIComponent(id)}`,
    method: 'GET',
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  if (res.statusCode !== HTTP_OK) {
    await res.body.dump();
    return undefined;
  }
  const wire = (await res.body.json()) as WireKv;
  return {
    promptTokens: wire.prompt_tokens,
    bytes: wire.bytes,
    tag: wire.tag,
    nextIndex: wire.next_index,
  };
}

async function end(source: string, id: string, completed: boolean): Promise<void> {
  try {
    const res = await agent.request({
      origin: source,
      path: `/v1/kv/${encodeURIComponent(id)}?completed=${completed ? 1 : 0}`,
      method: 'DELETE',
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    await res.body.dump();
  } catch {
    // If this call fails, the source drops the export after the time limit of the import.
  }
}

/** Creates the KV client of the engine at `localUrl`. */
export function createKvClient(localUrl: () => string): KvClient {
  return { begin, end, isLocal: (source) => source === localUrl() };
}

/** Creates the client of a weight store. Without a URL, every load may start at once. */
export function createWeightClient(baseUrl: string | undefined): ReserveWeights {
  return async (model, version) => {
    if (baseUrl === undefined) return 0;
    const res = await agent.request({
      origin: baseUrl,
      path: '/reservations',
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model, version }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const body = (await res.body.json()) as { startInMs: number };
    if (res.statusCode !== HTTP_OK)
      throw new Error(`weight store responded with status ${res.statusCode}`);
    return body.startInMs;
  };
}
