/** Stops the listener of a draining node without cutting off connections that were just accepted. */
import { monotonicMs, sleep } from '@hibiscusbank/core';
import type { HttpServer } from '@hibiscusbank/gateway';

/**
 * Time after which the load balancer has removed the node: it does so after two failed readiness
 * checks, one second apart.
 */
export const BALANCER_REMOVAL_MS = 2_600;
/** Time without a new connection after which the node stops listening. */
const QUIET_LISTENER_MS = 300;
/** Time before the end of the drain at which the node stops listening in any case. */
const LAST_CLOSE_MS = 2_000;
/** Time for which a connection may bring its first request after the node stopped listening. */
const FIRST_REQUEST_MS = 500;
const POLL_MS = 25;

/**
 * Stops listening once the load balancer sends no more connections. A connection that waits to be
 * accepted when the listener closes is reset, so the listener stays open while connections keep
 * arriving. `deadline` is the monotonic time in milliseconds at which the drain ends.
 */
export async function stopListening(
  server: Pick<HttpServer, 'close' | 'sinceLastConnectionMs'>,
  deadline: number,
): Promise<void> {
  await sleep(BALANCER_REMOVAL_MS);
  while (
    server.sinceLastConnectionMs() < QUIET_LISTENER_MS &&
    monotonicMs() < deadline - LAST_CLOSE_MS
  ) {
    await sleep(POLL_MS);
  }
  await Promise.race([server.close(), sleep(FIRST_REQUEST_MS)]);
}
