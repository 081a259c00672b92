/** Dependencies and interface of the gateway, and types that its handlers share. */
import type {
  OrganisationId,
  RequestId,
  RouterError,
  Telemetry,
  TokenCounter,
  VmId,
} from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { EnginePort, UpstreamPort } from '@hibiscusbank/engines';
import type { ObjectApi } from '@hibiscusbank/object-api';
import type { Quota } from '@hibiscusbank/quota';
import type { Scheduler } from '@hibiscusbank/scheduler';
import type { NodeLimits, RouteEntry } from '@hibiscusbank/settings';
import type { Admission, Exchange } from './admission.js';
import type { Claims } from './claims.js';
import type { LatencyWindow } from './latency-window.js';
import type { RetryBudget } from './retry-budget.js';

export interface GatewayOptions {
  readonly vm: VmId;
  readonly listen: { readonly host: string; readonly port: number };
  readonly limits: NodeLimits;
  readonly configuration: ConfigurationReplica;
  readonly quota: Quota;
  readonly scheduler: Scheduler;
  readonly engines: EnginePort;
  readonly upstreams: UpstreamPort;
  readonly objectApi: ObjectApi;
  readonly telemetry: Telemetry;
  readonly countTokens: TokenCounter;
}

/** A request that passed authentication and routing. */
export interface AdmittedRequest {
  readonly id: RequestId;
  readonly route: RouteEntry;
  /** `undefined` on routes that are open to all callers. */
  readonly organisation: OrganisationId | undefined;
  readonly startedAtMs: number;
  /** Aborted when the caller disconnects or the time limit passes. */
  readonly signal: AbortSignal;
  /** Returns whether the key is still valid; it can be withdrawn while the request is queued. */
  readonly isStillAuthorised: () => boolean;
}

/** Dependencies of the request handlers. */
export interface HandlerContext {
  readonly options: GatewayOptions;
  readonly admission: Admission;
  readonly claims: Claims;
  readonly budget: RetryBudget;
  readonly latencyWindowOf: (pool: string) => LatencyWindow;
  /** Sends an error response unless a response has been started. */
  readonly sendError: (exchange: Exchange, error: RouterError) => void;
}

export interface Gateway {
  /** Serves one request until its response ends. */
  serve(exchange: Exchange): Promise<void>;
  start(): Promise<void>;
  /** Returns the port that the gateway listens on. */
  port(): number;
  activeRequests(): number;
  /** Answers with `Connection: close` from now on, so that callers reconnect to another node. */
  beginDrain(): void;
  /** Waits at most `timeoutMs` for running requests; returns how many are still running. */
  waitUntilIdle(timeoutMs: number): Promise<number>;
  /** Stops listening, closes idle connections and waits for running responses. */
  stop(): Promise<void>;
  /** Stops listening and closes all connections immediately. */
  kill(): Promise<void>;
}
