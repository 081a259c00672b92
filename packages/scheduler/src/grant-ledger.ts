/** Records the grants that this node holds until it releases them, and reports them to new owners. */
import { monotonicMs } from '@hibiscusbank/core';
import type { CellId, GrantId, RequestId, UpstreamId } from '@hibiscusbank/core';
import { attemptKey, slotUpstream, upstreamsOf } from './cell-state.js';
import type { CollectParams, CollectReply, GrantAllocation, SlowStartLevel } from './messages.js';
import type { Topology } from './topology.js';
import type { Grant, ReleaseReport } from './types.js';

/** Maximum number of recorded slow-start levels, most for upstreams of the local data centre. */
const MAX_SLOW_START_LEVELS = 20_000;

export interface GrantLedger {
  add(allocation: GrantAllocation, slowStartLevels: readonly SlowStartLevel[]): void;
  /** Returns whether the grant was live. */
  remove(id: GrantId, report: ReleaseReport): boolean;
  markPrefilled(id: GrantId): void;
  find(id: GrantId): GrantAllocation | undefined;
  findByAttempt(requestId: RequestId, attempt: number): Grant | undefined;
  live(): readonly GrantAllocation[];
  /** Returns whether the node has seen a higher epoch of the cell; if not, records the grant's. */
  isStale(grant: Grant): boolean;
  collect(params: CollectParams): CollectReply;
}

/** Creates the ledger of one node. */
export function createGrantLedger(topology: Topology): GrantLedger {
  const live = new Map<GrantId, GrantAllocation>();
  const grantsByAttempt = new Map<string, GrantId>();
  const epochs = new Map<CellId, number>();
  const levels = new Map<UpstreamId, { level: number; at: number }>();

  const recordLevel = (upstream: UpstreamId, level: number): void => {
    levels.delete(upstream);
    levels.set(upstream, { level, at: monotonicMs() });
    if (levels.size <= MAX_SLOW_START_LEVELS) return;
    const oldest = levels.keys().next().value;
    if (oldest !== undefined) levels.delete(oldest);
  };

  return {
    add: (allocation, slowStartLevels) => {
      const { grant } = allocation;
      live.set(grant.id, allocation);
      grantsByAttempt.set(attemptKey(grant.requestId, grant.attempt), grant.id);
      for (const { upstream, level } of slowStartLevels) recordLevel(upstream, level);
    },
    remove: (id, report) => {
      const allocation = live.get(id);
      if (allocation === undefined) return false;
      live.delete(id);
      grantsByAttempt.delete(attemptKey(allocation.grant.requestId, allocation.grant.attempt));
      if (report.outcome === 'cold') {
        recordLevel(report.upstream ?? slotUpstream(allocation.grant.target), 0);
      }
      return true;
    },
    markPrefilled: (id) => {
      const allocation = live.get(id);
      if (allocation !== undefined) live.set(id, { ...allocation, prefilling: false });
    },
    find: (id) => live.get(id),
    findByAttempt: (requestId, attempt) => {
      const id = grantsByAttempt.get(attemptKey(requestId, attempt));
      return id === undefined ? undefined : live.get(id)?.grant;
    },
    live: () => [...live.values()],
    isStale: ({ cell, epoch }) => {
      const latestEpoch = epochs.get(cell) ?? 0;
      if (epoch < latestEpoch) return true;
      epochs.set(cell, epoch);
      return false;
    },
    collect: (params) => {
      const now = monotonicMs();
      const upstreams = new Set(params.upstreams);
      const latestEpoch = epochs.get(params.cell) ?? 0;
      epochs.set(params.cell, Math.max(latestEpoch, params.epoch));
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
        epoch: latestEpoch,
        owner: plan === undefined ? undefined : topology.findOwner(plan),
      };
    },
  };
}
