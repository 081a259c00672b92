/** Speeds of a cell, as averages of the reports of finished requests. */
import type { PoolEntry } from '@hibiscusbank/settings';
import type { PlacementRequest, ReleaseReport } from './types.js';

const WEIGHT = 0.1;
/** Short prefills measure the fixed cost of a step rather than its speed. */
const MIN_PREFILL_TOKENS = 64;

export interface Estimates {
  prefillMs(uncachedTokens: number): number;
  decodeMs(tokens: number): number;
  /** Tokens that an answer is expected to have. */
  outputTokens(req: PlacementRequest): number;
  /** Mean time from grant to release. */
  holdMs(): number;
  /** Cost in output-token equivalents, the currency of the fair queue. */
  cost(req: PlacementRequest, uncachedTokens: number): number;
  recordPrefill(report: ReleaseReport): void;
  recordRelease(report: ReleaseReport, expectedTokens: number, heldMs: number): void;
}

/** Creates the estimates, starting from the settings of the pool. */
export function createEstimates(pool: PoolEntry): Estimates {
  let prefillMsPerToken = 1 / Math.max(pool.prefillTokensPerMs, 1e-6);
  let { decodeMsPerToken } = pool;
  let outputShare = 1;
  let holdMs: number | undefined;
  const average = (old: number, sample: number): number => old + WEIGHT * (sample - old);
  const outputTokens = (req: PlacementRequest): number =>
    Math.max(1, req.expectedTokens * outputShare);

  return {
    prefillMs: (tokens) => tokens * prefillMsPerToken,
    decodeMs: (tokens) => tokens * decodeMsPerToken,
    outputTokens,
    holdMs: () => holdMs ?? 0,
    cost: (req, uncachedTokens) =>
      pool.kind === 'plain'
        ? Math.max(1, req.expectedTokens)
        : (uncachedTokens * prefillMsPerToken) / Math.max(decodeMsPerToken, 1e-6) +
          outputTokens(req),
    recordPrefill: ({ prefillMs, prefilledTokens, cachedTokens = 0 }) => {
      const tokens = (prefilledTokens ?? 0) - cachedTokens;
      if (prefillMs === undefined || tokens < MIN_PREFILL_TOKENS) return;
      prefillMsPerToken = average(prefillMsPerToken, prefillMs / tokens);
    },
    recordRelease: ({ outcome, decodeMs, decodedTokens = 0 }, expectedTokens, heldMs) => {
      if (outcome !== 'completed') return;
      holdMs = holdMs === undefined ? heldMs : average(holdMs, heldMs);
      if (decodeMs === undefined || decodedTokens === 0) return;
      decodeMsPerToken = average(decodeMsPerToken, decodeMs / decodedTokens);
      if (expectedTokens > 0) {
        outputShare = average(outputShare, Math.min(1, decodedTokens / expectedTokens));
      }
    },
  };
}
