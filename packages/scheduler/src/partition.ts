/** Partitions a pool into cells, the units of ownership and placement. */
import { cellId, hash32, rankByRendezvous } from '@hibiscusbank/core';
import type { CellId, DataCentreId, UpstreamId } from '@hibiscusbank/core';
import type { PoolEntry, UpstreamEntry, UpstreamRole } from '@hibiscusbank/settings';

/** Maximum number of upstreams per cell; bounds the work of one owner. */
export const MAX_CELL_UPSTREAMS = 32;

const ROLES: readonly UpstreamRole[] = ['prefill', 'decode', 'both', 'plain'];

export interface CellPlan {
  readonly id: CellId;
  readonly pool: PoolEntry;
  readonly dataCentre: DataCentreId;
  readonly upstreams: readonly UpstreamEntry[];
}

const plansByPool = new WeakMap<PoolEntry, readonly CellPlan[]>();

/** Returns the first cell by rendezvous hash with quota left, and decrements its quota. */
function assignCell(upstream: UpstreamId, quotas: Map<string, number>): number {
  const withQuotaLeft = [...quotas].filter(([, quota]) => quota > 0).map(([index]) => index);
  const [index = '0'] = rankByRendezvous(upstream, withQuotaLeft);
  quotas.set(index, (quotas.get(index) ?? 1) - 1);
  return Number(index);
}

/**
 * Splits the upstreams of one data centre into cells. Rendezvous hashing alone bounds neither the
 * size of a cell nor its mix of roles, so each role has a quota per cell. The remainder of each
 * role starts at the cell where that of the previous role ended.
 */
function splitDataCentre(
  pool: PoolEntry,
  dataCentre: DataCentreId,
  upstreams: readonly UpstreamEntry[],
): CellPlan[] {
  const count = Math.ceil(upstreams.length / MAX_CELL_UPSTREAMS);
  const members: UpstreamEntry[][] = Array.from({ length: count }, () => []);
  let offset = 0;
  for (const role of ROLES) {
    const ofRole = upstreams
      .filter((u) => u.role === role)
      .sort((a, b) => hash32(a.id) - hash32(b.id) || (a.id < b.id ? -1 : 1));
    const quotas = new Map<string, number>(members.map((_, index) => [String(index), 0]));
    for (let i = 0; i < ofRole.length; i += 1) {
      const index = String((offset + i) % count);
      quotas.set(index, (quotas.get(index) ?? 0) + 1);
    }
    offset += ofRole.length;
    for (const upstream of ofRole) members[assignCell(upstream.id, quotas)]?.push(upstream);
  }
  return members.map((cell, index) => ({
    id: cellId(`${pool.id}/${dataCentre}/${index}`),
    pool,
    dataCentre,
    upstreams: cell,
  }));
}

/** Returns the cells of a pool in all data centres. Equal tables give equal cells on every node. */
export function partitionPool(pool: PoolEntry): readonly CellPlan[] {
  const cached = plansByPool.get(pool);
  if (cached !== undefined) return cached;
  const dataCentres = [...new Set(pool.upstreams.map((u) => u.dataCentre))].sort();
  const plans = dataCentres.flatMap((dataCentre) =>
    splitDataCentre(
      pool,
      dataCentre,
      pool.upstreams.filter((u) => u.dataCentre === dataCentre),
    ),
  );
  plansByPool.set(pool, plans);
  return plans;
}

export const canPrefill = (u: UpstreamEntry): boolean => u.role === 'prefill' || u.role === 'both';
export const canDecode = (u: UpstreamEntry): boolean => u.role === 'decode' || u.role === 'both';

/** Returns the KV cache blocks of an engine; without declared blocks, only its slots limit it. */
export const memoryLimit = (u: UpstreamEntry): number =>
  u.memoryBlocks > 0 ? u.memoryBlocks : Infinity;

/** Returns whether the upstreams can serve the pool: any server, or prefill and decode engines. */
export function hasAllRoles(pool: PoolEntry, upstreams: readonly UpstreamEntry[]): boolean {
  if (pool.kind === 'plain') return upstreams.length > 0;
  return upstreams.some(canPrefill) && upstreams.some(canDecode);
}
