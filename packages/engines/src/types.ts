/** Ports to model engines and plain upstreams. docs/wire.md describes the HTTP forms. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { OrganisationId, RequestId, RouterError } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

/** Identifies one attempt of a request. Engines record holds under it. */
export interface AttemptRef {
  readonly requestId: RequestId;
  /** Number of the attempt, starting at 1. */
  readonly attempt: number;
}

interface EngineCall extends AttemptRef {
  /** Base URL of the engine. */
  readonly address: string;
  readonly organisation: OrganisationId | undefined;
  readonly model: string;
  /** Higher values are scheduled first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

export interface PrefillCall extends EngineCall {
  /** Prompt followed by the text generated so far. */
  readonly prompt: string;
}

export interface PrefillResult {
  /** Id of the KV cache that the engine keeps for less than a second, for a decode engine to import. */
  readonly kvId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly elapsedMs: number;
}

/** Engine and id from which the decode engine imports the KV cache. */
export interface KvSource {
  readonly address: string;
  readonly kvId: string;
}

export interface DecodeCall extends EngineCall {
  readonly kv: KvSource;
  /** Index of the first token to generate. */
  readonly startIndex: number;
  readonly maxTokens: number;
  /** Called with tokens in order, one batch per chunk read. */
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

/** Owner of an engine's stream, as stated in its response headers. */
export interface StreamOwner {
  readonly organisation: string | undefined;
  readonly attempt: number;
}

export interface ResumeCall extends AttemptRef {
  readonly address: string;
  /** Index of the last token that the caller has received; -1 for none. */
  readonly lastIndex: number;
  readonly signal: AbortSignal;
  /** Called before the first token. A returned error aborts the stream and is its result. */
  readonly onOwner: (owner: StreamOwner) => RouterError | undefined;
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

export interface TokenEvent {
  readonly index: number;
  readonly text: string;
  /** Set on the last event of a stream. */
  readonly finishReason?: 'stop' | 'length';
}

/** Resource that an engine holds for an attempt: a KV cache for export or a slot. */
export interface EngineHold extends AttemptRef {
  readonly kind: 'kv_export' | 'slot';
  readonly blocks: number;
  readonly ageMs: number;
}

/** Load that an engine reports, with a lag. */
export interface EngineLoad {
  readonly slotsUsed: number;
  readonly slots: number;
  readonly blocksUsed: number;
  readonly blocks: number;
  readonly prefillQueueMs: number;
  readonly models: readonly string[];
  readonly role: 'prefill' | 'decode' | 'both';
}

export interface CacheEvent {
  /** Sequence number. Numbers are consecutive, so a missing one means that events were lost. */
  readonly seq: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Prefix hash as `hashPrefixes` computes it. */
  readonly hash: number;
}

export interface CacheEvents {
  readonly latestSeq: number;
  readonly events: readonly CacheEvent[];
  /** Hashes of all cached prefixes; sent if the engine does not have the requested events. */
  readonly snapshot?: readonly number[];
}

/** Control command for an engine. `epoch` is the fencing token. */
export interface EngineOrder {
  readonly epoch: number;
  readonly kind: 'load' | 'unload' | 'role';
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: 'prefill' | 'decode' | 'both';
}

/**
 * Port of a model engine. Errors: `upstream_refused` (full; not run), `upstream_cold` (not run),
 * `upstream_failed`, `not_found`, `stale_epoch`, `timeout`, `cancelled`. `effect` states whether the
 * engine can have run the call.
 */
export interface EnginePort {
  prefill(call: PrefillCall): ResultAsync<PrefillResult, RouterError>;
  /** Resolves after the stream has ended with a finish reason. */
  decode(call: DecodeCall): ResultAsync<void, RouterError>;
  resume(call: ResumeCall): ResultAsync<void, RouterError>;
  /** Frees what the engine holds for an attempt. Also succeeds if it holds nothing. */
  cancel(address: string, ref: AttemptRef): ResultAsync<void, RouterError>;
  listHolds(address: string): ResultAsync<readonly EngineHold[], RouterError>;
  readLoad(address: string): ResultAsync<EngineLoad, RouterError>;
  /** Reads the cache events with sequence numbers above `after`. */
  readCacheEvents(address: string, after: number): ResultAsync<CacheEvents, RouterError>;
  order(address: string, order: EngineOrder): ResultAsync<void, RouterError>;
}

export interface UpstreamCall {
  readonly address: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Readable | Buffer | undefined;
  readonly signal: AbortSignal;
}

export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
}

/** Port of a plain upstream. Errors: `upstream_cold`, `upstream_refused`, `upstream_failed`, `cancelled`. */
export interface UpstreamPort {
  send(call: UpstreamCall): ResultAsync<UpstreamAnswer, RouterError>;
}
