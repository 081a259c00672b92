/** Options, faults and counters of the engine stand-in. */

export type EngineRole = 'prefill' | 'decode' | 'both';

export interface EngineOptions {
  readonly role: EngineRole;
  readonly slots: number;
  /** Memory in blocks of 1,000 tokens. */
  readonly blocks: number;
  readonly prefixCacheBlocks: number;
  readonly prefillTokensPerMs: number;
  /** Time of a batch step with no stream; each stream adds `tokenMsPerStream`. */
  readonly tokenMs: number;
  readonly tokenMsPerStream: number;
  /** A KV export that nobody imports is dropped after this time. */
  readonly kvTtlMs: number;
  readonly kvBytesPerToken: number;
  /** Rate of the link over which this engine imports KV caches. */
  readonly linkBytesPerMs: number;
  /** A finished stream can be resumed for this time. */
  readonly streamGraceMs: number;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is lost; 0 for none. */
  readonly cacheEventGapEvery: number;
  /** Whether an order with an older fencing token is rejected. */
  readonly checksFencing: boolean;
  /** Models loaded at the start; an empty list serves any model. */
  readonly models: readonly string[];
  /** Base URL of the weight store. */
  readonly weightStore: string | undefined;
  /** Time of a load after the weight store's turn has come. */
  readonly modelLoadMs: number;
  /** Requests that a cold engine can run at a time. */
  readonly coldLimit: number;
  /** Length of a cold start. */
  readonly coldMs: number;
  readonly startsCold: boolean;
  /** Whether a cold refusal states `x-not-run`. */
  readonly coldNotRun: boolean;
  /** Slows all work of a cold engine that gets more than its limit. */
  readonly coldSlowFactor: number;
  /** Whether answers may be shorter than `max_tokens`. */
  readonly variesLength: boolean;
}

export const ENGINE_DEFAULTS: EngineOptions = {
  role: 'both',
  slots: 20,
  blocks: 200,
  prefixCacheBlocks: 200,
  prefillTokensPerMs: 10,
  tokenMs: 20,
  tokenMsPerStream: 0.3,
  kvTtlMs: 800,
  kvBytesPerToken: 100_000,
  linkBytesPerMs: 1_000_000,
  streamGraceMs: 10_000,
  loadLagMs: 500,
  cacheEventLagMs: 300,
  cacheEventGapEvery: 0,
  checksFencing: true,
  models: [],
  weightStore: undefined,
  modelLoadMs: 2_000,
  coldLimit: 2,
  coldMs: 5_000,
  startsCold: false,
  coldNotRun: true,
  coldSlowFactor: 4,
  variesLength: false,
};

export interface EngineFaults {
  /** Closes the listener; the state stays. */
  readonly refuse: boolean;
  /** Answers nothing and makes no progress. */
  readonly freeze: boolean;
  readonly stallTransfers: boolean;
  /** The next stream with this many tokens crashes the engine; 0 for none. Resets itself. */
  readonly dieAfterTokens: number;
  /** Breaks the connections of the next stream with this many tokens; it runs on. Resets itself. */
  readonly cutAfterTokens: number;
  readonly slowFactor: number;
  readonly loseCacheEvents: boolean;
  /** Starts a cold start. Resets itself. */
  readonly turnCold: boolean;
}

export const NO_ENGINE_FAULTS: EngineFaults = {
  refuse: false,
  freeze: false,
  stallTransfers: false,
  dieAfterTokens: 0,
  cutAfterTokens: 0,
  slowFactor: 1,
  loseCacheEvents: false,
  turnCold: false,
};

export interface AttemptRef {
  readonly requestId: string;
  readonly attempt: number;
}

export interface Hold extends AttemptRef {
  readonly kind: 'kv_export' | 'slot';
  readonly blocks: number;
  readonly ageMs: number;
}

/** A refusal with its status and whether the engine did not run the call. */
export interface Refusal {
  readonly status: 404 | 409 | 410 | 499 | 502 | 503;
  readonly reason: string;
  readonly notRun: boolean;
  readonly cold?: boolean;
}

export interface EngineCounters {
  prefills: number;
  /** Prefill tokens that had to be computed. */
  prefilledTokens: number;
  cachedTokens: number;
  imports: number;
  /** Exports that nobody imported, cancelled ones included. */
  wastedPrefills: number;
  decodes: number;
  tokens: number;
  refused: number;
  coldRefused: number;
  cancelled: number;
  peakSlots: number;
  peakRunning: number;
  crashes: number;
}

/** Creates the counters at zero. */
export function createCounters(): EngineCounters {
  return {
    prefills: 0,
    prefilledTokens: 0,
    cachedTokens: 0,
    imports: 0,
    wastedPrefills: 0,
    decodes: 0,
    tokens: 0,
    refused: 0,
    coldRefused: 0,
    cancelled: 0,
    peakSlots: 0,
    peakRunning: 0,
    crashes: 0,
  };
}

/** Key of an attempt in the tables of the engine. */
export function attemptKey(ref: AttemptRef): string {
  return `${ref.requestId}/${ref.attempt}`;
}
