/** Types of the settings of processes and of the routes and pools tables. */
import type {
  DataCentreId,
  OrganisationId,
  PoolId,
  RouteId,
  UpstreamId,
  VmId,
} from '@hibiscusbank/core';

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

export interface NodeSettings {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly region: string;
  /** Address for requests of callers. */
  readonly listen: ListenAddress;
  /** Address for other nodes. */
  readonly peerListen: ListenAddress;
  /** Address for health checks, metrics and operators. */
  readonly adminListen: ListenAddress;
  /** Secret shared by all nodes. Connections from nodes without it are refused. */
  readonly peerSecret: string;
  /** Base URLs of the platform's services. */
  readonly objectApi: string;
  readonly vmList: string;
  readonly weightStore: string | undefined;
  readonly limits: NodeLimits;
}

export interface NodeLimits {
  readonly maxBodyBytes: number;
  /** Time after which a draining node aborts the requests that still run. */
  readonly drainTimeoutMs: number;
  /** How long an isolated data centre accepts keys that it cannot confirm. */
  readonly unconfirmedKeysMs: number;
}

/** Addresses of the platform and the nodes for an operator's tool. */
export interface OperatorSettings {
  /** Base URLs of the platform's services. */
  readonly objectApi: string;
  readonly vmList: string | undefined;
  /** Admin addresses of nodes, as `IP:port`. */
  readonly admins: readonly string[];
}

export type Urgency = 'urgent' | 'patient';

/** Organisations that may use a route. */
export type Access =
  | { readonly kind: 'all' }
  | {
      readonly kind: 'organisations';
      readonly organisations: readonly OrganisationId[];
    };

/** One row of the routes table: the requests that it matches, and how they are served. */
export interface RouteEntry {
  readonly id: RouteId;
  /** Exact path, or a prefix followed by `*`. */
  readonly path: string;
  /** Methods in upper case; empty for all methods. */
  readonly methods: readonly string[];
  /** Model named in the body of a model request; `undefined` for any. */
  readonly model: string | undefined;
  readonly access: Access;
  readonly pool: PoolId;
  readonly idempotent: boolean;
  readonly urgency: Urgency;
  readonly firstTokenTargetMs: number;
  readonly tokenGapTargetMs: number;
  /** Maximum wait of a request in the queues of quota and scheduler. */
  readonly patienceMs: number;
  /** Time limit of a whole request. */
  readonly timeLimitMs: number;
  /** Maximum tokens of an answer when the request sets no maximum. */
  readonly maxTokensDefault: number;
  /** Tokens charged for a request to a plain upstream. */
  readonly requestCost: number;
}

export type UpstreamRole = 'prefill' | 'decode' | 'both' | 'plain';

/** One engine or application server of a pool. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly pool: PoolId;
  readonly role: UpstreamRole;
  readonly dataCentre: DataCentreId;
  /** Base URL. */
  readonly address: string;
  /** Maximum concurrent requests: decode slots of an engine, concurrency of a server. */
  readonly capacity: number;
  /** Memory for the KV cache in blocks; 0 for plain upstreams. */
  readonly memoryBlocks: number;
  /** Maximum concurrent requests that the upstream handles when it is cold. */
  readonly coldLimit: number;
  /** Minimum time between two doublings of the slow-start limit. */
  readonly coldStepMs: number;
  /** Bandwidth for KV cache transfers, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
  /** Whether the engine refuses orders with an outdated fencing token. */
  readonly checksOrders: boolean;
}

/** One row of the pools table with its upstreams. */
export interface PoolEntry {
  readonly id: PoolId;
  readonly kind: 'model' | 'plain';
  /** Model that the engines of the pool serve; `undefined` for plain pools. */
  readonly model: string | undefined;
  readonly version: string | undefined;
  readonly adapters: readonly string[];
  /** Tokens per block of the KV cache. */
  readonly blockTokens: number;
  /** Bytes of KV cache per token, used to estimate the time of a transfer. */
  readonly kvBytesPerToken: number;
  /** Initial estimates of prefill and decode speed; measured values replace them. */
  readonly prefillTokensPerMs: number;
  readonly decodeMsPerToken: number;
  /** Whether engines change between prefill and decode as the load changes. */
  readonly balanceRoles: boolean;
  readonly upstreams: readonly UpstreamEntry[];
}
