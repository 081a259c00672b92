/** Ports to the platform's services. docs/wire.md describes the HTTP forms. */
import type { DataCentreId, RouterError, VmId } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

/** An object. Its version is the revision of the store at its last write. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  /** Identifies the last write, so that the writer can recognise it after a lost response. */
  readonly writeId: string;
}

/** One change of an object. `value` is `undefined` for a deletion. */
export interface ObjectChange {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  readonly deleted: boolean;
}

export interface ObjectList {
  /** Revision of the whole store at the time of the list. */
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

export interface ChangeBatch {
  /** Revision up to which changes under the prefix are included. */
  readonly revision: number;
  /** In revision order. */
  readonly changes: readonly ObjectChange[];
}

/** Required version or absence of the object. If neither is set, the write is unconditional. */
export interface WriteCondition {
  readonly ifVersion?: number;
  readonly ifAbsent?: boolean;
}

export interface WriteOptions extends WriteCondition {
  readonly writeId: string;
}

/**
 * The platform's object API. Errors: `conflict` (condition not met, `info.currentVersion`),
 * `not_found`, `history_lost` (watch too far behind; list again), `platform_unavailable` (the
 * effect of a write is then unknown).
 */
export interface ObjectApi {
  get(key: string): ResultAsync<StoredObject | undefined, RouterError>;
  list(prefix: string): ResultAsync<ObjectList, RouterError>;
  put(key: string, value: unknown, options: WriteOptions): ResultAsync<StoredObject, RouterError>;
  remove(key: string, options: WriteOptions): ResultAsync<void, RouterError>;
  /** Waits up to `waitMs` for changes under the prefix that are later than revision `after`. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<ChangeBatch, RouterError>;
}

/** A VM in the platform's VM list, which can be out of date. */
export interface ListedVm {
  readonly id: VmId;
  readonly dataCentre: DataCentreId;
  /** `host:port` of the node's peer listener. */
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

export interface VmList {
  read(): ResultAsync<readonly ListedVm[], RouterError>;
}

/** The platform's store of model weights, which limits the rate of transfers. */
export interface WeightStore {
  /** Reserves a transfer. Resolves to the milliseconds to wait before it may start. */
  reserve(model: string, version: string): ResultAsync<number, RouterError>;
}
