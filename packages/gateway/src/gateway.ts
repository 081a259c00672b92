/** HTTP server for callers; dispatches requests to the handlers. */
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { sleep } from '@hibiscusbank/core';
import type { RouterError } from '@hibiscusbank/core';
import { Hono } from 'hono';
import { createAdmission } from './admission.js';
import type { Exchange } from './admission.js';
import { createClaims } from './claims.js';
import { formatError } from './error-response.js';
import { createHttpServer } from './http-server.js';
import { createLatencyWindow } from './latency-window.js';
import type { LatencyWindow } from './latency-window.js';
import { listModels } from './list-models.js';
import { handleModelRequest } from './model-handler.js';
import { handlePlainRequest } from './plain-handler.js';
import type { ApiForm } from './model-request.js';
import { createRetryBudget } from './retry-budget.js';
import type { Gateway, GatewayOptions, HandlerContext } from './types.js';

const IDLE_CHECK_INTERVAL_MS = 20;

/** Paths of the OpenAI API that run a model. */
const API_FORMS: Readonly<Partial<Record<string, ApiForm>>> = {
  '/v1/chat/completions': 'chat',
  '/v1/completions': 'completion',
};

function createLatencyWindows(): (pool: string) => LatencyWindow {
  const windows = new Map<string, LatencyWindow>();
  return (pool) => {
    const window = windows.get(pool) ?? createLatencyWindow();
    windows.set(pool, window);
    return window;
  };
}

/** Creates the gateway of one node. */
export function createGateway(options: GatewayOptions): Gateway {
  const { telemetry } = options;
  const admission = createAdmission(options);
  const claims = createClaims(options.objectApi);
  let draining = false;
  /** Includes requests whose body is still being read. */
  let requestsInProgress = 0;

  const sendError = ({ incoming, outgoing }: Exchange, error: RouterError): void => {
    telemetry.metrics.refusals.inc({ kind: error.kind });
    telemetry.log('requestRefused', {
      path: incoming.url,
      kind: error.kind,
      error: error.message,
    });
    if (outgoing.headersSent) return;
    const formatted = formatError(error, error.effect ?? 'not_run');
    // An unread body would be parsed as the next request on a keep-alive connection.
    const headers = incoming.complete ? {} : { connection: 'close' };
    outgoing.writeHead(formatted.status, { ...formatted.headers, ...headers });
    outgoing.end(formatted.body);
  };

  const context: HandlerContext = {
    options,
    admission,
    claims,
    budget: createRetryBudget(),
    latencyWindowOf: createLatencyWindows(),
    sendError,
  };

  const dispatch = async (exchange: Exchange): Promise<void> => {
    const { incoming, outgoing } = exchange;
    const [path = '/'] = (incoming.url ?? '/').split('?');
    if (draining) outgoing.setHeader('connection', 'close');
    const apiForm = incoming.method === 'POST' ? API_FORMS[path] : undefined;
    if (apiForm !== undefined) await handleModelRequest(context, exchange, path, apiForm);
    else if (incoming.method === 'GET' && path === '/v1/models') listModels(context, exchange);
    else await handlePlainRequest(context, exchange, path);
  };

  const serve = async (exchange: Exchange): Promise<void> => {
    requestsInProgress += 1;
    try {
      await dispatch(exchange);
    } finally {
      requestsInProgress -= 1;
    }
  };

  const app = new Hono<{ Bindings: HttpBindings }>();
  app.all('*', async (c) => {
    await serve(c.env);
    return RESPONSE_ALREADY_SENT;
  });

  const server = createHttpServer(app.fetch, options.listen, {
    onError: (error) => options.telemetry.log('listenerFailed', { error: error.message }),
  });

  return {
    serve,
    start: server.start,
    port: server.port,
    activeRequests: admission.activeRequests,
    beginDrain: () => {
      draining = true;
    },
    waitUntilIdle: async (timeoutMs) => {
      const deadlineMs = performance.now() + timeoutMs;
      while (requestsInProgress > 0 && performance.now() < deadlineMs)
        await sleep(IDLE_CHECK_INTERVAL_MS);
      return requestsInProgress;
    },
    stop: async () => {
      claims.stop();
      await server.close();
    },
    kill: async () => {
      claims.stop();
      await server.kill();
    },
  };
}
