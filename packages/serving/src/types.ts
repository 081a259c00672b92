/** Types of the fleet's configuration, its upstreams, and requests sent to them. */
import type { DataCentreId, OrganisationId, PoolId, RouteId, UpstreamId } from '@hibiscusbank/core';
import type { UpstreamVersion } from './rollouts/types.js';

/**
 * How a request may be retried: an `idempotent` one always, a `non_idempotent` one only when it did
 * not run, a `stream` that may have run only on a resumable route, after its last event.
 */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

export interface RouteTarget {
  readonly pool: PoolId;
  /** Weight relative to the route's other targets. */
  readonly weight: number;
}

/** A route, selected by host and longest matching path prefix. */
export interface ServingRoute {
  readonly id: RouteId;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly kind: RequestKind;
  /** Maximum time from the arrival of a request to the end of its response. */
  readonly timeLimitMs: number;
  /** Target latency: time to the response, or to the first event of a stream. */
  readonly targetMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of upstreams that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may continue on another upstream after its last event. */
  readonly isResumable: boolean;
}

/** The operator's settings for a pool of model engines. */
export interface EngineSettings {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Capacity of the KV cache in tokens, shared by running requests and cached prompts. */
  readonly memoryTokens: number;
  /** Maximum lifetime of a reservation that no request has used. */
  readonly reservationTtlMs: number;
  /** Time for which a prefill engine keeps a KV cache that no engine has fetched. */
  readonly kvHandleTtlMs: number;
  /** Maximum number of tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

export interface ServingPool {
  readonly id: PoolId;
  readonly maxConnections: number;
  /** Requests per second that an upstream tolerates while it is cold; 0 for no limit. */
  readonly coldRequestsPerSecond: number;
  /** Set for pools of model engines. */
  readonly engine: EngineSettings | undefined;
}

export interface ServingOrganisation {
  readonly id: OrganisationId;
  readonly keys: readonly string[];
  /** Overrides the priority of the route when set. */
  readonly priority: number | undefined;
  /** Tokens or requests per second, depending on `countsTokens`; 0 for no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly countsTokens: boolean;
  /** Tokens charged for a request that does not state its size. */
  readonly defaultTokens: number;
}

export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface ServingTables {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly pools: readonly ServingPool[];
  readonly organisations: readonly ServingOrganisation[];
  readonly limits: ClientLimits;
}

export type EngineRole = 'prefill' | 'decode';

/** An upstream as registered in the store. */
export interface ServingUpstream {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  /** Version of its software. */
  readonly version: UpstreamVersion;
  /** `host:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Requests that the upstream processes at a time, if it states them. */
  readonly slots: number | undefined;
  /** Whether the upstream accepts new requests. */
  readonly isReady: boolean;
  /** Set for model engines. */
  readonly role: EngineRole | undefined;
  /**
   * Start of the process in Unix milliseconds. A different value under the same id is a restarted
   * process.
   */
  readonly startedAt: number;
  /** Remaining slow-start time in milliseconds, counted from when the entry was read. */
  readonly coldMs: number;
}

export interface ModelUsage {
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output tokens, if provided. */
  readonly expectedOutputTokens: number | undefined;
}

/** A decoded request, independent of the platform's header names. */
export interface ServingRequest {
  /** The caller's id of this attempt; upstreams echo it in their responses. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  readonly host: string;
  /** Headers to forward, without hop-by-hop headers and the key. */
  readonly headers: Readonly<Record<string, string>>;
  readonly key: string | undefined;
  /** Maximum time that the caller waits, from the arrival of the request. */
  readonly maxWaitMs: number | undefined;
  readonly usage: ModelUsage | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in the order of the prompt. Empty
   * if the caller states none.
   */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller of a resumed stream received. */
  readonly lastEventId: string | undefined;
  /** Id of the attempt that brought the first event of a resumed stream, if the caller names it. */
  readonly firstAttempt: string | undefined;
}

/** One attempt to send a request to an upstream. */
export interface UpstreamSend {
  readonly upstream: ServingUpstream;
  readonly req: ServingRequest;
  readonly body: Buffer;
  readonly organisation: OrganisationId | undefined;
  /** Time left for the whole request, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the engine only prefills the prompt, without generating. */
  readonly prefillOnly?: boolean;
  /** KV cache of the prompt, which the upstream fetches from its prefill engine. */
  readonly kvSource?: KvHandle;
  /** Id of the reservation on the upstream that this request uses. */
  readonly reservation?: string;
  readonly lastEventId?: string;
  /** 0 is the most urgent, 9 the least. */
  readonly priority?: number;
  readonly signal: AbortSignal;
}

/** What an upstream states about itself in the headers of a response. */
export interface UpstreamStatement {
  /**
   * Requests per second that it takes from all nodes together, or that it states no limit;
   * `undefined` if the response says nothing about limits.
   */
  readonly limit: { readonly perSecond: number | undefined } | undefined;
  /** Whether it is leaving and wants no further requests. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests from this node, 0 if it states none. */
  readonly pauseMs: number;
  /** Monotonic time at which the request was sent. */
  readonly sentAt: number;
}

/** A KV cache that a prefill engine keeps for a short time. */
export interface KvHandle {
  readonly upstream: ServingUpstream;
  readonly handle: string;
}

/** Whether a request that failed may have run on the upstream. */
export type SendEffect =
  /** The request was not sent, or the upstream reports that it did not run. */
  | 'not_run'
  /** The request may have run. */
  | 'unknown';

export interface SendFailure {
  readonly effect: SendEffect;
  /** Whether any part of the request may have reached the upstream. */
  readonly wasSent: boolean;
  /**
   * `refused`: the upstream did not run the request; `paused`: it did not either, and wants none for
   * a while; `moved`: another server has the address; `broken`: the connection closed or the response is invalid; `mismatch`: the response belongs to
   * another request.
   */
  readonly reason:
    'refused' | 'paused' | 'moved' | 'unreachable' | 'broken' | 'mismatch' | 'aborted';
}

/** A response whose status and headers have arrived. The body is delivered to one listener. */
export interface UpstreamReply {
  readonly status: number;
  /** Headers for the caller, without hop-by-hop headers. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Starts delivery of the body. Resolves to whether the body arrived completely. */
  read(onData: (chunk: Buffer) => void): Promise<boolean>;
  pause(): void;
  resume(): void;
  abort(): void;
}
