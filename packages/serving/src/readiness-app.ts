/** HTTP handlers of the readiness endpoint and of the metrics. */
import type { Telemetry } from '@hibiscusbank/core';
import { Hono } from 'hono';

export interface ReadinessAppOptions {
  readonly path: string;
  readonly isReady: () => boolean;
  readonly telemetry: Telemetry;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Creates the handlers: 200 at `path` while the node is ready, 503 otherwise. */
export function createReadinessApp({ path, isReady, telemetry }: ReadinessAppOptions): Hono {
  const app = new Hono();
  app.get(path, (c) => c.body(null, isReady() ? HTTP_OK : HTTP_UNAVAILABLE));
  app.get('/metrics', async (c) => c.text(await telemetry.metrics.registry.metrics()));
  return app;
}
