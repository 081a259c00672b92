/** Grants that this node holds: what it confirms, reports to new owners and has to release. */
import { monotonicMs } from '@hibiscusbank/core';
import type { CellId, GrantId, RequestId, UpstreamId } from '@hibiscusbank/core';
import { refKey, slotUpstream, upstreamsOf } from './cell-state.js';
import type { CollectParams, CollectReply, FiledGrant, Warmth } from './messages.js';
import type { Topology } from './topology.js';
import type { Grant, ReleaseReport } from './types.js';

/** Slow-start levels kept; a node meets the upstreams of its own data centre above all. */
const MAX_WARMTH = 20_000;

export interface GrantLedger {
  add(filed: FiledGrant, warmth: readonly Warmth[]): void;
  /** Returns whether the grant was live. */
  remove(id: GrantId, report: ReleaseReport): boolean;
  markPrefilled(id: GrantId): void;
  find(id: GrantId): FiledGrant | undefined;
  findByRef(requestId: RequestId, attempt: number): Grant | undefined;
  live(): readonly FiledGrant[];
  /** Whether a later owner of the cell has been seen. Otherwise remembers the epoch. */
  isStale(grant: Grant): boolean;
  collect(params: CollectParams): CollectReply;
}

/** Creates the ledger of one node. */
export function createGrantLedger(topology: Topology): GrantLedger {
  const live = new Map<GrantId, FiledGrant>();
  const byRef = new Map<string, GrantId>();
  const epochs = new Map<CellId, number>();
  const levels = new Map<UpstreamId, { level: number; at: number }>();

  const remember = (upstream: UpstreamId, level: number): void => {
    levels.delete(upstream);
    levels.set(upstream, { level, at: monotonicMs() });
    if (levels.size <= MAX_WARMTH) return;
    const oldest = levels.keys().next().value;
    if (oldest !== undefined) levels.delete(oldest);
  };

  return {
    add: (filed, warmth) => {
      const { grant } = filed;
      live.set(grant.id, filed);
      byRef.set(refKey(grant.requestId, grant.attempt), grant.id);
      for (const { upstream, level } of warmth) remember(upstream, level);
    },
    remove: (id, report) => {
      const filed = live.get(id);
      if (filed === undefined) return false;
      live.delete(id);
      byRef.delete(refKey(filed.grant.requestId, filed.grant.attempt));
      if (report.outcome === 'cold') {
        remember(report.upstream ?? slotUpstream(filed.grant.target), 0);
      }
      return true;
    },
    markPrefilled: (id) => {
      const filed = live.get(id);
      if (filed !== undefined) live.set(id, { ...filed, prefilling: false });
    },
    find: (id) => live.get(id),
    findByRef: (requestId, attempt) => {
      const id = byRef.get(refKey(requestId, attempt));
      return id === undefined ? undefined : live.get(id)?.grant;
    },
    live: () => [...live.values()],
    isStale: ({ cell, epoch }) => {
      const seen = epochs.get(cell) ?? 0;
      if (epoch < seen) return true;
      epochs.set(cell, epoch);
      return false;
    },
    collect: (params) => {
      const now = monotonicMs();
      const upstreams = new Set(params.upstreams);
      const seen = epochs.get(params.cell) ?? 0;
      epochs.set(params.cell, Math.max(seen, params.epoch));
      const plan = topology.find(params.cell);
      return {
        grants: [...live.values()].filter(({ grant }) =>
          upstreamsOf(grant.target).some((id) => upstreams.has(id)),
        ),
        warmth: params.upstreams.flatMap((upstream) => {
          const known = levels.get(upstream);
          return known === undefined
            ? []
            : [{ upstream, level: known.level, ageMs: now - known.at }];
        }),
        epoch: seen,
        owner: plan === undefined ? undefined : topology.findOwner(plan),
      };
    },
  };
}
