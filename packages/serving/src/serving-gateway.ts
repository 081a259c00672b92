/** Admits requests and passes them to the handler for their route. */
import { createError, monotonicMs } from '@hibiscusbank/core';
import type { PoolId, RouterError } from '@hibiscusbank/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { discardBody } from './memory/index.js';
import type { CallerMemory, RefusalReason } from './memory/index.js';
import { hasFreeCapacity } from './free-capacity.js';
import { describeDraining, describeQuarantine } from './failures.js';
import { toPartIds } from './part-ids.js';
import { listSuspects } from './request-suspects.js';
import { closeAfterResponse, whenWritten } from './response-ends.js';
import { sendError } from './responses.js';
import { computeNeededMs } from './context.js';
import type { AdmittedRequest, HttpExchange, ServingContext } from './context.js';
import { servePlain } from './serve-plain.js';
import { serveStream } from './serve-stream.js';
import type { ServingOrganisation, ServingPool, ServingRequest, ServingRoute } from './types.js';
import type { ServingFailure } from './failures.js';

/** Maximum body size before the first configuration sets one. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/**
 * Retry delay while the node has no configuration; a starting node receives it in about this time.
 */
const NOT_READY_RETRY_MS = 300;

export interface ServingGatewayOptions {
  readonly context: ServingContext;
  readonly memory: Pick<CallerMemory, 'bodies' | 'unread'>;
  /** Decodes the method, path and headers of a request. Errors: `invalid_request`. */
  readonly readRequest: (exchange: HttpExchange) => Result<ServingRequest, RouterError>;
}

export interface ServingGateway {
  /** Serves one request to the end of its response. Never rejects. */
  serve(exchange: HttpExchange): Promise<void>;
  /** Returns the number of requests whose response has not been written out. */
  activeRequests(): number;
  /** Ends all requests with the response that fits what is known of them. */
  endRequests(): void;
}

interface AuthorisedRoute {
  readonly route: ServingRoute;
  readonly pool: ServingPool;
  readonly organisation: ServingOrganisation | undefined;
}

function chooseTarget(route: ServingRoute, random: number): PoolId | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { pool, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return pool;
  }
  return route.targets.at(-1)?.pool;
}

/** Returns the tokens or requests that an organisation is charged for a request. */
export function computeCharge(organisation: ServingOrganisation, req: ServingRequest): number {
  if (!organisation.countsTokens) return 1;
  if (req.usage === undefined) return organisation.defaultTokens;
  return req.usage.promptTokens + req.usage.maxOutputTokens;
}

/** Returns the time from the arrival of a request to the end of its response, at most. */
function computeLimitMs({ timeLimitMs }: ServingRoute, { maxWaitMs }: ServingRequest): number {
  return Math.min(timeLimitMs, maxWaitMs ?? timeLimitMs);
}

