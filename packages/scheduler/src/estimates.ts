/** Estimates prefill, decode and hold times of a cell as moving averages of release reports. */
import type { PoolEntry } from '@hibiscusbank/settings';
import type { PlacementRequest, ReleaseReport } from './types.js';

const AVERAGE_WEIGHT = 0.1;
/** Shorter prefills are ignored, because the fixed cost of a step dominates their duration. */
const MIN_PREFILL_TOKENS = 64;

export interface Estimates {
  prefillMs(uncachedTokens: number): number;
  decodeMs(tokens: number): number;
  /** Returns the expected number of output tokens. */
  outputTokens(req: PlacementRequest): number;
  /** Returns the mean time from grant to release; 0 before the first release. */
  holdMs(): number;
  /** Returns the cost for the fair queue, in output-token equivalents. */
  cost(req: PlacementRequest, uncachedTokens: number): number;
  recordPrefill(report: ReleaseReport): void;
  recordRelease(report: ReleaseReport, expectedTokens: number, heldMs: number): void;
}

/** Creates the estimates, initialised from the settings of the pool. */
export function createEstimates(pool: PoolEntry): Estimates {
  let prefillMsPerToken = 1 / Math.max(pool.prefillTokensPerMs, 1e-6);
  let { decodeMsPerToken } = pool;
  let outputFraction = 1;
  let holdMs: number | undefined;
  const average = (previous: number, sample: number): number =>
    previous + AVERAGE_WEIGHT * (sample - previous);
  const outputTokens = (req: PlacementRequest): number =>
    Math.max(1, req.expectedTokens * outputFraction);

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
        outputFraction = average(outputFraction, Math.min(1, decodedTokens / expectedTokens));
      }
    },
  };
}
