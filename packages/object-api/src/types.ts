/** Ports to the platform's services. docs/wire.md describes the HTTP forms. */
import type { DataCentreId, RouterError, VmId } from '@hibiscusbank/core';
import type { ResultAsync } from 'neverthrow';

/** An object and the revision of its last write, which is also its version. */
export interface StoredObject {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
  /** Identifies the write, so that its author recognises it after a lost response. */
  readonly writeId: string;
}

/** A change in revision order; `value` is `undefined` for a deletion. */
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
  readonly changes: readonly ObjectChange[];
}

/** Condition of a write; none means an unconditional write. */
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
  /** Waits up to `waitMs` for changes under the prefix after a revision. */
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): ResultAsync<ChangeBatch, RouterError>;
}

/** A VM as the platform lists it. The list lags. */
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

/** The weight store loads models at a limited rate. */
export interface WeightStore {
  /** Reserves a transfer; resolves to the milliseconds to wait before it may start. */
  reserve(model: string, version: string): ResultAsync<number, RouterError>;
}
