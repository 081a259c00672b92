/** Types of configuration entries and of a node's replica. */
import type {
  DataCentreId,
  KeyDigest,
  OrganisationId,
  PoolId,
  UpstreamId,
  VmId,
} from '@hibiscusbank/core';
import type { PoolEntry, RouteEntry } from '@hibiscusbank/settings';

/** All configuration objects have keys under this prefix. */
export const CONFIGURATION_PREFIX = 'config/';

/** Keys of configuration objects in the object API. */
export const configurationKeys = {
  routes: 'config/routes',
  pool: (pool: PoolId): string => `config/pools/${pool}`,
  organisation: (organisation: OrganisationId): string => `config/organisations/${organisation}`,
  tenantKey: (digest: KeyDigest): string => `config/keys/${digest}`,
  drain: (kind: DrainKind, name: string): string => `config/drains/${kind}/${name}`,
  ring: (dataCentre: DataCentreId): string => `config/rings/${dataCentre}`,
} as const;

export type DrainKind = 'dc' | 'vm' | 'upstream';

/** Token rate limit and burst of an organisation, enforced across all VMs. */
export interface Organisation {
  readonly id: OrganisationId;
  readonly ratePerS: number;
  readonly burst: number;
}

export interface TenantKey {
  readonly digest: KeyDigest;
  readonly organisation: OrganisationId;
  readonly withdrawn: boolean;
  /** First characters of the key, shown in listings. */
  readonly hint: string;
}

/** Quota holders of a data centre, as agreed through the object API. */
export interface QuotaRing {
  readonly dataCentre: DataCentreId;
  readonly members: readonly VmId[];
  /** Version of the stored object. */
  readonly version: number;
}

/** One object at a revision, as nodes send it to each other. */
export interface ConfigurationEntry {
  readonly key: string;
  readonly revision: number;
  readonly value: unknown;
  readonly deleted: boolean;
}

/** State of a replica. Equal positions mean equal entries. */
export interface Position {
  /** Highest revision of an entry. */
  readonly revision: number;
  /** Hash over keys and revisions of all entries that are not deleted. */
  readonly digest: number;
}

/** A complete state: all entries that exist at revision `floor` of the platform's store. */
export interface Snapshot {
  readonly floor: number;
  readonly entries: readonly ConfigurationEntry[];
}

export interface ConfigurationReplica {
  /** Highest revision that has been applied. */
  revision(): number;
  /** Whether the initial state has been loaded from the platform or from peers. */
  isReady(): boolean;
  routes(): readonly RouteEntry[];
  pools(): ReadonlyMap<PoolId, PoolEntry>;
  organisation(id: OrganisationId): Organisation | undefined;
  organisations(): readonly Organisation[];
  /** Returns the key, or `undefined` if it is unknown or withdrawn. */
  findKey(digest: KeyDigest): TenantKey | undefined;
  /** Whether keys can still be trusted; false after a long isolation of the node. */
  areKeysConfirmed(): boolean;
  isDataCentreOutOfService(dataCentre: DataCentreId): boolean;
  isVmOutOfService(vm: VmId): boolean;
  /** Whether an upstream or its data centre is out of service. */
  isUpstreamOutOfService(upstream: UpstreamId, dataCentre: DataCentreId): boolean;
  ring(dataCentre: DataCentreId): QuotaRing | undefined;
  /** Data centres named in the pools table, sorted. */
  dataCentres(): readonly DataCentreId[];
  /** Adds a listener for applied entries. Returns a function that removes it. */
  onChange(listener: (entry: ConfigurationEntry) => void): () => void;
  /**
   * Withdraws a key on all reachable nodes without waiting for the platform. Resolves when they have
   * been notified. The write to the platform runs in the background and is retried until it succeeds.
   */
  withdrawKey(digest: KeyDigest): Promise<void>;
  start(): Promise<void>;
  stop(): Promise<void>;
}
