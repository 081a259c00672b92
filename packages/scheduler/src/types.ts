/** Placement of requests on engines and upstreams. */
import type {
  CellId,
  DataCentreId,
  GrantId,
  OrganisationId,
  PoolId,
  RequestId,
  RouterError,
  UpstreamId,
  VmId,
} from '@hibiscusbank/core';
import type { UpstreamEntry, Urgency } from '@hibiscusbank/settings';
import type { ResultAsync } from 'neverthrow';

export interface PlacementRequest {
  readonly requestId: RequestId;
  readonly attempt: number;
  /** `undefined` on open routes. */
  readonly organisation: OrganisationId | undefined;
  readonly pool: PoolId;
  /** Tokens to prefill, including text generated so far; 0 for plain upstreams. */
  readonly promptTokens: number;
  /** Expected number of output tokens. */
  readonly expectedTokens: number;
  /** Maximum number of output tokens; bounds the memory. */
  readonly maxTokens: number;
  readonly prefixHashes: readonly number[];
  readonly urgency: Urgency;
  readonly firstTokenTargetMs: number;
  /** Remaining maximum wait for a placement. */
  readonly patienceMs: number;
  /** Remaining time limit of the whole request. */
  readonly timeLimitMs: number;
  /** Upstreams that failed this request, to be avoided. */
  readonly exclude: readonly UpstreamId[];
}

export interface PlacedUpstream {
  readonly upstream: UpstreamId;
  /** Base URL. */
  readonly address: string;
}

/** A reservation of capacity: a prefill and a decode engine in a model pool, or a plain server. */
export interface Grant {
  readonly id: GrantId;
  readonly cell: CellId;
  /** Fencing token of the cell's owner. */
  readonly epoch: number;
  readonly owner: VmId;
  readonly pool: PoolId;
  readonly dataCentre: DataCentreId;
  readonly requestId: RequestId;
  readonly attempt: number;
  readonly target: GrantTarget;
}

export type GrantTarget =
  | {
      readonly kind: 'model';
      readonly prefill: PlacedUpstream;
      readonly decode: PlacedUpstream;
      /** Expected time until the end of the prefill; determines its time limit. */
      readonly prefillMs: number;
      /** Expected time of the KV transfer; determines its time limit. */
      readonly transferMs: number;
    }
  | { readonly kind: 'plain'; readonly server: PlacedUpstream };

export type GrantOutcome =
  | 'completed'
  | 'cancelled'
  /** The upstream refused the request without running it. */
  | 'refused'
  | 'cold'
  | 'failed'
  /** The grant was never used. */
  | 'unused';

/** Report at the end of a prefill or grant. Times are absent when the step did not run. */
export interface ReleaseReport {
  readonly outcome: GrantOutcome;
  /** The upstream to which the outcome belongs. */
  readonly upstream?: UpstreamId;
  readonly prefillMs?: number;
  readonly prefilledTokens?: number;
  readonly cachedTokens?: number;
  readonly decodeMs?: number;
  readonly decodedTokens?: number;
  /** Time to the response of a plain upstream. */
  readonly latencyMs?: number;
}

/** Load of a cell, used for overflow and by `status`. */
export interface CellSummary {
  readonly cell: CellId;
  readonly owner: VmId;
  readonly freeSlots: number;
  readonly slots: number;
  readonly queued: number;
  readonly queueMs: number;
}

export interface Scheduler {
  /**
   * Waits for a placement. Errors: `no_capacity` with `retryAfterMs` (not run), `not_found` for an
   * unknown pool, `cancelled`.
   */
  place(req: PlacementRequest, signal: AbortSignal): ResultAsync<Grant, RouterError>;
  /** Reports the end of the prefill to the owner, which frees the engine. */
  finishPrefill(grant: Grant, report: ReleaseReport): void;
  /** Ends a grant; the release is retried until an owner has acknowledged it. */
  release(grant: Grant, report: ReleaseReport): void;
  /** Makes this node the holder of the grant of a stream that another node started. */
  adopt(requestId: RequestId, attempt: number, upstream: UpstreamId): Promise<void>;
  /** Returns the live grant of an attempt on this node, also after `adopt`. */
  findGrant(requestId: RequestId, attempt: number): Grant | undefined;
  /** Returns the load of the cells that this node owns. */
  ownedCells(): readonly CellSummary[];
  /** Describes the cells and owners that a request for a pool may go to. */
  explain(pool: PoolId): readonly string[];
  start(): Promise<void>;
  /** Gives up all cells and waits until this node's grants are released. */
  leave(): Promise<void>;
  stop(): Promise<void>;
}

/** Expected time to complete the outstanding work of each role in a cell. */
export interface RoleBacklogs {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

export interface CellDescription {
  readonly id: CellId;
  readonly pool: PoolId;
  readonly upstreams: readonly UpstreamEntry[];
  readonly owner: VmId | undefined;
  /** Whether this VM owns the cell and has collected its grants. */
  readonly isOwned: boolean;
}

/** Queries of engine reconciliation and role balancing to the owner of cells. */
export interface OwnerQueries {
  /** Returns whether an owned cell has a grant for the attempt. */
  hasGrant(requestId: RequestId, attempt: number): boolean;
  /** Ends the grant of an attempt that its engine no longer holds. */
  releaseAttempt(requestId: RequestId, attempt: number, report: ReleaseReport): void;
  /** Returns the backlogs, or `undefined` when this VM does not own the cell. */
  backlogs(cell: CellId): RoleBacklogs | undefined;
  /** Lists the cells of the local data centre. */
  listCells(): readonly CellDescription[];
}

/** A node's scheduler: owner of its cells and client of all others. */
export interface CellScheduler extends Scheduler, OwnerQueries {}
