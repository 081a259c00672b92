/** Estimates how long a new request would wait in a cell. */
import type { Estimates } from './estimates.js';
import type { FairQueue, Queueable } from './fair-queue.js';
import { canDecode, canPrefill } from './partition.js';
import type { CellPlan } from './partition.js';
import type { PlacementRequest } from './types.js';
import { slotLimit } from './upstream-state.js';
import type { ColdStartRights, UpstreamState } from './upstream-state.js';
import { MAX_PREFILL_BACKLOG_MS } from './choose-model.js';

export interface EstimatedRequest extends Queueable {
  readonly prefillMs: number;
  /** Expected time from grant to release; used until releases have been reported. */
  readonly holdMs: number;
}

export interface SlotCounts {
  readonly free: number;
  readonly slots: number;
}

/** Counts the slots of decode engines and plain upstreams in service. */
export function countSlots(states: readonly UpstreamState[], rights: ColdStartRights): SlotCounts {
  let free = 0;
  let slots = 0;
  for (const state of states) {
    const hasRequestSlots = state.entry.role === 'plain' || canDecode(state.entry);
    if (state.outOfService || !hasRequestSlots) continue;
    const limit = slotLimit(state, rights);
    slots += limit;
    free += Math.max(0, limit - state.usedSlots);
  }
  return { free, slots };
}

function prefillWaitMs(
  states: readonly UpstreamState[],
  aheadMs: number,
  now: number,
): number | undefined {
  const engines = states.filter((state) => !state.outOfService && canPrefill(state.entry));
  if (engines.length === 0) return undefined;
  const backlogMs = engines.reduce((sum, state) => sum + state.prefills.remainingMs(now), 0);
  // Work within the backlog limit is granted at once, so it adds no wait.
  return Math.max(0, (backlogMs + aheadMs) / engines.length - MAX_PREFILL_BACKLOG_MS);
}

/** Decode steps from the end of the transfer to the first token: the one that is running and the next. */
const FIRST_TOKEN_STEPS = 2;

/** Estimates the time from the grant to the first token, or to the response of a plain upstream. */
export function estimateFirstTokenMs(
  { pool, upstreams }: CellPlan,
  req: PlacementRequest,
  estimates: Estimates,
): number {
  if (pool.kind === 'plain') return estimates.holdMs();
  const rates = upstreams.filter(canDecode).map((entry) => entry.linkBytesPerMs);
  const slowest = Math.min(...rates.filter((rate) => rate > 0));
  const transferMs = (req.promptTokens * pool.kvBytesPerToken) / slowest;
  const prefillMs = MAX_PREFILL_BACKLOG_MS + estimates.prefillMs(req.promptTokens);
  return prefillMs + transferMs + estimates.decodeMs(FIRST_TOKEN_STEPS);
}

/**
 * Estimates the time until the grant of a request from the work that the fair queue would serve
 * before it. Returns `Infinity` when no upstream that could serve the request is in service.
 */
export function estimateWaitMs(
  queue: FairQueue<Queueable & EstimatedRequest>,
  request: EstimatedRequest,
  states: readonly UpstreamState[],
  estimates: Estimates,
  rights: ColdStartRights,
  now: number,
): number {
  let aheadCount = 0;
  let aheadMs = 0;
  queue.visitAhead(request, now, (entry) => {
    aheadCount += 1;
    aheadMs += entry.prefillMs;
  });
  const { free, slots } = countSlots(states, rights);
  if (slots === 0) return Infinity;
  const holdMs = estimates.holdMs() || request.holdMs;
  const slotWaitMs = (Math.max(0, aheadCount + 1 - free) * holdMs) / slots;
  const isModel = states.some((state) => state.entry.role !== 'plain');
  const prefillMs = isModel ? prefillWaitMs(states, aheadMs, now) : 0;
  return prefillMs === undefined ? Infinity : Math.max(slotWaitMs, prefillMs);
}
