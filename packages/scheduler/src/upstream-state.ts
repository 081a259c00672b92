/** State of one upstream on the owner of its cell. */
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
  /** Grants that were collected at a takeover; they may exceed the limits. */
  readonly collected: Set<GrantId>;
  usedSlots: number;
  usedBlocks: number;
  /** Time at which the link is free for the next KV transfer. */
  linkFreeAt: number;
  outOfService: boolean;
  /** Whether the slow-start level has been collected from the nodes or carried over. */
  slowStartCollected: boolean;
  readonly prefills: PrefillBacklog;
  readonly slowStart: SlowStart;
  readonly latency: LatencyMonitor;
  readonly backoff: FailureBackoff;
}

/** Which share of the slow-start limit of cold upstreams this VM may use. */
export interface ColdStartRights {
  readonly holdsLease: boolean;
  /** Whether this VM may use half the cold limit without the lease. */
  readonly hasColdShare: boolean;
}

/** Creates the state of an upstream. An upstream that is new to the owner counts as cold. */
export function createUpstreamState(entry: UpstreamEntry, now: number): UpstreamState {
  return {
    entry,
    active: new Set(),
    collected: new Set(),
    usedSlots: 0,
    usedBlocks: 0,
    linkFreeAt: 0,
    outOfService: false,
    slowStartCollected: false,
    prefills: createPrefillBacklog(),
    slowStart: createSlowStart(entry, now),
    latency: createLatencyMonitor(entry.capacity),
    backoff: createFailureBackoff(),
  };
}

/** Returns the limit of concurrent grants during slow start, or `undefined` for a warm upstream. */
export function slowStartLimit(state: UpstreamState, rights: ColdStartRights): number | undefined {
  if (!state.slowStart.isCold()) return undefined;
  if (rights.holdsLease) return state.slowStart.level();
  return rights.hasColdShare ? Math.floor(state.entry.coldLimit / 2) : 0;
}

/** Returns the limit of concurrent grants on a plain upstream, or of decode slots on an engine. */
export function slotLimit(state: UpstreamState, rights: ColdStartRights): number {
  const { entry } = state;
  const adaptiveLimit = entry.role === 'plain' ? state.latency.limit() : entry.capacity;
  return Math.min(adaptiveLimit, entry.capacity, slowStartLimit(state, rights) ?? entry.capacity);
}

/** Returns why slow start or failures prevent a further grant, or `undefined`. */
function findHealthReason(
  state: UpstreamState,
  rights: ColdStartRights,
  now: number,
  ignoreBackoff: boolean,
): string | undefined {
  const limit = slowStartLimit(state, rights);
  if (limit !== undefined && state.active.size >= limit) {
    return rights.holdsLease ? `slow start at ${limit}` : `cold without the lease, limit ${limit}`;
  }
  if (ignoreBackoff) return undefined;
  const health = state.backoff.state(now);
  if (health === 'ejected') return 'avoided after failures';
  if (health === 'probing' && state.active.size > 0) return 'probe in progress after failures';
  return undefined;
}

/**
 * Returns why the upstream cannot take a further grant of any request, or `undefined`. With
 * `ignoreBackoff`, the backoff after failures is ignored.
 */
export function findUnusableReason(
  state: UpstreamState,
  rights: ColdStartRights,
  now: number,
  ignoreBackoff = false,
): string | undefined {
  if (state.outOfService) return 'out of service';
  const { entry } = state;
  if (entry.role === 'plain' && state.active.size >= slotLimit(state, rights)) return 'full';
  return findHealthReason(state, rights, now, ignoreBackoff);
}

export const hasFreeSlot = (state: UpstreamState, rights: ColdStartRights): boolean =>
  state.usedSlots < slotLimit(state, rights);
