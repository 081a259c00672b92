/** Writes responses: errors of the node itself, and responses of upstreams. */
import type { ServerResponse } from 'node:http';
import type { Effect, RouterError } from '@hibiscusbank/core';
import { formatError } from '@hibiscusbank/gateway';
import type { UpstreamReply } from './types.js';

const MS_PER_S = 1_000;
/** Minimum retry delay; the state that caused the error does not change in a shorter time. */
const MIN_RETRY_AFTER_MS = 50;

/**
 * Ends a request with an error response. A stream that has started is aborted instead, so that it
 * does not look complete.
 */
export function sendError(outgoing: ServerResponse, error: RouterError, effect: Effect): void {
  if (outgoing.destroyed || outgoing.writableEnded) return;
  if (outgoing.headersSent) {
    outgoing.destroy();
    return;
  }
  const { status, headers, body } = formatError(error, effect);
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.max(MIN_RETRY_AFTER_MS, error.retryAfterMs) / MS_PER_S;
    headers['retry-after'] = seconds.toFixed(2);
  }
  outgoing.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  outgoing.end(body);
}

/** Sends a buffered upstream response. */
export function sendBuffered(outgoing: ServerResponse, reply: UpstreamReply, body: Buffer): void {
  if (outgoing.destroyed || outgoing.headersSent) return;
  outgoing.writeHead(reply.status, { ...reply.headers, 'content-length': body.length });
  outgoing.end(body);
}

/** Sends the status and headers of an upstream response whose body follows. */
export function startResponse(outgoing: ServerResponse, reply: UpstreamReply): void {
  if (outgoing.destroyed || outgoing.headersSent) return;
  outgoing.writeHead(reply.status, reply.headers);
  outgoing.flushHeaders();
}
