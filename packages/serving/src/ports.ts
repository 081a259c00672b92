/**
 * Interfaces through which a node calls upstreams, uses the platform's store and decodes its
 * entries. An adapter for the platform implements them.
 */
import type { Result } from 'neverthrow';
import type { RolloutOrder } from './rollouts/types.js';
import type { WritingOrder } from './restored-entries.js';
import type { StorePosition } from './store-era.js';
import type {
  EngineRole,
  KvHandle,
  SendFailure,
  ServingTables,
  ServingUpstream,
  UpstreamReply,
  UpstreamSend,
  UpstreamStatement,
} from './types.js';

export interface RoleOrder {
  readonly upstream: ServingUpstream;
  readonly role: EngineRole;
  /** Name of the node that sends the order. */
  readonly holder: string;
  /** Fencing token; each new lease holder has a higher one. */
  readonly epoch: number;
  readonly signal: AbortSignal;
}

/** Calls to upstreams. Every call ends when its signal aborts. */
export interface UpstreamTransport {
  /**
   * Sends a request. A response which states that the request did not run is a failure with effect
   * `not_run`.
   */
  send(send: UpstreamSend): Promise<Result<UpstreamReply, SendFailure>>;
  /** Prefills a prompt. The engine keeps the KV cache for a short time. */
  prefill(send: UpstreamSend): Promise<Result<KvHandle, SendFailure>>;
  /** Reserves memory and a slot on an engine. Resolves to the id of the reservation. */
  reserve(
    upstream: ServingUpstream,
    tokens: number,
    ttlMs: number,
    signal: AbortSignal,
  ): Promise<Result<string, SendFailure>>;
  /**
   * Whether the upstream's process accepts connections; `undefined` when that can't be told, as in a
   * partition.
   */
  isListening(upstream: ServingUpstream): Promise<boolean | undefined>;
  /** Releases an unused reservation. */
  dropReservation(upstream: ServingUpstream, reservation: string): void;
  /** Orders an engine to change role after its running requests finish. */
  orderRole(order: RoleOrder): Promise<Result<void, SendFailure>>;
  /** Releases a KV cache that no engine will fetch. */
  dropHandle(handle: KvHandle): void;
  /** Registers the function that receives what upstreams state in their responses. */
  onStatement(listener: (upstream: ServingUpstream, statement: UpstreamStatement) => void): void;
  /** Closes connections to all upstreams except the given ones. */
  retain(upstreams: readonly ServingUpstream[]): void;
}

/** An entry in the platform's store, at the position of its last change. */
export interface StoredEntry extends StorePosition {
  readonly name: string;
  readonly value: unknown;
}

/** All entries of a kind, at the position of the store when they were read. */
export interface EntryList extends StorePosition {
  readonly entries: readonly StoredEntry[];
}

export interface EntryChange extends StoredEntry {
  readonly isRemoved: boolean;
}

/** Changes up to a position, after which the next watch continues. */
export interface EntryChanges extends StorePosition {
  readonly changes: readonly EntryChange[];
}

/**
 * `history_lost`: the store does not have the changes after the given position, of an earlier era in
 * particular; `conflict`: the last change of the entry is another one than expected; `absent`: there
 * is no such entry.
 */
export type StoreFailure = 'unavailable' | 'history_lost' | 'conflict' | 'absent';

/** Access to the entries of one kind in the platform's store. */
export interface EntryStore {
  list(options?: { readonly allowStale?: boolean }): Promise<Result<EntryList, StoreFailure>>;
  /** Waits up to `waitMs` for changes after a position, less if the signal aborts. */
  watch(
    after: StorePosition,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<EntryChanges, StoreFailure>>;
  /** Creates an entry, or replaces it when `expected` is the position of its last change. */
  write(
    name: string,
    value: unknown,
    expected: StorePosition | undefined,
  ): Promise<Result<StoredEntry, StoreFailure>>;
  /**
   * Replaces what the router reports of an entry when `expected` is the position of its last change.
   */
  writeStatus(
    name: string,
    status: unknown,
    expected: StorePosition,
  ): Promise<Result<StoredEntry, StoreFailure>>;
  read(name: string): Promise<Result<StoredEntry, StoreFailure>>;
  /** Removes an entry when `expected` is the position of its last change. */
  remove(name: string, expected: StorePosition): Promise<Result<void, StoreFailure>>;
}

/** Decoders for entries that the platform and its operators write. */
export interface EntryDecoders {
  /** Name of the entry that holds the current configuration. */
  readonly tablesName: string;
  /** Returns `undefined` for an invalid entry. */
  readonly tables: (value: unknown) => ServingTables | undefined;
  readonly upstream: (name: string, value: unknown) => ServingUpstream | undefined;
  readonly rollout: (name: string, value: unknown) => RolloutOrder | undefined;
  /** Order of the writings of the configuration and of an upstream's entry. */
  readonly tablesOrder: WritingOrder;
  readonly upstreamOrder: WritingOrder;
}