function notReady(reason: string): RouterError {
  return createError('not_ready', `${reason}; retry later`, {
    effect: 'not_run',
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}

/** Creates the gateway of a node. */
export function createServingGateway({
  context,
  memory,
  readRequest,
}: ServingGatewayOptions): ServingGateway {
  const { directory, drain, quota, retryBudget, telemetry } = context;
  const running = new Set<AbortController>();
  let active = 0;

  const authorise = (req: ServingRequest): Result<AuthorisedRoute, RouterError> => {
    const notRun = { effect: 'not_run' } as const;
    const route = directory.findRoute(req.host, req.path);
    if (route === undefined) {
      return err(createError('no_route', `no route for ${req.host}${req.path}`, notRun));
    }
    const organisation = req.key === undefined ? undefined : directory.findOrganisation(req.key);
    if (!route.isPublic && organisation === undefined) {
      return err(createError('unauthorised', 'the key is not known; ask for a new one', notRun));
    }
    const target = chooseTarget(route, context.random());
    const pool = target === undefined ? undefined : directory.findPool(target);
    if (pool === undefined) {
      return err(createError('no_capacity', 'the route has no pool; correct the tables', notRun));
    }
    const blocked = context.crashProtection.findBlocked(req.id, toPartIds(req.promptParts));
    if (blocked !== undefined) return err(describeQuarantine(blocked));
    return ok({ route, pool, organisation });
  };

  const isPoolFree = (pool: ServingPool, tokens: number): boolean => {
    const usable = context.rollouts.select(directory.usable(pool.id));
    const { engine } = pool;
    if (engine === undefined) {
      const used = usable.reduce((sum, { id }) => sum + context.loads.requests(id), 0);
      const capacity = usable.reduce((sum, { slots }) => sum + (slots ?? 0), 0);
      const waiting = context.allocation.waiting(pool.id);
      return hasFreeCapacity({ waiting, used, capacity }, 1);
    }
    const decode = usable.filter(({ role }) => role === 'decode');
    const used = decode.reduce((sum, { id }) => sum + context.loads.tokens(id), 0);
    const waiting = context.queueFor(pool.id).size() + context.allocation.waiting(pool.id);
    return hasFreeCapacity(
      { waiting, used, capacity: decode.length * engine.memoryTokens },
      tokens,
    );
  };

  const debit = async (
    authorised: AuthorisedRoute,
    req: ServingRequest,
  ): Promise<Result<number, RouterError>> => {
    const { organisation } = authorised;
    if (organisation === undefined) return ok(0);
    const tokens = computeCharge(organisation, req);
    const isFree = isPoolFree(authorised.pool, tokens);
    const decision = await quota.debit(organisation, tokens, isFree);
    if (decision.isGranted) return ok(tokens);
    return err(
      createError('rate_exceeded', 'the rate is used up; retry later', {
        effect: 'not_run',
        retryAfterMs: decision.retryAfterMs,
      }),
    );
  };

  const run = async (admitted: AdmittedRequest): Promise<ServingFailure | undefined> => {
    const { engine } = admitted.pool;
    retryBudget.recordRequest(admitted.pool.id);
    context.rollouts.countRequest(admitted.pool.id, admitted.route.id);
    return engine !== undefined && admitted.route.kind === 'stream'
      ? serveStream(context, admitted, engine)
      : servePlain(context, admitted);
  };

  const logEnd = (
    req: ServingRequest,
    authorised: AuthorisedRoute,
    startedAt: number,
    status: number,
    failure: ServingFailure | undefined,
  ): void => {
    const ms = Math.round(monotonicMs() - startedAt);
    telemetry.metrics.requests.inc({ route: authorised.route.id, outcome: String(status) });
    telemetry.log('requestFinished', {
      request: req.id,
      route: authorised.route.id,
      organisation: authorised.organisation?.id,
      status,
      ms,
      version: directory.tables()?.version,
      kind: failure?.error.kind,
      effect: failure?.effect,
    });
  };

  /** Whether a request would probably still run when this node stops, and so be cut off. */
  const cannotEnd = (admitted: AdmittedRequest): boolean => {
    if (!drain.isDraining()) return false;
    const leftMs = Math.round(drain.leftMs());
    const neededMs = Math.round(computeNeededMs(context, admitted));
    if (neededMs <= leftMs) return false;
    telemetry.log('drainRefused', {
      request: admitted.req.id,
      leftMs,
      neededMs,
    });
    return true;
  };

  const serveAdmitted = async (
    exchange: HttpExchange,
    req: ServingRequest,
    authorised: AuthorisedRoute,
    body: Buffer,
    startedAt: number,
  ): Promise<void> => {
    const { outgoing } = exchange;
    const { route } = authorised;
    const limitMs = computeLimitMs(route, req);
    const controller = new AbortController();
    const admitted: AdmittedRequest = {
      ...authorised,
      req,
      body,
      suspects: listSuspects(req, authorised.organisation?.id, body),
      startedAt,
      deadlineAt: startedAt + limitMs,
      signal: controller.signal,
      outgoing,
    };
    const refuse = (error: RouterError): void => {
      sendError(outgoing, error, 'not_run');
      logEnd(req, authorised, startedAt, outgoing.statusCode, { error, effect: 'not_run' });
    };
    const blocked = context.crashProtection.findBlocked(req.id, admitted.suspects);
    if (blocked !== undefined) {
      refuse(describeQuarantine(blocked));
      return;
    }
    if (cannotEnd(admitted)) {
      refuse(describeDraining(context.drainView()));
      return;
    }
    const charged = await debit(authorised, req);
    if (charged.isErr()) {
      telemetry.log('debitRefused', {
        request: req.id,
        organisation: authorised.organisation?.id,
        retryAfterMs: Math.round(charged.error.retryAfterMs ?? 0),
      });
      refuse(charged.error);
      return;
    }
    const { organisation } = authorised;
    const refund = (): void => {
      if (organisation !== undefined && charged.value > 0) {
        quota.refund(organisation.id, charged.value);
      }
    };
    // The caller may have left while another node decided about the debit.
    if (outgoing.destroyed) {
      refund();
      telemetry.log('requestRefused', { request: req.id, kind: 'cancelled', effect: 'not_run' });
      return;
    }
    running.add(controller);
    const abort = (): void => controller.abort();
    const timer = setTimeout(abort, Math.max(0, startedAt + limitMs - monotonicMs()));
    const onClose = (): void => {
      if (!outgoing.writableFinished) abort();
    };
    outgoing.on('close', onClose);
    const failure = await run(admitted);
    running.delete(controller);
    clearTimeout(timer);
    outgoing.off('close', onClose);
    memory.unread.track(outgoing);
    if (failure?.effect === 'not_run') refund();
    logEnd(req, authorised, startedAt, outgoing.statusCode, failure);
  };

  const admit = async (exchange: HttpExchange): Promise<void> => {
    const { incoming, outgoing } = exchange;
    const startedAt = monotonicMs();
    const refuse = (error: RouterError, id: string | undefined, reason?: RefusalReason): void => {
      telemetry.log('requestRefused', { request: id, kind: error.kind, effect: 'not_run' });
      sendError(outgoing, error, 'not_run');
      discardBody(incoming, reason);
    };
    if (!directory.isComplete()) {
      refuse(notReady('the node has no configuration yet'), undefined);
      return;
    }
    const decoded = readRequest(exchange);
    if (decoded.isErr()) {
      refuse(decoded.error, undefined);
      return;
    }
    const req = decoded.value;
    if (context.crashProtection.isWaiting()) {
      refuse(notReady('the node has not read the quarantines yet'), req.id);
      return;
    }
    const earlyCheck = authorise(req);
    if (earlyCheck.isErr()) {
      refuse(earlyCheck.error, req.id);
      return;
    }
    const body = await memory.bodies.read(incoming, {
      maxBytes: directory.tables()?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      timeLimitMs: computeLimitMs(earlyCheck.value.route, req),
    });
    if (body.isErr()) {
      const { reason, error } = body.error;
      if (reason !== 'cancelled') refuse(error, req.id, reason);
      return;
    }
    const { bytes, release } = body.value;
    // The configuration may have changed while the body arrived.
    const authorised = authorise(req);
    try {
      if (authorised.isErr()) refuse(authorised.error, req.id);
      else await serveAdmitted(exchange, req, authorised.value, bytes, startedAt);
    } finally {
      release();
    }
  };

  return {
    activeRequests: () => active,
    endRequests: () => running.forEach((controller) => controller.abort()),
    serve: async (exchange) => {
      const { incoming, outgoing } = exchange;
      // A connection that stays open could bring a request that the process cannot finish.
      if (drain.isDraining()) outgoing.setHeader('connection', 'close');
      if (incoming.socket.writableEnded) {
        // The request arrived while its connection was being closed and cannot be answered.
        incoming.socket.destroy();
        return;
      }
      active += 1;
      try {
        await admit(exchange);
      } catch (thrown) {
        telemetry.log('requestFailed', { error: String(thrown) });
        sendError(
          outgoing,
          createError('internal', 'unexpected error; see the log', { effect: 'unknown' }),
          'unknown',
        );
      } finally {
        whenWritten(outgoing, () => {
          active -= 1;
        });
        if (drain.isDraining()) closeAfterResponse(exchange);
      }
    },
  };
}
