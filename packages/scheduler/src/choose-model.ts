/** Chooses the prefill and the decode engine of a model request. */
import type { PoolEntry } from '@hibiscusbank/settings';
import { applyExclusion, filterUsable } from './choose-plain.js';
import type { Obstacle } from './choose-plain.js';
import type { Estimates } from './estimates.js';
import { canDecode, canPrefill, memoryLimit } from './partition.js';
import { hasFreeSlot, slotLimit } from './upstream-state.js';
import type { ColdRights, UpstreamState } from './upstream-state.js';
import type { PlacementRequest } from './types.js';

/**
 * A prefill engine gets the next prefill when it is expected to be idle within this time. That hides
 * the round trip to the node, while waiting work stays in the fair queue.
 */
export const MAX_PREFILL_BACKLOG_MS = 40;
/** Prefilled KV is kept for under a second, so a transfer must get its turn well within that. */
const MAX_LINK_WAIT_MS = 400;

export interface ModelChoice {
  readonly prefill: UpstreamState;
  readonly decode: UpstreamState;
  readonly blocks: number;
  /** Expected time until the prefill has ended, backlog included. */
  readonly prefillEndMs: number;
  readonly prefillMs: number;
  readonly transferMs: number;
}

export interface ModelContext {
  readonly pool: PoolEntry;
  readonly states: readonly UpstreamState[];
  readonly estimates: Estimates;
  readonly rights: ColdRights;
  readonly now: number;
  /** A decode engine whose memory is kept for a request that needs much. */
  readonly keptFree: UpstreamState | undefined;
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
 * Returns the engine with the lowest backlog less the time that its cached prefix saves. An engine
 * over the backlog limit qualifies only as far as its saving makes up for the wait.
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

/** The engine that will first have the memory for a request: the one with the most free blocks. */
export function findRoomiest(
  states: readonly UpstreamState[],
  blocks: number,
): UpstreamState | undefined {
  let best: UpstreamState | undefined;
  let bestFree = -Infinity;
  for (const state of states) {
    const limit = memoryLimit(state.entry);
    const free = limit - state.blocks;
    if (state.out || !canDecode(state.entry) || limit < blocks || free <= bestFree) continue;
    best = state;
    bestFree = free;
  }
  return best;
}

function rankDecode(state: UpstreamState, prefillEnd: number, rights: ColdRights): number {
  const linkWaitMs = Math.max(0, state.linkFreeAt - prefillEnd);
  const free = slotLimit(state, rights) - state.slots;
  // Milliseconds of link wait come first; the free slots decide among links that are free.
  return linkWaitMs * 1_000 - free;
}

/** Returns the pair of engines with a free slot, memory and a link turn, or what is missing. */
export function chooseModel(context: ModelContext, req: PlacementRequest): ModelChoice | Obstacle {
  const { pool, states, rights, now } = context;
  const all = applyExclusion(
    states.filter((state) => canDecode(state.entry) && state !== context.keptFree),
    req.exclude,
  );
  const open = filterUsable(all, rights, now).filter((state) => hasFreeSlot(state, rights));
  if (open.length === 0) return req.exclude.length > 0 ? 'excluded' : 'busy';
  const blocks = countBlocks(pool, req);
  const fitting = open.filter((state) => state.blocks + blocks <= memoryLimit(state.entry));
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
