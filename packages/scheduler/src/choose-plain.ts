/** Chooses the server of a plain request. */
import type { UpstreamId } from '@hibiscusbank/core';
import { findObstacle, slotLimit } from './upstream-state.js';
import type { ColdRights, UpstreamState } from './upstream-state.js';

/**
 * `memory`, `excluded`: this request lacks memory or waits for upstreams that have not failed it;
 * another one may be placed. `busy`: none can.
 */
export type Obstacle = 'memory' | 'excluded' | 'busy';

/**
 * Whether at least half of the upstreams fail. Then the reason is probably not in the upstreams, and
 * avoiding them would only take away the rest of the capacity.
 */
export function isCommonFailure(states: readonly UpstreamState[], now: number): boolean {
  const inService = states.filter((state) => !state.out);
  const failing = inService.filter((state) => state.backoff.state(now) !== 'healthy');
  return failing.length * 2 >= inService.length && failing.length > 0;
}

/** Leaves out the upstreams that failed this request, unless nothing else is in service. */
export function applyExclusion(
  states: readonly UpstreamState[],
  exclude: readonly UpstreamId[],
): readonly UpstreamState[] {
  if (exclude.length === 0) return states;
  const rest = states.filter((state) => !exclude.includes(state.entry.id));
  return rest.some((state) => !state.out) ? rest : states;
}

/** Upstreams that can take a grant; failing ones only when they fail together. */
export function filterUsable(
  states: readonly UpstreamState[],
  rights: ColdRights,
  now: number,
): readonly UpstreamState[] {
  const usable = states.filter((state) => findObstacle(state, rights, now) === undefined);
  if (usable.length > 0 || !isCommonFailure(states, now)) return usable;
  return states.filter((state) => findObstacle(state, rights, now, true) === undefined);
}

/** Returns the server with the lowest load, and a due probe first. */
export function choosePlain(
  states: readonly UpstreamState[],
  exclude: readonly UpstreamId[],
  rights: ColdRights,
  now: number,
): UpstreamState | Obstacle {
  const usable = filterUsable(applyExclusion(states, exclude), rights, now);
  const probe = usable.find((state) => state.backoff.state(now) === 'probing');
  if (probe !== undefined && probe.active.size === 0) return probe;
  let best: UpstreamState | undefined;
  let bestLoad = Infinity;
  for (const state of usable) {
    const load = state.active.size / slotLimit(state, rights);
    if (load < bestLoad) {
      best = state;
      bestLoad = load;
    }
  }
  return best ?? (exclude.length > 0 ? 'excluded' : 'busy');
}
