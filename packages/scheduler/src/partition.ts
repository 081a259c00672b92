/** Splits a pool into cells, the units of ownership and placement. */
import { cellId, hash32, rankByRendezvous } from '@hibiscusbank/core';
import type { CellId, DataCentreId, UpstreamId } from '@hibiscusbank/core';
import type { PoolEntry, UpstreamEntry, UpstreamRole } from '@hibiscusbank/settings';

/** Upstreams of one cell at most; it bounds the work of one owner. */
export const MAX_CELL_UPSTREAMS = 32;

const ROLES: readonly UpstreamRole[] = ['prefill', 'decode', 'both', 'plain'];

export interface CellPlan {
  readonly id: CellId;
  readonly pool: PoolEntry;
  readonly dataCentre: DataCentreId;
  readonly upstreams: readonly UpstreamEntry[];
}

const plansOfPool = new WeakMap<PoolEntry, readonly CellPlan[]>();

/** Takes the first cell by rendezvous hash that has room left for the role. */
function takeCell(upstream: UpstreamId, room: Map<string, number>): number {
  const open = [...room].filter(([, left]) => left > 0).map(([index]) => index);
  const [index = '0'] = rankByRendezvous(upstream, open);
  room.set(index, (room.get(index) ?? 1) - 1);
  return Number(index);
}

/**
 * Rendezvous hashing alone bounds neither the size of a cell nor its mix of roles. Every role is
 * therefore dealt out with a quota per cell, and the odd ones of each role continue at the cell
 * where the previous role ended.
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
    const room = new Map<string, number>(members.map((_, index) => [String(index), 0]));
    for (let i = 0; i < ofRole.length; i += 1) {
      const index = String((offset + i) % count);
      room.set(index, (room.get(index) ?? 0) + 1);
    }
    offset += ofRole.length;
    for (const upstream of ofRole) members[takeCell(upstream.id, room)]?.push(upstream);
  }
  return members.map((cell, index) => ({
    id: cellId(`${pool.id}/${dataCentre}/${index}`),
    pool,
    dataCentre,
    upstreams: cell,
  }));
}

/** The cells of a pool in all data centres. Equal tables give equal cells on every node. */
export function partitionPool(pool: PoolEntry): readonly CellPlan[] {
  const known = plansOfPool.get(pool);
  if (known !== undefined) return known;
  const dataCentres = [...new Set(pool.upstreams.map((u) => u.dataCentre))].sort();
  const plans = dataCentres.flatMap((dataCentre) =>
    splitDataCentre(
      pool,
      dataCentre,
      pool.upstreams.filter((u) => u.dataCentre === dataCentre),
    ),
  );
  plansOfPool.set(pool, plans);
  return plans;
}

export const canPrefill = (u: UpstreamEntry): boolean => u.role === 'prefill' || u.role === 'both';
export const canDecode = (u: UpstreamEntry): boolean => u.role === 'decode' || u.role === 'both';

/** KV memory of an engine; one without declared blocks is bounded by its slots alone. */
export const memoryLimit = (u: UpstreamEntry): number =>
  u.memoryBlocks > 0 ? u.memoryBlocks : Infinity;

/** Whether upstreams can serve requests of their pool: any server, or a prefill and a decode engine. */
export function hasAllRoles(pool: PoolEntry, upstreams: readonly UpstreamEntry[]): boolean {
  if (pool.kind === 'plain') return upstreams.length > 0;
  return upstreams.some(canPrefill) && upstreams.some(canDecode);
}
