/**
 * Records when stand-ins in this process receive work, by the requests that their HTTP servers
 * emit.
 */
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import type { IncomingMessage } from 'node:http';

const CHANNEL = 'http.server.request.start';

/** Control and report requests, which give an engine or upstream no work. */
const NON_WORK_PATHS = /^\/(v1\/(holds|load|cache-events|orders|kv|streams|requests)\b|control\/)/;

export interface ArrivalWatch {
  /** Time at which the last work arrived, by `performance.now()`; `undefined` if none arrived. */
  lastWorkAtMs(): number | undefined;
  stop(): void;
}

/** Starts to watch the servers at the base URLs. */
export function watchArrivals(urls: readonly string[]): ArrivalWatch {
  const ports = new Set(urls.map((url) => Number(new URL(url).port)));
  let lastMs: number | undefined;
  const onRequest = (message: unknown): void => {
    const { request } = message as { request: IncomingMessage };
    if (!ports.has(request.socket.localPort ?? 0)) return;
    if (!NON_WORK_PATHS.test(request.url ?? '')) lastMs = performance.now();
  };
  subscribe(CHANNEL, onRequest);
  return { lastWorkAtMs: () => lastMs, stop: () => unsubscribe(CHANNEL, onRequest) };
}
