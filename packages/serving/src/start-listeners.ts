/** Starts the listeners of a node, whose addresses may be in use for a moment after a restart. */
import { createError, monotonicMs, sleep } from '@hibiscusbank/core';
import type { Telemetry } from '@hibiscusbank/core';

/** Time for which a listener is tried again. */
const LISTEN_PATIENCE_MS = 15_000;
const RETRY_INTERVAL_MS = 200;
/** Errors that end by themselves: another process has the port, or the VM has no address yet. */
const PASSING_CODES: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

export interface Listener {
  readonly host: string;
  readonly port: number;
  /** Rejects if it cannot listen; may be called again then. */
  readonly start: () => Promise<void>;
}

async function startListener({ host, port, start }: Listener, telemetry: Telemetry): Promise<void> {
  const until = monotonicMs() + LISTEN_PATIENCE_MS;
  const address = `${host}:${port}`;
  let isLogged = false;
  for (;;) {
    try {
      await start();
      return;
    } catch (thrown) {
      const cause = thrown as NodeJS.ErrnoException;
      if (!PASSING_CODES.has(cause.code) || monotonicMs() >= until) {
        const message = `cannot listen on ${address}: ${cause.message}; free the address or change the settings`;
        throw createError('invalid_settings', message, { cause });
      }
      if (!isLogged) telemetry.log('listenerRetried', { address, error: cause.message });
      isLogged = true;
      await sleep(RETRY_INTERVAL_MS);
    }
  }
}

/** Resolves when all listeners listen. Errors: `invalid_settings`, with the address that is not free. */
export async function startListeners(
  listeners: readonly Listener[],
  telemetry: Telemetry,
): Promise<void> {
  await Promise.all(listeners.map((listener) => startListener(listener, telemetry)));
}
