/** Messages between nodes and cell owners. */
import type { CellId, GrantId, RequestId, UpstreamId, VmId } from '@hibiscusbank/core';
import type { CellSummary, Grant, PlacementRequest, ReleaseReport } from './types.js';

/** An owner answers a waiting request within this time; the node then asks again. */
export const POLL_MS = 500;
/** Time limit of one `cell.place`; a lost reply is noticed well before the grant expires. */
export const PLACE_TIMEOUT_MS = 1_000;
/** A waiting request that no node has asked for within this time is dropped. */
export const ABANDONED_WAIT_MS = 2_500;
/** An unconfirmed grant expires at the owner after this time. */
export const CONFIRM_LIMIT_MS = 2_000;
/** Grants of a dead node are kept this long for resume. */
export const RESUME_LIMIT_MS = 5_000;
export const CALL_TIMEOUT_MS = 1_000;

/** A live grant with what an owner needs to account for it. */
export interface FiledGrant {
  readonly grant: Grant;
  readonly blocks: number;
  readonly prefillMs: number;
  readonly expectedTokens: number;
  readonly prefilling: boolean;
}

/** Slow-start level that an upstream had; the capacity when warm. */
export interface Warmth {
  readonly upstream: UpstreamId;
  readonly level: number;
}

export interface PlaceParams {
  readonly cell: CellId;
  readonly req: PlacementRequest;
  /** Whether the node knows other cells that may have room. */
  readonly mayOverflow: boolean;
}

export type PlaceReply =
  | {
      readonly kind: 'granted';
      readonly filed: FiledGrant;
      readonly warmth: readonly Warmth[];
      readonly summary: CellSummary;
    }
  | { readonly kind: 'waiting' | 'overflow'; readonly summary: CellSummary }
  | {
      readonly kind: 'refused';
      readonly message: string;
      readonly retryAfterMs: number;
      readonly summary: CellSummary;
    }
  /** This VM does not own the cell (any more); ask the owner. */
  | { readonly kind: 'moved' };

export interface CancelParams {
  readonly cell: CellId;
  readonly requestId: RequestId;
  readonly attempt: number;
}

export interface ConfirmParams {
  readonly cell: CellId;
  readonly grants: readonly GrantId[];
  /** Grants in full, after the owner has said that it does not know them. */
  readonly filed: readonly FiledGrant[];
}

export interface ConfirmReply {
  readonly moved: boolean;
  readonly unknown: readonly GrantId[];
}

export interface ReleaseParams {
  readonly cell: CellId;
  readonly grant: GrantId;
  readonly report: ReleaseReport;
  /** Whether only the prefill has ended. */
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
  readonly filed?: FiledGrant;
}

export interface CollectParams {
  readonly cell: CellId;
  readonly epoch: number;
  /** Upstreams of the cell: grants follow their upstream when a table edit moves it. */
  readonly upstreams: readonly UpstreamId[];
}

export interface CollectReply {
  readonly grants: readonly FiledGrant[];
  readonly warmth: readonly (Warmth & { readonly ageMs: number })[];
  /** Highest epoch that the node has seen for the cell. */
  readonly epoch: number;
  /** Owner of the cell in the node's view. */
  readonly owner: VmId | undefined;
}

export interface AuditParams {
  readonly grants: readonly GrantId[];
}

export interface AuditReply {
  /** Those that the node does not hold. */
  readonly unknown: readonly GrantId[];
}
