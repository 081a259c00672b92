/** Discards the rest of a body whose request was refused. */
import type { IncomingMessage } from 'node:http';
import type { RefusalReason } from './read-caller-body.js';

/**
 * Bytes that are discarded at most, with the same overhead for each chunk as in limits of responses.
 * A caller that is still sending can then read the refusal; beyond, its connection is closed.
 */
const MAX_DISCARDED_BYTES = 262_144;
const CHUNK_OVERHEAD_BYTES = 128;
const MAX_DISCARD_MS = 1_000;

/** Discards what is left of a body, so that it is not parsed as the next request. */
export function discardBody(incoming: IncomingMessage, reason?: RefusalReason): void {
  if (incoming.complete || incoming.destroyed) return;
  // Each further read of very small chunks holds up all callers; the refusal has been written by now.
  if (reason === 'small_chunks') {
    incoming.socket.destroy();
    return;
  }
  let discarded = 0;
  const close = (): void => {
    incoming.socket.destroy();
  };
  const timer = setTimeout(close, MAX_DISCARD_MS);
  incoming.on('data', (chunk: Buffer) => {
    discarded += chunk.length + CHUNK_OVERHEAD_BYTES;
    if (discarded > MAX_DISCARDED_BYTES) close();
  });
  incoming.once('close', () => clearTimeout(timer));
  incoming.once('end', () => clearTimeout(timer));
  incoming.resume();
}
