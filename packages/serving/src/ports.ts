/** Ports that an adapter implements for the services around a node. */
import type { Result } from 'neverthrow';
import type {
  EngineRole,
  KvHandle,
  SendFailure,
  ServingTables,
  ServingUpstream,
  UpstreamReply,
  UpstreamSend,
} from './types.js';

export interface RoleOrder {
  readonly upstream: ServingUpstream;
  readonly role: EngineRole;
  /** Node that orders. */
  readonly holder: string;
  /** Fencing token; a later holder has a higher one. */
  readonly epoch: number;
  readonly signal: AbortSignal;
}

/** Calls to upstreams. Every call ends within the time limit of its signal. */
export interface UpstreamTransport {
  /** Sends a request; an answer that says that it did not run is a failure `not_run`. */
  send(send: UpstreamSend): Promise<Result<UpstreamReply, SendFailure>>;
  /** Has the prompt read; the KV cache is kept for a short time. */
  prefill(send: UpstreamSend): Promise<Result<KvHandle, SendFailure>>;
  /** Reserves memory and a slot on an engine; resolves to the id of the reservation. */
  reserve(
    upstream: ServingUpstream,
    tokens: number,
    ttlMs: number,
    signal: AbortSignal,
  ): Promise<Result<string, SendFailure>>;
  /** Gives a reservation back that no request uses. */
  dropReservation(upstream: ServingUpstream, reservation: string): void;
  /** Orders an engine to another role; running work ends first. */
  orderRole(order: RoleOrder): Promise<Result<void, SendFailure>>;
  /** Frees a KV cache that nobody fetches. */
  dropHandle(handle: KvHandle): void;
  /** Closes connections to upstreams that are gone. */
  retain(upstreams: readonly ServingUpstream[]): void;
}

/** An object of the platform's store, decoded as far as its kind needs. */
export interface StoredEntry {
  readonly name: string;
  /** Revision of its last change. */
  readonly revision: number;
  readonly value: unknown;
}

export interface EntryList {
  readonly entries: readonly StoredEntry[];
  /** Revision of the store when the list was read. */
  readonly revision: number;
}

export interface EntryChange extends StoredEntry {
  readonly isRemoved: boolean;
}

export interface EntryChanges {
  readonly changes: readonly EntryChange[];
  /** Revision to continue from. */
  readonly revision: number;
}

export type StoreFailure = 'unavailable' | 'history_lost' | 'conflict' | 'absent';

/** Entries of one kind in the platform's store. */
export interface EntryStore {
  list(options?: { readonly allowStale?: boolean }): Promise<Result<EntryList, StoreFailure>>;
  /** Waits up to `waitMs` for changes after a revision. */
  watch(revision: number, waitMs: number): Promise<Result<EntryChanges, StoreFailure>>;
  /** Creates an entry, or replaces it when `revision` is that of its last change. */
  write(
    name: string,
    value: unknown,
    revision: number | undefined,
  ): Promise<Result<StoredEntry, StoreFailure>>;
  read(name: string): Promise<Result<StoredEntry, StoreFailure>>;
  remove(name: string, revision: number): Promise<Result<void, StoreFailure>>;
}

/** Decoders of the entries that the platform and its operators write. */
export interface EntryDecoders {
  /** Name of the entry that holds the newest tables. */
  readonly tablesName: string;
  /** `undefined` for an entry that cannot be read. */
  readonly tables: (value: unknown) => ServingTables | undefined;
  readonly upstream: (name: string, value: unknown) => ServingUpstream | undefined;
}
