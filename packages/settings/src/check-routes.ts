/** Checks of the routes table that involve several routes or the pools. */
import { findNearest } from './nearest-name.js';
import type { ReadEntry } from './pools-table.js';
import { reportKey } from './read-section.js';
import type { FaultReport } from './read-section.js';
import type { PoolEntry, RouteEntry } from './types.js';

/**
 * Whether some request matches both routes and neither is more specific. A route that names methods
 * precedes one that does not, so only routes of the same form can collide.
 */
function matchSame(a: RouteEntry, b: RouteEntry): boolean {
  if (a.path !== b.path || a.model !== b.model) return false;
  if (a.methods.length === 0 || b.methods.length === 0) {
    return a.methods.length === b.methods.length;
  }
  return a.methods.some((method) => b.methods.includes(method));
}

/** Reports routes between which the router could not choose. */
export function checkSameMatches(
  report: FaultReport,
  routes: readonly ReadEntry<RouteEntry>[],
): void {
  routes.forEach(({ entry, named }, index) => {
    const other = routes.slice(0, index).find((earlier) => matchSame(earlier.entry, entry));
    if (other === undefined) return;
    const allowed = `route ${other.entry.id} matches the same requests; change path, methods or model`;
    reportKey(report, named.section, 'path', allowed);
  });
}

/** Reports routes whose pool is unknown or serves another model. */
export function checkPools(
  report: FaultReport,
  routes: readonly ReadEntry<RouteEntry>[],
  pools: readonly PoolEntry[],
): void {
  const names = pools.map(({ id }) => id);
  for (const { entry, named } of routes) {
    const pool = pools.find(({ id }) => id === entry.pool);
    if (pool === undefined) {
      const nearest = findNearest(entry.pool, names);
      const hint = nearest === undefined ? 'apply the pools first' : `the nearest is "${nearest}"`;
      reportKey(report, named.section, 'pool', `there is no pool ${entry.pool}; ${hint}`);
    } else if (pool.kind === 'plain' && entry.model !== undefined) {
      reportKey(report, named.section, 'model', `pool ${pool.id} is plain; remove the model`);
    } else if (entry.model !== undefined && entry.model !== pool.model) {
      const allowed = `pool ${pool.id} serves ${pool.model ?? 'no model'}; name that or remove it`;
      reportKey(report, named.section, 'model', allowed);
    }
  }
}
