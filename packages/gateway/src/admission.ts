/** Admits requests: matches the route, authorises the caller and starts the time limit. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createError, requestId } from '@hibiscusbank/core';
import type { OrganisationId, RequestId, RouterError } from '@hibiscusbank/core';
import { findMismatch, rankRoutes } from '@hibiscusbank/settings';
import type { RouteEntry, RouteQuery } from '@hibiscusbank/settings';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { authorise, identifyOrganisation } from './authenticate.js';
import type { AdmittedRequest, GatewayOptions } from './types.js';

export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** A matched route that the caller is authorised to use. */
export interface AuthorisedRoute {
  readonly route: RouteEntry;
  readonly organisation: OrganisationId | undefined;
}

export interface AdmissionQuery {
  readonly path: string;
  readonly model: string | undefined;
}

export interface Admission {
  /**
   * Checks the tenant key before the body is read, unless a route for the path is open to all
   * callers. Does not choose a route, because that depends on the model named in the body.
   * Errors: `unauthorised`, `not_ready`.
   */
  checkKey(exchange: Exchange, path: string): Result<void, RouterError>;
  /**
   * Returns the route of a request if its caller may use it.
   * Errors: `no_route`, `unauthorised`, `forbidden`, `not_ready`.
   */
  authorise(exchange: Exchange, query: AdmissionQuery): Result<AuthorisedRoute, RouterError>;
  /** Starts a request and its time limit; `finish` ends both. A resumed request keeps its id. */
  admit(exchange: Exchange, authorised: AuthorisedRoute, id?: RequestId): StartedRequest;
  activeRequests(): number;
}

export interface StartedRequest {
  readonly req: AdmittedRequest;
  readonly finish: () => void;
}

/** Returns whether a route matches a path and method, whatever its model. */
function matchesPathAndMethod(route: RouteEntry, query: Omit<RouteQuery, 'model'>): boolean {
  return findMismatch({ ...route, model: undefined }, { ...query, model: undefined }) === undefined;
}

/** Creates the admission control of a gateway. */
export function createAdmission(options: GatewayOptions): Admission {
  const { configuration, telemetry } = options;
  let active = 0;

  const changeActiveCount = (change: number): void => {
    active += change;
    telemetry.metrics.activeRequests.set(active);
  };

  return {
    activeRequests: () => active,
    checkKey: ({ incoming }, path) => {
      const method = incoming.method ?? 'GET';
      const isOpenToAll = configuration
        .routes()
        .some(
          (route) => route.access.kind === 'all' && matchesPathAndMethod(route, { method, path }),
        );
      if (isOpenToAll) return ok(undefined);
      return identifyOrganisation(configuration, incoming.headers.authorization).map(
        () => undefined,
      );
    },
    authorise: ({ incoming }, { path, model }) => {
      const method = incoming.method ?? 'GET';
      const [route] = rankRoutes(configuration.routes(), { method, path, model });
      if (route === undefined) {
        const requested = model === undefined ? path : `${path} with model ${model}`;
        return err(
          createError('no_route', `no route for ${method} ${requested}; see the routes table`, {
            effect: 'not_run',
          }),
        );
      }
      return authorise(configuration, route, incoming.headers.authorization).andThen(
        (organisation) => ok({ route, organisation }),
      );
    },
    admit: ({ incoming, outgoing }, { route, organisation }, id) => {
      const controller = new AbortController();
      const timeLimitTimer = setTimeout(() => {
        controller.abort(
          createError('timeout', `the request took longer than ${route.timeLimitMs} ms; retry`),
        );
      }, route.timeLimitMs);
      const onClose = (): void => {
        if (!outgoing.writableFinished) controller.abort();
      };
      outgoing.on('close', onClose);
      changeActiveCount(1);
      const startedAtMs = performance.now();
      const admittedId = id ?? requestId(`req_${randomUUID()}`);
      telemetry.log('requestRouted', {
        request: admittedId,
        route: route.id,
        pool: route.pool,
        organisation,
      });
      return {
        req: {
          id: admittedId,
          route,
          organisation,
          startedAtMs,
          signal: controller.signal,
          isStillAuthorised: () =>
            authorise(configuration, route, incoming.headers.authorization).isOk(),
        },
        finish: () => {
          clearTimeout(timeLimitTimer);
          outgoing.off('close', onClose);
          changeActiveCount(-1);
          const status = outgoing.statusCode;
          telemetry.metrics.requests.inc({ route: route.id, outcome: String(status) });
          telemetry.log('requestFinished', {
            request: admittedId,
            status,
            ms: Math.round(performance.now() - startedAtMs),
          });
        },
      };
    },
  };
}
