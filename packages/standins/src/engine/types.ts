/** Options, faults and counters of the engine stand-in. */

export type EngineRole = 'prefill' | 'decode' | 'both';

export interface EngineOptions {
  readonly role: EngineRole;
  readonly slots: number;
  /** KV memory in blocks of 1,000 tokens. */
  readonly blocks: number;
  readonly prefixCacheBlocks: number;
  readonly prefillTokensPerMs: number;
  /** Base duration of a batch step; each running stream adds `tokenMsPerStream`. */
  readonly tokenMs: number;
  readonly tokenMsPerStream: number;
  /** Time after which a KV export that nobody imports is dropped. */
  readonly kvTtlMs: number;
  readonly kvBytesPerToken: number;
  /** Rate of the link over which this engine imports KV caches. */
  readonly linkBytesPerMs: number;
  /** Time for which a finished stream can still be resumed. */
  readonly streamGraceMs: number;
  /** Time until a change of load is visible in `GET /v1/load`. */
  readonly loadLagMs: number;
  /** Time until a cache event is visible in `GET /v1/cache-events`. */
  readonly cacheEventLagMs: number;
  /** Every n-th cache event is lost; 0 means none. */
  readonly cacheEventGapEvery: number;
  /** Whether an order with an older fencing token is rejected. */
  readonly checksFencing: boolean;
  /** Models that are loaded at the start. With an empty list, the engine serves any model. */
  readonly models: readonly string[];
  /** Base URL of the weight store; without one, models load without a reservation. */
  readonly weightStore: string | undefined;
  /** Duration of a model load, from the start time that the weight store assigned. */
  readonly modelLoadMs: number;
  /** Requests that a cold engine can run at a time. */
  readonly coldLimit: number;
  /** Duration of a cold start. */
  readonly coldMs: number;
  readonly startsCold: boolean;
  /** Whether a refusal during a cold start carries `x-not-run`. */
  readonly coldNotRun: boolean;
  /** Factor on the duration of all work while a cold engine is overloaded. */
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
  /** Closes the listener; the engine keeps its state. */
  readonly refuse: boolean;
  /** Holds all responses back and stops all progress. */
  readonly freeze: boolean;
  /** Sets the rate of the engine's link to 0. */
  readonly stallTransfers: boolean;
  /**
   * The next stream that reaches this many tokens crashes the engine and resets this fault to 0,
   * which means none.
   */
  readonly dieAfterTokens: number;
  /**
   * Breaks the connections of the next stream that reaches this many tokens, then resets itself to
   * 0, which means none. The stream continues to run.
   */
  readonly cutAfterTokens: number;
  /** Factor on the duration of all work. */
  readonly slowFactor: number;
  /** Loses all cache events, which leaves gaps in their sequence numbers. */
  readonly loseCacheEvents: boolean;
  /** Triggers a cold start, then resets itself. */
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

/** A call that the engine did not carry out. */
export interface Refusal {
  readonly status: 404 | 409 | 410 | 499 | 502 | 503;
  readonly reason: string;
  /** Whether the response states that the call did not run (`x-not-run`). */
  readonly notRun: boolean;
  /** Whether a cold start is the reason (`x-cold-start`). */
  readonly cold?: boolean;
}

export interface EngineCounters {
  prefills: number;
  /** Prompt tokens that were computed because they were not in the prefix cache. */
  prefilledTokens: number;
  cachedTokens: number;
  imports: number;
  /** Exports that were dropped without an import, including cancelled ones. */
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

/** Creates counters that are all zero. */
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

/** Returns the key of an attempt in the engine's tables. */
export function attemptKey(ref: AttemptRef): string {
  return `${ref.requestId}/${ref.attempt}`;
}
