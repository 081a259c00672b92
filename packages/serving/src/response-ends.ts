/** Ends of responses and of their connections. */
import type { HttpExchange } from './context.js';

/**
 * Closes a connection whose response started before the drain and therefore has no `Connection:
 * close`.
 */
export function closeAfterResponse({ incoming, outgoing }: HttpExchange): void {
  if (outgoing.writableFinished) incoming.socket.end();
  else outgoing.once('finish', () => incoming.socket.end());
}

/** Calls the listener when a response has been handed to the operating system, or its connection is gone. */
export function whenWritten(outgoing: HttpExchange['outgoing'], listener: () => void): void {
  if (!outgoing.writableEnded || outgoing.writableFinished || outgoing.destroyed) listener();
  else outgoing.once('close', listener);
}
