/** Ports to model engines and plain upstreams. docs/wire.md describes the HTTP forms. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { OrganisationId, RequestId, RouterError } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

/** Identifies one attempt of a request; engines file what they hold under it. */
export interface AttemptRef {
  readonly requestId: RequestId;
  /** Counts from 1. */
  readonly attempt: number;
}

interface EngineCall extends AttemptRef {
  /** Base URL of the engine. */
  readonly address: string;
  readonly organisation: OrganisationId | undefined;
  readonly model: string;
  /** Higher goes first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

export interface PrefillCall extends EngineCall {
  /** Prompt followed by the text generated so far. */
  readonly prompt: string;
}

export interface PrefillResult {
  /** Names the KV cache that the engine keeps for export, for under a second. */
  readonly kvId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly elapsedMs: number;
}

/** Where the decode engine imports the KV cache from. */
export interface KvSource {
  readonly address: string;
  readonly kvId: string;
}

export interface DecodeCall extends EngineCall {
  readonly kv: KvSource;
  /** Index of the first token to generate. */
  readonly startIndex: number;
  readonly maxTokens: number;
  /** Receives tokens in order, a batch for each chunk read. */
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

/** For whom an engine runs a stream, from its response headers. */
export interface StreamOwner {
  readonly organisation: string | undefined;
  readonly attempt: number;
}

export interface ResumeCall extends AttemptRef {
  readonly address: string;
  /** Last index that the caller has; -1 for none. */
  readonly lastIndex: number;
  readonly signal: AbortSignal;
  /** Runs before the first token; an error refuses the stream. */
  readonly onOwner: (owner: StreamOwner) => RouterError | undefined;
  readonly onTokens: (tokens: readonly TokenEvent[]) => void;
}

export interface TokenEvent {
  readonly index: number;
  readonly text: string;
  /** Set on the last event of a stream. */
  readonly finishReason?: 'stop' | 'length';
}

/** Something that an engine holds for a request. */
export interface EngineHold extends AttemptRef {
  readonly kind: 'kv_export' | 'slot';
  readonly blocks: number;
  readonly ageMs: number;
}

/** Load as the engine reports it, with a lag. */
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
  /** Consecutive; a missing number is a gap. */
  readonly seq: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** Prefix hash as `hashPrefixes` computes it. */
  readonly hash: number;
}

export interface CacheEvents {
  readonly latestSeq: number;
  readonly events: readonly CacheEvent[];
  /** All cached prefixes, when the events asked for are no longer kept. */
  readonly snapshot?: readonly number[];
}

/** Control command to an engine. `epoch` is the fencing token. */
export interface EngineOrder {
  readonly epoch: number;
  readonly kind: 'load' | 'unload' | 'role';
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly role?: 'prefill' | 'decode' | 'both';
}

/**
 * A model engine. Errors: `upstream_refused` (full; not run), `upstream_cold` (not run),
 * `upstream_failed`, `not_found`, `stale_epoch`, `timeout`, `cancelled`. `effect` says whether the
 * engine can have run the call.
 */
export interface EnginePort {
  prefill(call: PrefillCall): ResultAsync<PrefillResult, RouterError>;
  /** Resolves when the stream has ended with a finish reason. */
  decode(call: DecodeCall): ResultAsync<void, RouterError>;
  resume(call: ResumeCall): ResultAsync<void, RouterError>;
  /** Frees what the engine holds for an attempt. Succeeds when there is nothing. */
  cancel(address: string, ref: AttemptRef): ResultAsync<void, RouterError>;
  listHolds(address: string): ResultAsync<readonly EngineHold[], RouterError>;
  readLoad(address: string): ResultAsync<EngineLoad, RouterError>;
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

/** A plain upstream. Errors: `upstream_cold`, `upstream_refused`, `upstream_failed`, `cancelled`. */
export interface UpstreamPort {
  send(call: UpstreamCall): ResultAsync<UpstreamAnswer, RouterError>;
}
