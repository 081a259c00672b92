/** Chooses the server of a plain request. */
import type { UpstreamId } from '@hibiscusbank/core';
import { findUnusableReason, slotLimit } from './upstream-state.js';
import type { ColdStartRights, UpstreamState } from './upstream-state.js';

/**
 * Why a request cannot be placed now. `memory`: no engine with a free slot has enough free memory.
 * `excluded`: the upstreams that have not failed this request are occupied. In both cases, another
 * request may be placed. `busy`: no request can be placed.
 */
export type PlacementFailure = 'memory' | 'excluded' | 'busy';

/**
 * Returns whether at least half of the upstreams in service are failing. The cause is then probably
 * not in the upstreams, and avoiding them would only remove the remaining capacity.
 */
export function isCommonFailure(states: readonly UpstreamState[], now: number): boolean {
  const inService = states.filter((state) => !state.outOfService);
  const failing = inService.filter((state) => state.backoff.state(now) !== 'healthy');
  return failing.length * 2 >= inService.length && failing.length > 0;
}

/** Removes the upstreams that failed this request, unless no other upstream is in service. */
export function applyExclusion(
  states: readonly UpstreamState[],
  exclude: readonly UpstreamId[],
): readonly UpstreamState[] {
  if (exclude.length === 0) return states;
  const remaining = states.filter((state) => !exclude.includes(state.entry.id));
  return remaining.some((state) => !state.outOfService) ? remaining : states;
}

/**
 * Returns the upstreams that can take a grant. If there are none during a common failure, returns
 * those that only the backoff after failures excludes.
 */
export function filterUsable(
  states: readonly UpstreamState[],
  rights: ColdStartRights,
  now: number,
): readonly UpstreamState[] {
  const usable = states.filter((state) => findUnusableReason(state, rights, now) === undefined);
  if (usable.length > 0 || !isCommonFailure(states, now)) return usable;
  return states.filter((state) => findUnusableReason(state, rights, now, true) === undefined);
}

/** Returns the server that is due for a probe, otherwise the one with the lowest load. */
export function choosePlain(
  states: readonly UpstreamState[],
  exclude: readonly UpstreamId[],
  rights: ColdStartRights,
  now: number,
): UpstreamState | PlacementFailure {
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
