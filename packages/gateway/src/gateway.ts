/** The HTTP server for callers. */
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { createError, requestId, sleep } from '@hibiscusbank/core';
import type { OrganisationId, RouterError } from '@hibiscusbank/core';
import type { RouteEntry } from '@hibiscusbank/settings';
import { Hono } from 'hono';
import { createJsonWriter, createStreamWriter } from './answer-writer.js';
import { authorise, identifyOrganisation } from './authenticate.js';
import { formatError } from './error-response.js';
import { matchRoute } from './match-route.js';
import { parseModelRequest } from './model-request.js';
import type { ApiForm } from './model-request.js';
import { announcedBytes, readBody } from './read-body.js';
import { createRetryBudget } from './retry-budget.js';
import { serveModelRequest } from './serve-model.js';
import { servePlainRequest } from './serve-plain.js';
import type { AdmittedRequest, Gateway, GatewayOptions } from './types.js';

const IDLE_CHECK_MS = 20;
/** Larger bodies of plain requests are streamed and sent once. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

interface Exchange {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

function sendError({ outgoing }: Exchange, error: RouterError): void {
  const formatted = formatError(error, 'not_run');
  if (outgoing.headersSent) return;
  outgoing.writeHead(formatted.status, formatted.headers);
  outgoing.end(formatted.body);
}

/** Creates the gateway of one node. */
export function createGateway(options: GatewayOptions): Gateway {
  const { configuration, telemetry, limits } = options;
  const budget = createRetryBudget();
  const app = new Hono<{ Bindings: HttpBindings }>();
  let active = 0;
  let server: Server | undefined;

  const admit = (
    exchange: Exchange,
    route: RouteEntry,
    organisation: OrganisationId | undefined,
  ): AdmittedRequest & { finish: () => void } => {
    const controller = new AbortController();
    const limit = setTimeout(() => {
      controller.abort(
        createError('timeout', `the request took longer than ${route.timeLimitMs} ms`),
      );
    }, route.timeLimitMs);
    const onClose = (): void => {
      if (!exchange.outgoing.writableFinished) controller.abort();
    };
    exchange.outgoing.on('close', onClose);
    active += 1;
    telemetry.metrics.activeRequests.set(active);
    const id = requestId(`req_${randomUUID()}`);
    telemetry.log('requestRouted', {
      request: id,
      route: route.id,
      pool: route.pool,
      organisation,
    });
    const startedAtMs = performance.now();
    return {
      id,
      route,
      organisation,
      startedAtMs,
      signal: controller.signal,
      finish: () => {
        clearTimeout(limit);
        exchange.outgoing.off('close', onClose);
        active -= 1;
        telemetry.metrics.activeRequests.set(active);
        const status = exchange.outgoing.statusCode;
        telemetry.metrics.requests.inc({ route: route.id, outcome: String(status) });
        telemetry.log('requestFinished', {
          request: id,
          status,
          ms: Math.round(performance.now() - startedAtMs),
        });
      },
    };
  };

  const findRoute = (
    exchange: Exchange,
    path: string,
    model: string | undefined,
  ): RouteEntry | undefined => {
    const method = exchange.incoming.method ?? 'GET';
    const route = matchRoute(configuration.routes(), { method, path, model });
    if (route === undefined) {
      const what = model === undefined ? path : `${path} with model ${model}`;
      sendError(
        exchange,
        createError('no_route', `no route for ${method} ${what}; see the routes table`),
      );
    }
    return route;
  };

  const authoriseOrRefuse = (
    exchange: Exchange,
    route: RouteEntry,
  ): { organisation: OrganisationId | undefined } | undefined =>
    authorise(configuration, route, exchange.incoming.headers.authorization).match(
      (organisation) => ({ organisation }),
      (error) => {
        telemetry.metrics.refusals.inc({ kind: error.kind });
        sendError(exchange, error);
        return undefined;
      },
    );

  const serveModel = async (exchange: Exchange, path: string, form: ApiForm): Promise<void> => {
    const body = await readBody(exchange.incoming, limits.maxBodyBytes);
    if (body.isErr()) {
      sendError(exchange, body.error);
      return;
    }
    const parsed = parseModelRequest(form, body.value);
    if (parsed.isErr()) {
      sendError(exchange, parsed.error);
      return;
    }
    const model = parsed.value;
    const route = findRoute(exchange, path, model.model);
    if (route === undefined) return;
    const caller = authoriseOrRefuse(exchange, route);
    if (caller === undefined) return;
    const req = admit(exchange, route, caller.organisation);
    const createWriter = model.stream ? createStreamWriter : createJsonWriter;
    const writer = createWriter({
      res: exchange.outgoing,
      requestId: req.id,
      form,
      model: model.model,
      invariants: telemetry.invariants,
    });
    try {
      await serveModelRequest(
        {
          options,
          req,
          model,
          maxTokens: model.maxTokens ?? route.maxTokensDefault,
          writer,
          progress: { text: '', nextIndex: 0, finished: false },
        },
        budget,
      );
    } finally {
      req.finish();
    }
  };

  const servePlain = async (exchange: Exchange, path: string): Promise<void> => {
    const route = findRoute(exchange, path, undefined);
    if (route === undefined) return;
    const caller = authoriseOrRefuse(exchange, route);
    if (caller === undefined) return;
    const { incoming } = exchange;
    const announced = announcedBytes(incoming);
    if ((announced ?? 0) > limits.maxBodyBytes) {
      sendError(
        exchange,
        createError('body_too_large', `send at most ${limits.maxBodyBytes} bytes`),
      );
      return;
    }
    const isChunked = incoming.headers['transfer-encoding'] !== undefined;
    const isSmall = !isChunked && (announced ?? 0) <= MAX_BUFFERED_BODY_BYTES;
    const req = admit(exchange, route, caller.organisation);
    try {
      const body = isSmall ? await readBody(incoming, MAX_BUFFERED_BODY_BYTES) : undefined;
      if (body?.isErr()) {
        sendError(exchange, body.error);
        return;
      }
      await servePlainRequest({
        options,
        req,
        incoming,
        outgoing: exchange.outgoing,
        body: body?.isOk() ? body.value : undefined,
        budget,
      });
    } finally {
      req.finish();
    }
  };

  const listModels = (exchange: Exchange): void => {
    identifyOrganisation(configuration, exchange.incoming.headers.authorization).match(
      (organisation) => {
        const pools = configuration
          .routes()
          .filter(
            ({ access }) => access.kind === 'all' || access.organisations.includes(organisation),
          )
          .map((route) => configuration.pools().get(route.pool));
        const models = new Set(pools.flatMap((pool) => pool?.model ?? []));
        const data = [...models].map((id) => ({ id, object: 'model', owned_by: 'hibiscusbank' }));
        exchange.outgoing.writeHead(200, { 'content-type': 'application/json' });
        exchange.outgoing.end(JSON.stringify({ object: 'list', data }));
      },
      (error) => sendError(exchange, error),
    );
  };

  app.post('/v1/chat/completions', async (c) => {
    await serveModel(c.env, c.req.path, 'chat');
    return RESPONSE_ALREADY_SENT;
  });
  app.post('/v1/completions', async (c) => {
    await serveModel(c.env, c.req.path, 'completion');
    return RESPONSE_ALREADY_SENT;
  });
  app.get('/v1/models', (c) => {
    listModels(c.env);
    return RESPONSE_ALREADY_SENT;
  });
  app.all('*', async (c) => {
    await servePlain(c.env, c.req.path);
    return RESPONSE_ALREADY_SENT;
  });

  const close = async (): Promise<void> => {
    const closing = server;
    server = undefined;
    if (closing === undefined) return;
    await new Promise<void>((resolve) => {
      closing.close(() => resolve());
      closing.closeIdleConnections();
    });
  };

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const listener = getRequestListener(app.fetch, { overrideGlobalObjects: false });
        server = createServer((req, res) => {
          void listener(req, res);
        });
        server.once('error', reject);
        server.listen(options.listen.port, options.listen.host, () => resolve());
      }),
    port: () => (server?.address() as AddressInfo | null)?.port ?? 0,
    activeRequests: () => active,
    waitUntilIdle: async (timeoutMs) => {
      const deadline = performance.now() + timeoutMs;
      while (active > 0 && performance.now() < deadline) await sleep(IDLE_CHECK_MS);
      return active;
    },
    stop: async () => {
      await close();
    },
    kill: async () => {
      const closing = server;
      const closed = close();
      closing?.closeAllConnections();
      await closed;
    },
  };
}
