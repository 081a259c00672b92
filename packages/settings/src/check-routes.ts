/** Checks of the routes table that compare routes with each other or with the pools. */
import { findNearest } from './nearest-name.js';
import type { ParsedEntry } from './pools-table.js';
import { reportKeyFault } from './read-section.js';
import type { FaultReport } from './read-section.js';
import type { PoolEntry, RouteEntry } from './types.js';

/**
 * Returns whether a request can match both routes with equal specificity. A route with methods is
 * more specific than one without, so two routes conflict only if both or neither have methods.
 */
function matchSameRequests(a: RouteEntry, b: RouteEntry): boolean {
  if (a.path !== b.path || a.model !== b.model) return false;
  if (a.methods.length === 0 || b.methods.length === 0) {
    return a.methods.length === b.methods.length;
  }
  return a.methods.some((method) => b.methods.includes(method));
}

/** Reports routes that match the same requests with equal specificity. */
export function checkAmbiguousRoutes(
  report: FaultReport,
  routes: readonly ParsedEntry<RouteEntry>[],
): void {
  routes.forEach(({ entry, source }, index) => {
    const other = routes.slice(0, index).find((earlier) => matchSameRequests(earlier.entry, entry));
    if (other === undefined) return;
    const allowed = `route ${other.entry.id} matches the same requests; change path, methods or model`;
    reportKeyFault(report, source.section, 'path', allowed);
  });
}

/** Reports routes whose pool is unknown or does not serve the model of the route. */
export function checkRoutePools(
  report: FaultReport,
  routes: readonly ParsedEntry<RouteEntry>[],
  pools: readonly PoolEntry[],
): void {
  const poolNames = pools.map(({ id }) => id);
  for (const { entry, source } of routes) {
    const pool = pools.find(({ id }) => id === entry.pool);
    if (pool === undefined) {
      const nearest = findNearest(entry.pool, poolNames);
      const hint = nearest === undefined ? 'apply the pools first' : `the nearest is "${nearest}"`;
      reportKeyFault(report, source.section, 'pool', `there is no pool ${entry.pool}; ${hint}`);
    } else if (pool.kind === 'plain' && entry.model !== undefined) {
      reportKeyFault(report, source.section, 'model', `pool ${pool.id} is plain; remove the model`);
    } else if (entry.model !== undefined && entry.model !== pool.model) {
      const allowed = `pool ${pool.id} serves ${pool.model ?? 'no model'}; name that or remove it`;
      reportKeyFault(report, source.section, 'model', allowed);
    }
  }
}
