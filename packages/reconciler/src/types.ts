/** Types shared by the controllers of owned cells. */
import type { CellId, RequestId, UpstreamId } from '@hibiscusbank/core';
import type { PoolEntry, UpstreamEntry } from '@hibiscusbank/settings';

/** A cell that this node owns, with its upstreams. */
export interface OwnedCell {
  readonly cell: CellId;
  readonly pool: PoolEntry;
  readonly upstreams: readonly UpstreamEntry[];
}

/** Identifies one attempt of a request. Engines record holds under it. */
export interface AttemptRef {
  readonly requestId: RequestId;
  readonly attempt: number;
}

/** Estimated time to process the queued work of each role, in milliseconds. */
export interface CellBacklog {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

export type EngineRole = 'prefill' | 'decode' | 'both';

/** Formats an attempt as a key for maps and sets. */
export function formatRef(ref: AttemptRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}

/** Returns the upstreams of owned cells that are engines. */
export function listEngines(cells: readonly OwnedCell[]): readonly UpstreamEntry[] {
  return cells.flatMap(({ upstreams }) => upstreams.filter(({ role }) => role !== 'plain'));
}

/** Returns an estimate of how many leading tokens of a prompt an engine has cached. */
export type FindCachedTokens = (upstream: UpstreamId, prefixHashes: readonly number[]) => number;
