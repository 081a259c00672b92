/**
 * Chooses upstreams from what the node knows: registered entries, work under way here and on other
 * nodes, and recent failures. The choices are made without a network, so that tests can play loads.
 */
import type { DataCentreId, UpstreamId } from '@hibiscusbank/core';
import type { KnownUpstream } from './directory.js';

/** What a choice needs to know of one upstream. */
export interface CandidateState {
  readonly requests: number;
  readonly tokens: number;
  readonly failureRate: number;
  readonly isEjected: boolean;
  /** Cold upstreams take work only while their limit leaves room. */
  readonly hasRoom: boolean;
  readonly isCold: boolean;
  /** An engine that changes its role takes no work of the old one. */
  readonly isChanging: boolean;
}

export interface ChoiceContext {
  readonly dataCentre: DataCentreId;
  readonly read: (upstream: KnownUpstream) => CandidateState;
  /** Upstreams that this request is not to be sent to again. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** Breaks ties, 0 to 1; nodes that know the same must not all choose the same. */
  readonly random: () => number;
}

/** A failing upstream counts as this many requests under way at a failure rate of 1. */
const FAILURE_PENALTY = 12;
/**
 * Requests by which a plain upstream in the node's data centre is preferred. Half of a usual number
 * of slots: within it nobody waits, and a partition between data centres cuts no request.
 */
const LOCAL_PLAIN = 3;
/**
 * Prompts by which a prefill engine beside the decode engine is preferred: the KV cache then stays
 * in the data centre, at the price of waiting for one more prompt.
 */
const LOCAL_PREFILL = 2;
/**
 * Part of an engine's memory by which a decode engine in the node's data centre is preferred, so
 * that a partition between data centres cuts few streams.
 */
const LOCAL_DECODE_SHARE = 0.25;
/** Part of a request by which equal upstreams are shuffled. */
const TIE_BREAK = 0.2;
/** Cold upstreams are slow; they count as having this many more requests. */
const COLD_PENALTY = 4;
/** Prompt tokens that count like one request when prefill engines are compared. */
const TOKENS_PER_REQUEST = 2_500;

/**
 * Part of an engine's memory up to which runs are placed. An engine grants a reservation by the memory
 * that is free at the moment, while the runs it has still grow; without this margin it preempts them,
 * and their prompts are read again.
 */
const USABLE_MEMORY_SHARE = 0.97;

interface Scored {
  readonly upstream: KnownUpstream;
  readonly score: number;
}

function rank(
  candidates: readonly KnownUpstream[],
  context: ChoiceContext,
  scoreLoad: (state: CandidateState) => number,
  preferred: { readonly dataCentre: DataCentreId; readonly bonus: number },
): KnownUpstream[] {
  const scored: Scored[] = [];
  const ejected: Scored[] = [];
  for (const upstream of candidates) {
    if (context.excluded.has(upstream.id)) continue;
    const state = context.read(upstream);
    if (!state.hasRoom || state.isChanging) continue;
    const score =
      scoreLoad(state) +
      state.failureRate * FAILURE_PENALTY +
      (state.isCold ? COLD_PENALTY : 0) -
      (upstream.dataCentre === preferred.dataCentre ? preferred.bonus : 0) +
      context.random() * TIE_BREAK;
    (state.isEjected ? ejected : scored).push({ upstream, score });
  }
  scored.sort((a, b) => a.score - b.score);
  ejected.sort((a, b) => a.score - b.score);
  // Upstreams that failed a moment ago are a last resort: with all of them failing, one must be tried.
  const usable = scored.length > 0 ? scored : ejected;
  return usable.map(({ upstream }) => upstream);
}

/** Orders plain upstreams by work under way. Load: many callers and few slots. */
export function rankPlain(
  candidates: readonly KnownUpstream[],
  context: ChoiceContext,
): KnownUpstream[] {
  return rank(candidates, context, (state) => state.requests, {
    dataCentre: context.dataCentre,
    bonus: LOCAL_PLAIN,
  });
}

/** Orders prefill engines by prompt tokens under way, preferring the data centre of the decode engine. */
export function rankPrefill(
  candidates: readonly KnownUpstream[],
  context: ChoiceContext,
  decode: DataCentreId,
): KnownUpstream[] {
  const prefill = candidates.filter(({ role }) => role === 'prefill');
  return rank(prefill, context, (state) => state.tokens / TOKENS_PER_REQUEST, {
    dataCentre: decode,
    bonus: LOCAL_PREFILL,
  });
}

/**
 * Orders decode engines by memory under way. An engine is left out when the node knows that a
 * reservation of `tokens` does not fit. Load: memory short on all engines.
 */
export function rankDecode(
  candidates: readonly KnownUpstream[],
  context: ChoiceContext,
  need: { readonly tokens: number; readonly memoryTokens: number; readonly slots: number },
): KnownUpstream[] {
  const fitting = candidates.filter((upstream) => {
    if (upstream.role !== 'decode') return false;
    const state = context.read(upstream);
    return (
      state.tokens + need.tokens <= need.memoryTokens * USABLE_MEMORY_SHARE &&
      state.requests < need.slots
    );
  });
  return rank(fitting, context, (state) => (state.tokens / need.memoryTokens) * need.slots, {
    dataCentre: context.dataCentre,
    bonus: LOCAL_DECODE_SHARE * need.slots,
  });
}
