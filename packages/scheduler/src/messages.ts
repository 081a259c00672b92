/** Messages between nodes and cell owners, and their time limits. */
import type { CellId, GrantId, RequestId, UpstreamId, VmId } from '@hibiscusbank/core';
import type { CellSummary, Grant, PlacementRequest, ReleaseReport } from './types.js';

/** An owner replies to a waiting request within this time; the node then polls again. */
export const POLL_INTERVAL_MS = 500;
/** Time-out of one `cell.place` call; a lost reply is detected well before the grant expires. */
export const PLACE_TIMEOUT_MS = 1_000;
/** A waiting request is removed when no node has polled for it within this time. */
export const ABANDONED_WAIT_MS = 2_500;
/** An unconfirmed grant expires on the owner after this time. */
export const CONFIRM_LIMIT_MS = 2_000;
/** Grants of a dead node are kept for this time, so that another node can resume the streams. */
export const RESUME_LIMIT_MS = 5_000;
export const CALL_TIMEOUT_MS = 1_000;

/** A live grant with the data that an owner needs to account for its capacity. */
export interface GrantAllocation {
  readonly grant: Grant;
  readonly blocks: number;
  readonly prefillMs: number;
  readonly expectedTokens: number;
  readonly prefilling: boolean;
}

/** Last known slow-start level of an upstream; the level of a warm one is its capacity. */
export interface SlowStartLevel {
  readonly upstream: UpstreamId;
  readonly level: number;
}

export interface PlaceParams {
  readonly cell: CellId;
  readonly req: PlacementRequest;
  /** Whether the node knows other cells that may have free capacity. */
  readonly mayOverflow: boolean;
}

export type PlaceReply =
  | {
      readonly kind: 'granted';
      readonly filed: GrantAllocation;
      readonly warmth: readonly SlowStartLevel[];
      readonly summary: CellSummary;
    }
  | { readonly kind: 'waiting' | 'overflow'; readonly summary: CellSummary }
  | {
      readonly kind: 'refused';
      readonly message: string;
      readonly retryAfterMs: number;
      readonly summary: CellSummary;
    }
  /** The VM does not own the cell, or no longer does; the node must look up the owner. */
  | { readonly kind: 'moved' };

export interface CancelParams {
  readonly cell: CellId;
  readonly requestId: RequestId;
  readonly attempt: number;
}

export interface ConfirmParams {
  readonly cell: CellId;
  readonly grants: readonly GrantId[];
  /** Complete grants that the owner reported as unknown. */
  readonly filed: readonly GrantAllocation[];
}

export interface ConfirmReply {
  readonly moved: boolean;
  readonly unknown: readonly GrantId[];
}

export interface ReleaseParams {
  readonly cell: CellId;
  readonly grant: GrantId;
  readonly report: ReleaseReport;
  /** Whether the report ends only the prefill, not the grant. */
  readonly prefillOnly: boolean;
}

export interface ReleaseReply {
  readonly moved: boolean;
  readonly summary?: CellSummary;
}

export interface AdoptParams extends CancelParams {
  readonly upstream: UpstreamId;
}

export interface AdoptReply {
  readonly moved: boolean;
  readonly filed?: GrantAllocation;
}

export interface CollectParams {
  readonly cell: CellId;
  readonly epoch: number;
  /** Upstreams of the cell. A table edit that moves an upstream also moves its grants. */
  readonly upstreams: readonly UpstreamId[];
}

export interface CollectReply {
  readonly grants: readonly GrantAllocation[];
  readonly warmth: readonly (SlowStartLevel & { readonly ageMs: number })[];
  /** Highest epoch of the cell that the node has seen. */
  readonly epoch: number;
  /** Owner of the cell according to the node. */
  readonly owner: VmId | undefined;
}

export interface AuditParams {
  readonly grants: readonly GrantId[];
}

export interface AuditReply {
  /** Grants that the node does not hold. */
  readonly unknown: readonly GrantId[];
}
