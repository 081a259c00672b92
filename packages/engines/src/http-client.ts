/** HTTP client for the adapters of engines and plain upstreams. */
import { Agent } from 'undici';

/** Upstreams usually close idle connections after 5 s; the client closes them before that. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Creates a client without response timeouts. Callers set time limits through the abort signal. */
export function createHttpClient(): Agent {
  return new Agent({
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
