/**
 * Ranks upstreams by registered entries, work in progress on this and other nodes, and recent
 * failures. The functions make no network calls, so that tests can simulate load.
 */
import type { DataCentreId, UpstreamId } from '@hibiscusbank/core';
import type { KnownUpstream } from './directory.js';

/** State of one upstream that placement depends on. */
export interface CandidateState {
  readonly requests: number;
  readonly tokens: number;
  readonly failureRate: number;
  readonly isEjected: boolean;
  /**
   * Whether the rate limit for cold upstreams and the limit that the upstream states leave room for
   * another request.
   */
  readonly isWithinRateLimits: boolean;
  readonly isCold: boolean;
  /**
   * Whether the upstream is changing role, is not what its entry says, leaves or pauses; it gets no
   * requests then.
   */
  readonly isChanging: boolean;
}

export interface PlacementContext {
  readonly dataCentre: DataCentreId;
  readonly readState: (upstream: KnownUpstream) => CandidateState;
  /** Upstreams that must not get this request again. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /**
   * Returns a number from 0 to 1 that breaks ties, so that nodes with the same information do not
   * all choose the same upstream.
   */
  readonly random: () => number;
}

/** Requests in progress that a failure rate of 1 counts as. */
const FAILURE_PENALTY_REQUESTS = 12;
/**
 * Requests in progress by which a plain upstream in the local data centre is preferred. This is
 * half of an upstream's usual number of slots, so the preference alone makes no request wait. Local
 * requests also survive a partition between data centres.
 */
const LOCAL_PLAIN_BONUS_REQUESTS = 3;
/**
 * Load by which a prefill engine in the decode engine's data centre is preferred, in requests of
 * `PROMPT_TOKENS_PER_REQUEST` tokens. The KV cache then stays in the data centre, at the cost of
 * waiting for one more prompt of about 5,000 tokens.
 */
const LOCAL_PREFILL_BONUS_REQUESTS = 2;
/**
 * Fraction of an engine's memory by which a decode engine in the local data centre is preferred, so
 * that a partition between data centres interrupts few streams.
 */
const LOCAL_DECODE_BONUS_SHARE = 0.25;
/** Maximum random offset, in requests, that varies the order of equally loaded upstreams. */
const TIE_BREAK_REQUESTS = 0.2;
/** Requests in progress that are added for a cold upstream, since it responds slowly. */
const COLD_PENALTY_REQUESTS = 4;
/** Prompt tokens that count as one request when prefill engines are compared. */
const PROMPT_TOKENS_PER_REQUEST = 2_500;

/**
 * Fraction of an engine's memory up to which runs are placed. An engine grants a reservation
 * against the memory that is free at that moment, while its existing runs still grow. Without this
 * margin the engine preempts runs, whose prompts must then be prefilled again.
 */
const USABLE_MEMORY_SHARE = 0.97;

interface ScoredUpstream {
  readonly upstream: KnownUpstream;
  readonly score: number;
}

interface Ranking {
  readonly usable: KnownUpstream[];
  readonly ejected: KnownUpstream[];
}

function rankCandidates(
  candidates: readonly KnownUpstream[],
  context: PlacementContext,
  scoreLoad: (state: CandidateState) => number,
  preferred: { readonly dataCentre: DataCentreId; readonly bonus: number },
): Ranking {
  const scored: ScoredUpstream[] = [];
  const ejected: ScoredUpstream[] = [];
  for (const upstream of candidates) {
    if (context.excluded.has(upstream.id)) continue;
    const state = context.readState(upstream);
    if (!state.isWithinRateLimits || state.isChanging) continue;
    const score =
      scoreLoad(state) +
      state.failureRate * FAILURE_PENALTY_REQUESTS +
      (state.isCold ? COLD_PENALTY_REQUESTS : 0) -
      (upstream.dataCentre === preferred.dataCentre ? preferred.bonus : 0) +
      context.random() * TIE_BREAK_REQUESTS;
    (state.isEjected ? ejected : scored).push({ upstream, score });
  }
  scored.sort((a, b) => a.score - b.score);
  ejected.sort((a, b) => a.score - b.score);
  return {
    usable: scored.map(({ upstream }) => upstream),
    ejected: ejected.map(({ upstream }) => upstream),
  };
}

/** Ejected upstreams are a last resort: when all upstreams are ejected, one must still be tried. */
const withLastResort = ({ usable, ejected }: Ranking): KnownUpstream[] =>
  usable.length > 0 ? usable : ejected;

/**
 * Ranks plain upstreams by requests in progress. Designed for many callers and few slots per
 * upstream.
 */
export function rankPlain(
  candidates: readonly KnownUpstream[],
  context: PlacementContext,
): KnownUpstream[] {
  return withLastResort(
    rankCandidates(candidates, context, (state) => state.requests, {
      dataCentre: context.dataCentre,
      bonus: LOCAL_PLAIN_BONUS_REQUESTS,
    }),
  );
}

/**
 * Ranks prefill engines by prompt tokens in progress, preferring the data centre of the decode
 * engine. Omits ejected engines, since the decode engine can prefill the prompt itself: designed for
 * partitions in which every call to the prefill engines would end in a time-out.
 */
export function rankPrefill(
  candidates: readonly KnownUpstream[],
  context: PlacementContext,
  decode: DataCentreId,
): KnownUpstream[] {
  const prefill = candidates.filter(({ role }) => role === 'prefill');
  const scoreLoad = (state: CandidateState): number => state.tokens / PROMPT_TOKENS_PER_REQUEST;
  return rankCandidates(prefill, context, scoreLoad, {
    dataCentre: decode,
    bonus: LOCAL_PREFILL_BONUS_REQUESTS,
  }).usable;
}

/**
 * Ranks decode engines by memory in use. Omits engines on which, as far as the node knows, a
 * reservation of `tokens` does not fit. Designed for loads in which memory is short on all engines.
 */
export function rankDecode(
  candidates: readonly KnownUpstream[],
  context: PlacementContext,
  need: { readonly tokens: number; readonly memoryTokens: number; readonly slots: number },
): KnownUpstream[] {
  const fitting = candidates.filter((upstream) => {
    if (upstream.role !== 'decode') return false;
    const state = context.readState(upstream);
    return (
      state.tokens + need.tokens <= need.memoryTokens * USABLE_MEMORY_SHARE &&
      state.requests < need.slots
    );
  });
  const scoreLoad = (state: CandidateState): number =>
    (state.tokens / need.memoryTokens) * need.slots;
  return withLastResort(
    rankCandidates(fitting, context, scoreLoad, {
      dataCentre: context.dataCentre,
      bonus: LOCAL_DECODE_BONUS_SHARE * need.slots,
    }),
  );
}
