/** Finds the route of a request. */
import type { RouteEntry } from '@hibiscusbank/settings';

export interface RouteQuery {
  readonly method: string;
  readonly path: string;
  readonly model: string | undefined;
}

function matchesPath(pattern: string, path: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern;
}

function matches(route: RouteEntry, query: RouteQuery): boolean {
  return (
    matchesPath(route.path, query.path) &&
    (route.methods.length === 0 || route.methods.includes(query.method)) &&
    (route.model === undefined || route.model === query.model)
  );
}

/** The longest path pattern wins; among equal ones a route that names the model or method wins. */
function specificity(route: RouteEntry): number {
  const exact = route.path.endsWith('*') ? 0 : 1;
  const named = (route.model === undefined ? 0 : 2) + (route.methods.length === 0 ? 0 : 1);
  return route.path.length * 8 + exact * 4 + named;
}

/** Returns the most specific route that matches. */
export function matchRoute(
  routes: readonly RouteEntry[],
  query: RouteQuery,
): RouteEntry | undefined {
  let best: RouteEntry | undefined;
  for (const route of routes) {
    if (!matches(route, query)) continue;
    if (best === undefined || specificity(route) > specificity(best)) best = route;
  }
  return best;
}
