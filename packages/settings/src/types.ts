/** Settings of a process and the two tables that operators edit. */
import type {
  DataCentreId,
  OrganisationId,
  PoolId,
  RouteId,
  UpstreamId,
  VmId,
} from '@hibiscusbank/core';

/** Host and port of a listener. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings of one node process. */
export interface NodeSettings {
  readonly vm: VmId;
  readonly dataCentre: DataCentreId;
  readonly region: string;
  /** Address for callers. */
  readonly listen: ListenAddress;
  /** Address for other nodes. */
  readonly peerListen: ListenAddress;
  /** Address for health checks, metrics and operators. */
  readonly adminListen: ListenAddress;
  /** Shared secret of the fleet; nodes without it are refused. */
  readonly peerSecret: string;
  /** Base URLs of the platform's services. */
  readonly objectApi: string;
  readonly vmList: string;
  readonly weightStore: string | undefined;
  readonly limits: NodeLimits;
}

export interface NodeLimits {
  readonly maxBodyBytes: number;
  /** A draining node cuts what still runs after this time. */
  readonly drainTimeoutMs: number;
  /** How long an isolated data centre honours keys that it cannot confirm. */
  readonly unconfirmedKeysMs: number;
}

/** Where an operator's tool finds the platform and the nodes. */
export interface OperatorSettings {
  /** Base URLs of the platform's services. */
  readonly objectApi: string;
  readonly vmList: string | undefined;
  /** Admin addresses of nodes, as `IP:port`. */
  readonly admins: readonly string[];
}

export type Urgency = 'urgent' | 'patient';

/** Who may use a route. */
export type Access =
  | { readonly kind: 'all' }
  | {
      readonly kind: 'organisations';
      readonly organisations: readonly OrganisationId[];
    };

/** One row of the routes table: which callers may reach which work. */
export interface RouteEntry {
  readonly id: RouteId;
  /** Path, with `*` at the end for any rest. */
  readonly path: string;
  /** Upper-case methods; empty for all. */
  readonly methods: readonly string[];
  /** Model named in the body of a model request; `undefined` for any. */
  readonly model: string | undefined;
  readonly access: Access;
  readonly pool: PoolId;
  readonly idempotent: boolean;
  readonly urgency: Urgency;
  readonly firstTokenTargetMs: number;
  readonly tokenGapTargetMs: number;
  /** How long a caller waits for its turn. */
  readonly patienceMs: number;
  /** Time limit of a whole request. */
  readonly timeLimitMs: number;
  /** Largest answer of a request that states none, in tokens. */
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
  /** Requests at a time: decode slots of an engine, concurrency of a server. */
  readonly capacity: number;
  /** KV memory in blocks; 0 for plain upstreams. */
  readonly memoryBlocks: number;
  /** Requests at a time that the upstream bears in cold start. */
  readonly coldLimit: number;
  /** Least time between two doublings of the slow-start limit. */
  readonly coldStepMs: number;
  /** Rate of the link for KV transfers, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
  /** Whether the engine refuses orders with an old fencing token. */
  readonly checksOrders: boolean;
}

/** One row of the pools table with its members. */
export interface PoolEntry {
  readonly id: PoolId;
  readonly kind: 'model' | 'plain';
  /** Model that the pool's engines are to serve; `undefined` for plain pools. */
  readonly model: string | undefined;
  readonly version: string | undefined;
  readonly adapters: readonly string[];
  /** Tokens per block of KV memory. */
  readonly blockTokens: number;
  /** Bytes of KV cache per token, for the time of a transfer. */
  readonly kvBytesPerToken: number;
  /** Initial estimates; measured values replace them. */
  readonly prefillTokensPerMs: number;
  readonly decodeMsPerToken: number;
  /** Share of prefill engines follows the load when true. */
  readonly balanceRoles: boolean;
  readonly upstreams: readonly UpstreamEntry[];
}
