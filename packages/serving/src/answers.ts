/** Writes the node's own answers and those of upstreams. */
import type { ServerResponse } from 'node:http';
import type { Effect, RouterError } from '@hibiscusbank/core';
import { formatError } from '@hibiscusbank/gateway';
import type { UpstreamReply } from './types.js';

const MS_PER_S = 1_000;
/** A caller that returns sooner finds nothing changed. */
const MIN_RETRY_AFTER_MS = 50;

/** Ends a request with an error; a stream that has begun is cut, so that it does not look whole. */
export function sendRefusal(outgoing: ServerResponse, error: RouterError, effect: Effect): void {
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

/** Sends an upstream's whole answer. */
export function sendWhole(outgoing: ServerResponse, reply: UpstreamReply, body: Buffer): void {
  if (outgoing.destroyed || outgoing.headersSent) return;
  outgoing.writeHead(reply.status, { ...reply.headers, 'content-length': body.length });
  outgoing.end(body);
}

/** Begins an upstream's answer whose body follows. */
export function beginAnswer(outgoing: ServerResponse, reply: UpstreamReply): void {
  if (outgoing.destroyed || outgoing.headersSent) return;
  outgoing.writeHead(reply.status, reply.headers);
  outgoing.flushHeaders();
}
