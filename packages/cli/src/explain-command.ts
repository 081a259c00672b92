/** `hibiscusbank explain`: explains how a request is routed. */
import { createError } from '@hibiscusbank/core';
import { findMismatch, rankRoutes } from '@hibiscusbank/settings';
import type { PoolEntry, RouteEntry, RouteQuery } from '@hibiscusbank/settings';
import type { AdminPort } from './admin-client.js';
import { readConfiguration } from './configuration-reader.js';
import type { StoredConfiguration } from './configuration-reader.js';
import { checkName } from './known-names.js';
import { printResult } from './output.js';
import type { Output } from './output.js';
import type { CliPorts } from './ports.js';

export interface ExplainArgs {
  readonly org: string | undefined;
  readonly path: string;
  readonly method: string;
  readonly model: string | undefined;
}

type ExplainPorts = Pick<CliPorts, 'objectApi' | 'admins'>;

function explainRoute(routes: readonly RouteEntry[], query: RouteQuery): string[] {
  const [best, ...others] = rankRoutes(routes, query);
  if (best === undefined) {
    const reasons = routes.map((route) => `  ${route.id}: ${findMismatch(route, query)}`);
    return ['route: none matches, the caller gets 404', ...reasons];
  }
  const precedence =
    others.length === 0 ? '' : `, more specific than ${others.map(({ id }) => id).join(', ')}`;
  return [`route ${best.id}: path ${best.path}${precedence}`];
}

function explainAccess(
  route: RouteEntry,
  organisation: string | undefined,
  stored: StoredConfiguration,
): string[] {
  const { access } = route;
  if (access.kind === 'all') return ['access: open to all, no key needed'];
  const names = access.organisations.join(', ');
  if (organisation === undefined) return [`access: a key of ${names}; without one 401`];
  const limit = stored.organisations.find(({ value }) => value.id === organisation)?.value;
  const rate = limit === undefined ? 'no rate' : `${limit.ratePerS} tokens/s, burst ${limit.burst}`;
  if (!access.organisations.some((id) => id === organisation)) {
    return [`access: ${organisation} is not one of ${names}, the caller gets 403`];
  }
  return [`access: ${organisation} is on the route (${rate})`];
}

function listPoolDrains(pool: PoolEntry, stored: StoredConfiguration): string[] {
  const names = new Set([
    ...pool.upstreams.map(({ id }) => `upstream/${id}`),
    ...pool.upstreams.map(({ dataCentre }) => `dc/${dataCentre}`),
  ]);
  return stored.drains.filter((name) => names.has(name));
}

function explainPool(route: RouteEntry, stored: StoredConfiguration): string[] {
  const pool = stored.pools.find(({ value }) => value.id === route.pool)?.value;
  if (pool === undefined) return [`pool ${route.pool}: unknown, the caller gets 503`];
  const dataCentres = [...new Set(pool.upstreams.map(({ dataCentre }) => dataCentre))].sort();
  const upstreamLines = dataCentres.map((dataCentre) => {
    const upstreams = pool.upstreams.filter((upstream) => upstream.dataCentre === dataCentre);
    return `  ${dataCentre}: ${upstreams.map(({ id, role }) => `${id} (${role})`).join(', ')}`;
  });
  const drainLines = listPoolDrains(pool, stored).map((name) => `  out of service: ${name}`);
  const model = pool.model === undefined ? '' : ` ${pool.model}`;
  return [`pool ${pool.id}: ${pool.kind}${model}`, ...upstreamLines, ...drainLines];
}

/** Returns the cells and owners of a pool as reported by the first node that responds. */
async function explainCells(pool: string, admins: readonly AdminPort[]): Promise<string[]> {
  for (const admin of admins) {
    const response = await admin.get(`/explain?pool=${encodeURIComponent(pool)}`);
    if (response.isErr()) continue;
    const { lines } = response.value as { lines: readonly string[] };
    const cellLines = lines.length === 0 ? ['(none reported)'] : lines;
    return [`cells as ${admin.address} sees them:`, ...cellLines.map((line) => `  ${line}`)];
  }
  if (admins.length > 0) return ['cells: no node answers; check the admin addresses'];
  return ['cells: no node asked; give --admin IP:port or [operator] admins in --config FILE'];
}

/** Explains how a request would be routed, from the stored configuration and a node's cells. */
export async function explainPath(
  args: ExplainArgs,
  ports: ExplainPorts,
  output: Output,
): Promise<void> {
  const stored = await readConfiguration(ports.objectApi);
  if (args.org !== undefined) {
    const known = stored.organisations.map(({ value }) => value.id);
    checkName('organisation', args.org, known);
  }
  const query = { method: args.method.toUpperCase(), path: args.path, model: args.model };
  const [route] = rankRoutes(stored.routes.value, query);
  const lines = explainRoute(stored.routes.value, query);
  if (route !== undefined) {
    lines.push(...explainAccess(route, args.org, stored), ...explainPool(route, stored));
    lines.push(...(await explainCells(route.pool, ports.admins)));
  }
  const value = { revision: stored.revision, query, route: route?.id, pool: route?.pool, lines };
  printResult(output, value, lines);
}

/** Explains a past request from the routing decisions that the nodes have kept. */
export async function explainRequest(
  request: string,
  ports: Pick<CliPorts, 'admins'>,
  output: Output,
): Promise<void> {
  if (ports.admins.length === 0) {
    throw createError('invalid_request', 'no node is known; give --admin IP:port,...');
  }
  const responses = await Promise.all(
    ports.admins.map((admin) => admin.get(`/explain?request=${encodeURIComponent(request)}`)),
  );
  const decisionLines = responses.flatMap((response) =>
    response.isOk() ? ((response.value as { lines?: readonly string[] }).lines ?? []) : [],
  );
  if (decisionLines.length === 0) {
    throw createError(
      'not_found',
      `no node that responded has a record of request ${request}; search the logs for its id`,
    );
  }
  printResult(output, { request, lines: decisionLines }, decisionLines);
}
