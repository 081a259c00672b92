/** Chooses the prefill engine and the decode engine of a model request. */
import type { PoolEntry } from '@hibiscusbank/settings';
import { applyExclusion, filterUsable } from './choose-plain.js';
import type { PlacementFailure } from './choose-plain.js';
import type { Estimates } from './estimates.js';
import { canDecode, canPrefill, memoryLimit } from './partition.js';
import { hasFreeSlot, slotLimit } from './upstream-state.js';
import type { ColdStartRights, UpstreamState } from './upstream-state.js';
import type { PlacementRequest } from './types.js';

/**
 * An engine gets its next prefill when its backlog ends within this time, which covers the round
 * trip to the node. A larger backlog would take requests out of the fair queue too early.
 */
export const MAX_PREFILL_BACKLOG_MS = 40;
/** A prefilled KV cache is kept for less than 1 s, so its transfer must start well within that. */
const MAX_LINK_WAIT_MS = 400;

export interface ModelChoice {
  readonly prefill: UpstreamState;
  readonly decode: UpstreamState;
  readonly blocks: number;
  /** Expected time until the end of the prefill, including the backlog. */
  readonly prefillEndMs: number;
  readonly prefillMs: number;
  readonly transferMs: number;
}

export interface ModelContext {
  readonly pool: PoolEntry;
  readonly states: readonly UpstreamState[];
  readonly estimates: Estimates;
  readonly rights: ColdStartRights;
  readonly now: number;
  /** Decode engine whose free memory is reserved for a large waiting request. */
  readonly reservedEngine: UpstreamState | undefined;
  readonly findCachedTokens: (state: UpstreamState, req: PlacementRequest) => number;
}

interface PrefillChoice {
  readonly state: UpstreamState;
  readonly backlogMs: number;
  readonly prefillMs: number;
}

export function countBlocks(pool: PoolEntry, req: PlacementRequest): number {
  return Math.ceil((req.promptTokens + req.maxTokens) / Math.max(1, pool.blockTokens));
}

/**
 * Returns the engine with the lowest backlog minus the time that its cached prefix saves. An engine
 * over the backlog limit qualifies only if the saving covers the excess.
 */
function choosePrefill(context: ModelContext, req: PlacementRequest): PrefillChoice | undefined {
  const { states, rights, now, estimates } = context;
  const all = applyExclusion(
    states.filter((state) => canPrefill(state.entry)),
    req.exclude,
  );
  let best: PrefillChoice | undefined;
  let bestScore = Infinity;
  for (const state of filterUsable(all, rights, now)) {
    const cached = Math.min(req.promptTokens, context.findCachedTokens(state, req));
    const savingMs = estimates.prefillMs(cached);
    const backlogMs = state.prefills.remainingMs(now);
    const score = backlogMs - savingMs;
    if (backlogMs > MAX_PREFILL_BACKLOG_MS + savingMs || score >= bestScore) continue;
    const prefillMs = estimates.prefillMs(req.promptTokens - cached);
    best = { state, backlogMs, prefillMs };
    bestScore = score;
  }
  return best;
}

/**
 * Returns the decode engine with the most free blocks among those whose memory can hold `blocks`.
 * That engine is expected to be the first with enough free memory.
 */
export function findMostFreeMemory(
  states: readonly UpstreamState[],
  blocks: number,
): UpstreamState | undefined {
  let best: UpstreamState | undefined;
  let bestFree = -Infinity;
  for (const state of states) {
    const limit = memoryLimit(state.entry);
    const free = limit - state.usedBlocks;
    if (state.outOfService || !canDecode(state.entry) || limit < blocks || free <= bestFree)
      continue;
    best = state;
    bestFree = free;
  }
  return best;
}

function rankDecode(state: UpstreamState, prefillEnd: number, rights: ColdStartRights): number {
  const linkWaitMs = Math.max(0, state.linkFreeAt - prefillEnd);
  const free = slotLimit(state, rights) - state.usedSlots;
  // A shorter link wait ranks first; equal waits are ranked by free slots.
  return linkWaitMs * 1_000 - free;
}

/**
 * Returns a prefill engine and a decode engine with a free slot, free memory and a link that is
 * free in time, or the reason why there is none.
 */
export function chooseModel(
  context: ModelContext,
  req: PlacementRequest,
): ModelChoice | PlacementFailure {
  const { pool, states, rights, now } = context;
  const all = applyExclusion(
    states.filter((state) => canDecode(state.entry) && state !== context.reservedEngine),
    req.exclude,
  );
  const withFreeSlot = filterUsable(all, rights, now).filter((state) => hasFreeSlot(state, rights));
  if (withFreeSlot.length === 0) return req.exclude.length > 0 ? 'excluded' : 'busy';
  const blocks = countBlocks(pool, req);
  const fitting = withFreeSlot.filter(
    (state) => state.usedBlocks + blocks <= memoryLimit(state.entry),
  );
  if (fitting.length === 0) return 'memory';
  const prefill = choosePrefill(context, req);
  if (prefill === undefined) return req.exclude.length > 0 ? 'excluded' : 'busy';
  const prefillEndMs = prefill.backlogMs + prefill.prefillMs;
  const prefillEnd = now + prefillEndMs;
  let decode: UpstreamState | undefined;
  for (const state of fitting) {
    if (state.linkFreeAt - prefillEnd > MAX_LINK_WAIT_MS) continue;
    const better =
      decode === undefined ||
      rankDecode(state, prefillEnd, rights) < rankDecode(decode, prefillEnd, rights);
    if (better) decode = state;
  }
  if (decode === undefined) return 'busy';
  const bytes = req.promptTokens * pool.kvBytesPerToken;
  return {
    prefill: prefill.state,
    decode,
    blocks,
    prefillEndMs,
    prefillMs: prefill.prefillMs,
    transferMs: decode.entry.linkBytesPerMs > 0 ? bytes / decode.entry.linkBytesPerMs : 0,
  };
}
