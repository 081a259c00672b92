/** The fleet as a node knows it, and the calls to upstreams that serving needs. */
import type { DataCentreId, OrganisationId, PoolId, RouteId, UpstreamId } from '@hibiscusbank/core';

/** What may be repeated: anything, nothing, or a stream by its last event id. */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

export interface RouteTarget {
  readonly pool: PoolId;
  /** Share of the route's requests, relative to the other targets. */
  readonly weight: number;
}

/** A route that is selected by host and longest path prefix. */
export interface ServingRoute {
  readonly id: RouteId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly kind: RequestKind;
  /** Longest time that a request may stay unanswered. */
  readonly timeLimitMs: number;
  /** Time to the answer, or to the first event of a stream, that callers expect. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Most upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isOpen: boolean;
  /** Whether a stream may continue on another upstream after its last event. */
  readonly isResumable: boolean;
}

/** What the operator states of a pool of model engines. */
export interface EngineTraits {
  /** Requests that run at once. */
  readonly slots: number;
  /** KV cache in tokens that running requests and cached prompts share. */
  readonly memoryTokens: number;
  /** Longest time for which an engine keeps a reservation. */
  readonly reservationMs: number;
  /** Time for which a prefill engine keeps a result that nobody fetched. */
  readonly handleMs: number;
  /** Tokens in one event of a stream, at most. */
  readonly tokensPerEvent: number;
}

export interface ServingPool {
  readonly id: PoolId;
  readonly maxConnections: number;
  /** Requests a second that an upstream bears while it is cold; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  /** Set for pools of model engines. */
  readonly engine: EngineTraits | undefined;
}

export interface ServingOrganisation {
  readonly id: OrganisationId;
  readonly keys: readonly string[];
  /** Replaces the rank of the route when set. */
  readonly rank: number | undefined;
  /** Tokens or requests a second, by `countsTokens`; 0 for no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly countsTokens: boolean;
  /** Tokens charged for a request that states none. */
  readonly plainTokens: number;
}

export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's tables. */
export interface ServingTables {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly pools: readonly ServingPool[];
  readonly organisations: readonly ServingOrganisation[];
  readonly limits: ClientLimits;
}

export type EngineRole = 'prefill' | 'decode';

/** An upstream as it registered itself. */
export interface ServingUpstream {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  /** `host:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Whether it takes new work. */
  readonly isReady: boolean;
  /** Set for model engines. */
  readonly role: EngineRole | undefined;
  /** Unix milliseconds of its start; another value under the same id is another process. */
  readonly startedAt: number;
  /** Milliseconds for which it stays cold, counted from when the entry was read. */
  readonly coldMs: number;
}

/** Size of a model request. */
export interface ModelUsage {
  readonly promptTokens: number;
  /** Largest answer. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the answer, if it gave one. */
  readonly expectedOutputTokens: number | undefined;
}

/** A request after it has been read, in the product's words. */
export interface ServingRequest {
  /** The caller's id of this attempt; upstreams echo it. */
  readonly id: string;
  readonly method: string;
  /** Path with query, unchanged. */
  readonly path: string;
  readonly host: string;
  /** Headers to forward, without those between two neighbours and without the key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly key: string | undefined;
  /** Time that the caller waits, from the arrival of the request. */
  readonly patienceMs: number | undefined;
  readonly usage: ModelUsage | undefined;
  /** Last event that the caller of a resumed stream has. */
  readonly lastEventId: string | undefined;
}

/** One send of a request to an upstream. */
export interface UpstreamSend {
  readonly upstream: ServingUpstream;
  readonly req: ServingRequest;
  readonly body: Buffer;
  readonly organisation: OrganisationId | undefined;
  /** Time left for the whole request. */
  readonly remainingMs: number;
  /** Set to have only the prompt read. */
  readonly prefillOnly?: boolean;
  /** Where the KV cache of the prompt is fetched from. */
  readonly kvSource?: KvHandle;
  /** A reservation on the upstream that this request uses up. */
  readonly reservation?: string;
  readonly lastEventId?: string;
  /** 0 is the most urgent, 9 the least. */
  readonly priority?: number;
  readonly signal: AbortSignal;
}

/** A KV cache that a prefill engine keeps for a short time. */
export interface KvHandle {
  readonly upstream: ServingUpstream;
  readonly handle: string;
}

/** What an upstream did with a request that was sent to it. */
export type SendEffect =
  /** It cannot have run: it was not sent, or the upstream says so. */
  | 'not_run'
  /** It may have run. */
  | 'unknown';

export interface SendFailure {
  readonly effect: SendEffect;
  /** Whether the request or a part of it reached the upstream. */
  readonly wasSent: boolean;
  readonly reason: 'refused' | 'moved' | 'unreachable' | 'broken' | 'mismatch' | 'aborted';
}

/** An answer whose head has arrived. Data is delivered to one listener. */
export interface UpstreamReply {
  readonly status: number;
  /** Headers for the caller, without those between two neighbours. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Starts delivery; `undefined` data pauses nothing. Resolves true when the body is whole. */
  read(onData: (chunk: Buffer) => void): Promise<boolean>;
  pause(): void;
  resume(): void;
  abort(): void;
}
