/** Notes when work arrives at stand-ins that run in this process, as their HTTP servers see it. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';

const CHANNEL = 'http.server.request.start';

/** Calls that put no work on an engine or upstream. */
const REPORT_PATHS = /^\/(v1\/(holds|load|cache-events|orders|kv|streams|requests)\b|control\/)/;

export interface ArrivalWatch {
  /** Time of the last work by `performance.now()`, or `undefined`. */
  lastWorkAtMs(): number | undefined;
  stop(): void;
}

/** Watches the servers at these base URLs. */
export function watchArrivals(urls: readonly string[]): ArrivalWatch {
  const ports = new Set(urls.map((url) => Number(new URL(url).port)));
  let lastMs: number | undefined;
  const onRequest = (message: unknown): void => {
    const { request } = message as { request: IncomingMessage };
    if (!ports.has(request.socket.localPort ?? 0)) return;
    if (!REPORT_PATHS.test(request.url ?? '')) lastMs = performance.now();
  };
  subscribe(CHANNEL, onRequest);
  return { lastWorkAtMs: () => lastMs, stop: () => unsubscribe(CHANNEL, onRequest) };
}
