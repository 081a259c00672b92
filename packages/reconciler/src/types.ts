/** What reconciliation knows of the cells that this node owns. */
import type { CellId, RequestId, UpstreamId } from '@hibiscusbank/core';
import type { PoolEntry, UpstreamEntry } from '@hibiscusbank/settings';

/** A cell that this node owns, with its upstreams. */
export interface OwnedCell {
  readonly cell: CellId;
  readonly pool: PoolEntry;
  readonly upstreams: readonly UpstreamEntry[];
}

/** One attempt of a request, as engines file what they hold. */
export interface HoldRef {
  readonly requestId: RequestId;
  readonly attempt: number;
}

/** Time that the work waiting for each role would take, in milliseconds. */
export interface CellBacklog {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

export type EngineRole = 'prefill' | 'decode' | 'both';

/** Text form of a reference, for maps and sets. */
export function formatRef(ref: HoldRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}

/** Finds the engines among the upstreams of owned cells. */
export function listEngines(cells: readonly OwnedCell[]): readonly UpstreamEntry[] {
  return cells.flatMap(({ upstreams }) => upstreams.filter(({ role }) => role !== 'plain'));
}

/** Reads the estimate of cached tokens of an engine for a prompt. */
export type FindCachedTokens = (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
