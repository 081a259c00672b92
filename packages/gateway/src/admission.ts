/** Admits requests: finds the route, checks the caller and starts the clock of the request. */
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

/** A route that the caller may use. */
export interface Permission {
  readonly route: RouteEntry;
  readonly organisation: OrganisationId | undefined;
}

export interface AdmissionQuery {
  readonly path: string;
  readonly model: string | undefined;
}

export interface Admission {
  /**
   * Checks the key alone, before the body is read, unless a route on the path is open to all. The
   * model, which decides between routes, is known only from the body.
   */
  checkKey(exchange: Exchange, path: string): Result<void, RouterError>;
  /** Errors: `no_route`, `unauthorised`, `forbidden`, `not_ready`. */
  check(exchange: Exchange, query: AdmissionQuery): Result<Permission, RouterError>;
  /** Starts a request; `finish` ends it. A resumed request keeps its id. */
  admit(exchange: Exchange, permission: Permission, id?: RequestId): StartedRequest;
  activeRequests(): number;
}

export interface StartedRequest {
  readonly req: AdmittedRequest;
  readonly finish: () => void;
}

/** Whether a route serves a path and method for any model. */
function isOnPath(route: RouteEntry, query: Omit<RouteQuery, 'model'>): boolean {
  return findMismatch({ ...route, model: undefined }, { ...query, model: undefined }) === undefined;
}

/** Creates the admission of a gateway. */
export function createAdmission(options: GatewayOptions): Admission {
  const { configuration, telemetry } = options;
  let active = 0;

  const countActive = (change: number): void => {
    active += change;
    telemetry.metrics.activeRequests.set(active);
  };

  return {
    activeRequests: () => active,
    checkKey: ({ incoming }, path) => {
      const method = incoming.method ?? 'GET';
      const isOpen = configuration
        .routes()
        .some((route) => route.access.kind === 'all' && isOnPath(route, { method, path }));
      if (isOpen) return ok(undefined);
      return identifyOrganisation(configuration, incoming.headers.authorization).map(
        () => undefined,
      );
    },
    check: ({ incoming }, { path, model }) => {
      const method = incoming.method ?? 'GET';
      const [route] = rankRoutes(configuration.routes(), { method, path, model });
      if (route === undefined) {
        const what = model === undefined ? path : `${path} with model ${model}`;
        return err(
          createError('no_route', `no route for ${method} ${what}; see the routes table`, {
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
      const limit = setTimeout(() => {
        controller.abort(
          createError('timeout', `the request took longer than ${route.timeLimitMs} ms; retry`),
        );
      }, route.timeLimitMs);
      const onClose = (): void => {
        if (!outgoing.writableFinished) controller.abort();
      };
      outgoing.on('close', onClose);
      countActive(1);
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
          isAllowed: () => authorise(configuration, route, incoming.headers.authorization).isOk(),
        },
        finish: () => {
          clearTimeout(limit);
          outgoing.off('close', onClose);
          countActive(-1);
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
