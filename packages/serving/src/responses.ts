/** Writes responses: errors of the node itself, and responses of upstreams. */
import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { Effect, RouterError } from '@hibiscusbank/core';
import { formatError } from '@hibiscusbank/gateway';
import type { ErrorResponse } from '@hibiscusbank/gateway';
import type { UpstreamReply } from './types.js';

const MS_PER_S = 1_000;
/** Minimum retry delay; the state that caused the error does not change in a shorter time. */
const MIN_RETRY_AFTER_MS = 50;

function describeError(error: RouterError, effect: Effect): ErrorResponse {
  const { status, headers, body } = formatError(error, effect);
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.max(MIN_RETRY_AFTER_MS, error.retryAfterMs) / MS_PER_S;
    headers['retry-after'] = seconds.toFixed(2);
  }
  headers['content-length'] = String(Buffer.byteLength(body));
  return { status, headers, body };
}

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
  const { status, headers, body } = describeError(error, effect);
  outgoing.writeHead(status, headers);
  outgoing.end(body);
}

/** Returns the bytes of an error response for a connection that is closed behind it. */
export function encodeError(error: RouterError, effect: Effect): string {
  const { status, headers, body } = describeError(error, effect);
  const lines = Object.entries({ ...headers, connection: 'close' }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join('')}\r\n${body}`;
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
