/** What the owner of a cell knows about one upstream. */
import type { GrantId } from '@hibiscusbank/core';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { createFailureBackoff } from './failure-backoff.js';
import type { FailureBackoff } from './failure-backoff.js';
import { createLatencyMonitor } from './latency-monitor.js';
import type { LatencyMonitor } from './latency-monitor.js';
import { createPrefillBacklog } from './prefill-backlog.js';
import type { PrefillBacklog } from './prefill-backlog.js';
import { createSlowStart } from './slow-start.js';
import type { SlowStart } from './slow-start.js';

export interface UpstreamState {
  readonly entry: UpstreamEntry;
  /** Grants that use the upstream now, in either role. */
  readonly active: Set<GrantId>;
  /** Grants that were collected on takeover; they may exceed the limits. */
  readonly collected: Set<GrantId>;
  slots: number;
  blocks: number;
  /** Time at which the link is free for the next KV transfer. */
  linkFreeAt: number;
  out: boolean;
  /** Whether the nodes have been asked for the slow-start level. */
  collectedWarmth: boolean;
  readonly prefills: PrefillBacklog;
  readonly slowStart: SlowStart;
  readonly latency: LatencyMonitor;
  readonly backoff: FailureBackoff;
}

/** The lease as far as slow start depends on it. */
export interface ColdRights {
  readonly holdsLease: boolean;
  readonly hasColdShare: boolean;
}

/** Creates the state of an upstream that is new to the owner, hence cold. */
export function createUpstreamState(entry: UpstreamEntry, now: number): UpstreamState {
  return {
    entry,
    active: new Set(),
    collected: new Set(),
    slots: 0,
    blocks: 0,
    linkFreeAt: 0,
    out: false,
    collectedWarmth: false,
    prefills: createPrefillBacklog(),
    slowStart: createSlowStart(entry, now),
    latency: createLatencyMonitor(entry.capacity),
    backoff: createFailureBackoff(),
  };
}

/** Grants at a time that slow start allows; `undefined` for a warm upstream. */
export function coldBound(state: UpstreamState, rights: ColdRights): number | undefined {
  if (!state.slowStart.isCold()) return undefined;
  if (rights.holdsLease) return state.slowStart.level();
  return rights.hasColdShare ? Math.floor(state.entry.coldLimit / 2) : 0;
}

/** Grants at a time on a plain upstream, decode slots of an engine. */
export function slotLimit(state: UpstreamState, rights: ColdRights): number {
  const { entry } = state;
  const own = entry.role === 'plain' ? state.latency.limit() : entry.capacity;
  return Math.min(own, entry.capacity, coldBound(state, rights) ?? entry.capacity);
}

/** Why slow start or failures forbid one more grant now, or `undefined`. */
function findHealthObstacle(
  state: UpstreamState,
  rights: ColdRights,
  now: number,
  failing: boolean,
): string | undefined {
  const bound = coldBound(state, rights);
  if (bound !== undefined && state.active.size >= bound) {
    return rights.holdsLease ? `slow start at ${bound}` : `cold without the lease, limit ${bound}`;
  }
  if (failing) return undefined;
  const health = state.backoff.state(now);
  if (health === 'ejected') return 'avoided after failures';
  if (health === 'probing' && state.active.size > 0) return 'probe in progress after failures';
  return undefined;
}

/**
 * Why the upstream takes no further grant, whatever the request, or `undefined`. With `failing`
 * the backoff after failures is ignored.
 */
export function findObstacle(
  state: UpstreamState,
  rights: ColdRights,
  now: number,
  failing = false,
): string | undefined {
  if (state.out) return 'out of service';
  const { entry } = state;
  if (entry.role === 'plain' && state.active.size >= slotLimit(state, rights)) return 'full';
  return findHealthObstacle(state, rights, now, failing);
}

export const hasFreeSlot = (state: UpstreamState, rights: ColdRights): boolean =>
  state.slots < slotLimit(state, rights);
