/** Discards the rest of a body whose request was refused. */
import type { IncomingMessage } from 'node:http';

/**
 * Bytes that are discarded at most, with the same overhead for each chunk as in limits of responses.
 * A caller that is still sending can then read the refusal; beyond, its connection is closed.
 */
const MAX_DISCARDED_BYTES = 262_144;
const CHUNK_OVERHEAD_BYTES = 128;
const MAX_DISCARD_MS = 1_000;

/** Discards what is left of a body, so that it is not parsed as the next request. */
export function discardBody(incoming: IncomingMessage): void {
  if (incoming.complete || incoming.destroyed) return;
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
