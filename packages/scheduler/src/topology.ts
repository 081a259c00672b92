/** Derives cells, owners and service state of upstreams from configuration and membership. */
import { pickByRendezvous } from '@hibiscusbank/core';
import type { CellId, DataCentreId, PoolId, UpstreamId, VmId } from '@hibiscusbank/core';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Membership } from '@hibiscusbank/peers';
import type { UpstreamEntry } from '@hibiscusbank/settings';
import { canDecode, hasAllRoles, partitionPool } from './partition.js';
import type { CellPlan } from './partition.js';

export interface Topology {
  cells(pool: PoolId): readonly CellPlan[];
  cellsIn(dataCentre: DataCentreId): readonly CellPlan[];
  find(cell: CellId): CellPlan | undefined;
  /** Returns the current cell of an upstream, also if another cell issued a grant on it. */
  findByUpstream(pool: PoolId, upstream: UpstreamId): CellPlan | undefined;
  findOwner(cell: CellPlan): VmId | undefined;
  isOutOfService(upstream: UpstreamEntry): boolean;
  /** Returns the concurrent requests that upstreams in service can serve; 0 without all roles. */
  capacity(cell: CellPlan): number;
}

/** Creates the topology that a node derives from its configuration and membership. */
export function createTopology(
  configuration: ConfigurationReplica,
  membership: Membership,
): Topology {
  const cells = (pool: PoolId): readonly CellPlan[] => {
    const entry = configuration.pools().get(pool);
    return entry === undefined ? [] : partitionPool(entry);
  };
  const isOutOfService = (u: UpstreamEntry): boolean =>
    configuration.isUpstreamOutOfService(u.id, u.dataCentre);
  return {
    cells,
    cellsIn: (dataCentre) =>
      [...configuration.pools().values()]
        .flatMap((pool) => partitionPool(pool))
        .filter((cell) => cell.dataCentre === dataCentre),
    find: (cell) => {
      const pool = cell.slice(0, cell.indexOf('/')) as PoolId;
      return cells(pool).find((plan) => plan.id === cell);
    },
    findByUpstream: (pool, upstream) =>
      cells(pool).find((plan) => plan.upstreams.some((u) => u.id === upstream)),
    findOwner: (cell) => {
      const live = membership.listLive(cell.dataCentre);
      const inService = live.filter((vm) => !configuration.isVmOutOfService(vm));
      return pickByRendezvous(cell.id, inService.length > 0 ? inService : live);
    },
    isOutOfService,
    capacity: (cell) => {
      const usable = cell.upstreams.filter((u) => !isOutOfService(u));
      if (!hasAllRoles(cell.pool, usable)) return 0;
      return usable
        .filter((u) => u.role === 'plain' || canDecode(u))
        .reduce((sum, u) => sum + u.capacity, 0);
    },
  };
}
