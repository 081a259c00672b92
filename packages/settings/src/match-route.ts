/** Finds the route of a request and says why. */
import type { RouteEntry } from './types.js';

export interface RouteQuery {
  readonly method: string;
  readonly path: string;
  readonly model: string | undefined;
}

/** Why a route does not match a request, or `undefined` when it does. */
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

/** The longest path wins; then an exact one, then one with a model, then one with methods. */
function measureSpecificity(route: RouteEntry): number {
  const exact = route.path.endsWith('*') ? 0 : 1;
  const named = (route.model === undefined ? 0 : 2) + (route.methods.length === 0 ? 0 : 1);
  return route.path.length * 8 + exact * 4 + named;
}

/** Routes that match, the most specific first; the first one serves the request. */
export function rankRoutes(routes: readonly RouteEntry[], query: RouteQuery): RouteEntry[] {
  return routes
    .filter((route) => findMismatch(route, query) === undefined)
    .sort((a, b) => measureSpecificity(b) - measureSpecificity(a));
}
