/** The HTTP client that the adapters share. */
import { Agent } from 'undici';

/** Idle connections are closed before an upstream's usual keep-alive limit of 5 s. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Creates a client. Time limits are the caller's, through its abort signal. */
export function createHttpClient(): Agent {
  return new Agent({
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
