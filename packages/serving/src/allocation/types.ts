/** Types of the allocation of capacity on upstreams that many nodes share. */
import type { Branded, DataCentreId, PoolId, UpstreamId } from '@hibiscusbank/core';

/** A group of upstreams whose capacity one node allocates. */
export type AllocationCell = Branded<'AllocationCell'>;

/** `run`: places and memory for runs; `prefill`: the queues of prefill engines. */
export type CellKind = 'run' | 'prefill';

export interface CellKey {
  readonly id: AllocationCell;
  readonly kind: CellKind;
  readonly pool: PoolId;
  /** `undefined` for a cell that contains the upstreams of all data centres. */
  readonly dataCentre: DataCentreId | undefined;
}

/** What a request takes on an upstream. A request at a plain upstream takes no tokens. */
export interface CapacityUse {
  readonly requests: number;
  readonly tokens: number;
}

/** What one node holds on one upstream. */
export type Holding = readonly [upstream: string, requests: number, tokens: number];

/** An upstream as an allocator sees it. */
export interface AllocationCandidate {
  readonly id: UpstreamId;
  readonly dataCentre: DataCentreId;
  /** Maximum requests and tokens; tokens of 0 are not counted. */
  readonly capacity: CapacityUse;
  /** Whether it takes more than its capacity and queues the rest. */
  readonly isQueueing: boolean;
  /** Preference among upstreams with the same load, in fractions of the capacity; lower is better. */
  readonly penalty: number;
  /** Use that the nodes report, for upstreams whose holders are not known yet. */
  readonly reported: CapacityUse;
}

/** What a request asks for. */
export interface AllocationAsk {
  readonly tokens: number;
  readonly organisation: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time for which the request can wait and still be on target. */
  readonly onTargetMs: number;
  /** Maximum wait; 0 for a request that goes elsewhere instead. */
  readonly maxWaitMs: number;
  /** Data centre that is preferred. */
  readonly dataCentre: string;
  /** Upstreams that it must not get. */
  readonly excluded: readonly string[];
}

export type AllocationDecision =
  | { readonly kind: 'granted'; readonly upstream: UpstreamId; readonly aheadTokens: number }
  /** It cannot be served in time; `waitMs` is the expected wait. */
  | { readonly kind: 'refused'; readonly waitMs: number }
  /** No allocator answers. */
  | { readonly kind: 'unanswered' };
