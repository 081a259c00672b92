/** Finds the routes that match a request. */
import type { RouteEntry } from './types.js';

export interface RouteQuery {
  readonly method: string;
  readonly path: string;
  readonly model: string | undefined;
}

/** Returns the reason why a route does not match a request, or `undefined` when it matches. */
export function findMismatch(route: RouteEntry, query: RouteQuery): string | undefined {
  const isPrefix = route.path.endsWith('*');
  const matchesPath = isPrefix
    ? query.path.startsWith(route.path.slice(0, -1))
    : query.path === route.path;
  if (!matchesPath) return `path ${query.path} does not match ${route.path}`;
  if (route.methods.length > 0 && !route.methods.includes(query.method)) {
    return `method ${query.method} is not one of ${route.methods.join(', ')}`;
  }
  if (route.model !== undefined && route.model !== query.model) {
    return `model ${query.model ?? '(none)'} is not ${route.model}`;
  }
  return undefined;
}

/**
 * Returns a number that is higher for more specific routes. The longest path ranks first, and its
 * `*` counts as a character. Among equal lengths, a path without `*` precedes a prefix, then a
 * route with a model precedes one without, then a route with methods precedes one without.
 */
function measureSpecificity(route: RouteEntry): number {
  const exactScore = route.path.endsWith('*') ? 0 : 1;
  const criteriaScore = (route.model === undefined ? 0 : 2) + (route.methods.length === 0 ? 0 : 1);
  return route.path.length * 8 + exactScore * 4 + criteriaScore;
}

/** Returns the routes that match, most specific first. The first one serves the request. */
export function rankRoutes(routes: readonly RouteEntry[], query: RouteQuery): RouteEntry[] {
  return routes
    .filter((route) => findMismatch(route, query) === undefined)
    .sort((a, b) => measureSpecificity(b) - measureSpecificity(a));
}
