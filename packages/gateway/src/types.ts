/** What the gateway needs from the other modules. */
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
  /** `undefined` on routes open to all. */
  readonly organisation: OrganisationId | undefined;
  readonly startedAtMs: number;
  /** Aborted when the caller disconnects or the time limit passes. */
  readonly signal: AbortSignal;
  /** Whether the caller's key is still good; it can be withdrawn while the request waits. */
  readonly isAllowed: () => boolean;
}

/** What the handlers of all paths share. */
export interface HandlerContext {
  readonly options: GatewayOptions;
  readonly admission: Admission;
  readonly claims: Claims;
  readonly budget: RetryBudget;
  readonly latencies: (pool: string) => LatencyWindow;
  /** Answers an exchange that was not admitted. */
  readonly sendError: (exchange: Exchange, error: RouterError) => void;
}

export interface Gateway {
  /** Serves one request to the end of its response. */
  serve(exchange: Exchange): Promise<void>;
  start(): Promise<void>;
  /** Port that the gateway listens on. */
  port(): number;
  activeRequests(): number;
  /** Answers with `Connection: close` from now on, so that callers reconnect elsewhere. */
  beginDrain(): void;
  /** Waits for running requests, at most `timeoutMs`; returns how many were left. */
  waitUntilIdle(timeoutMs: number): Promise<number>;
  /** Closes idle connections and stops listening. */
  stop(): Promise<void>;
  /** Drops all connections at once. */
  kill(): Promise<void>;
}
