/** What a serving node is created from. */
import type { RouterError, Telemetry } from '@hibiscusbank/core';
import type { Result } from 'neverthrow';
import type { HttpExchange } from './context.js';
import type { Machine } from './memory/index.js';
import type { QuotaTolerance } from './organisation-quota.js';
import type { KnownPeer } from './peer-reports.js';
import type { EntryDecoders, EntryStore, UpstreamTransport } from './ports.js';
import type { RolloutBounds } from './rollouts/types.js';
import type { StoreEra } from './store-era.js';
import type { KnowledgeBounds } from './store-feeds.js';
import type { ServingRequest } from './types.js';

interface Address {
  readonly host: string;
  readonly port: number;
}

export interface ServingNodeOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Address on which the node accepts requests of callers. */
  readonly callers: Address;
  /** Readiness endpoint, polled by the load balancer. */
  readonly readiness: Address & { readonly path: string };
  /** Address for reports and list requests of peers. */
  readonly peers: Address;
  /** Peers to report to before the registry has been read. */
  readonly seeds: readonly KnownPeer[];
  /** The era of the store, which all of `stores` record. */
  readonly era: StoreEra;
  readonly stores: {
    readonly tables: EntryStore;
    readonly upstreams: EntryStore;
    readonly outOfService: EntryStore;
    readonly nodes: EntryStore;
    readonly leases: EntryStore;
    /** Requests and prompt parts that end upstreams. */
    readonly quarantines: EntryStore;
    /** Software versions that began streams. */
    readonly streamOrigins: EntryStore;
    /** `undefined` if operators order no roll-outs. */
    readonly rollouts: EntryStore | undefined;
  };
  readonly decoders: EntryDecoders;
  readonly transport: UpstreamTransport;
  readonly readRequest: (exchange: HttpExchange) => Result<ServingRequest, RouterError>;
  readonly retryBudget: {
    readonly ratio: number;
    readonly allowance: number;
    readonly windowMs: number;
  };
  /** Excess over the rates of organisations that the operator tolerates. */
  readonly quotaTolerance: QuotaTolerance;
  readonly bounds: KnowledgeBounds;
  /** Limits for versions that may be bad; `undefined` if operators order no roll-outs. */
  readonly rolloutBounds: RolloutBounds | undefined;
  /** Limits of the machine, if they are known. */
  readonly machine: Machine | undefined;
  /** Time between SIGTERM and the forced end of the process. */
  readonly graceMs: number;
  readonly telemetry: Telemetry;
}
