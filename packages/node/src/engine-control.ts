/** Connects the reconciler, the cell leases and the scheduler of one node. */
import { randomUUID } from 'node:crypto';
import { rankByRendezvous } from '@hibiscusbank/core';
import type { CellId, PoolId, Telemetry, UpstreamId } from '@hibiscusbank/core';
import { configurationKeys } from '@hibiscusbank/configuration';
import type { ConfigurationReplica } from '@hibiscusbank/configuration';
import type { Membership, PeerIdentity, PeerNetwork } from '@hibiscusbank/peers';
import { putResolved } from '@hibiscusbank/object-api';
import type { ObjectApi } from '@hibiscusbank/object-api';
import { createCacheIndex, createModelOrders, createOrphanSweeper } from '@hibiscusbank/reconciler';
import type { CacheIndex, FindCachedTokens, OwnedCell } from '@hibiscusbank/reconciler';
import type { CellScheduler } from '@hibiscusbank/scheduler';
import type { PoolEntry, UpstreamEntry, UpstreamRole } from '@hibiscusbank/settings';
import { createCellLeases } from './cell-leases.js';
import type { NodePorts } from './types.js';

export interface EngineControlOptions {
  readonly self: PeerIdentity;
  readonly ports: NodePorts;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly telemetry: Telemetry;
  /** Returns the scheduler, which is created later because it needs the engine control. */
  readonly getScheduler: () => CellScheduler | undefined;
}

export interface EngineControl {
  /** The configuration, with engines that are changing role reported as out of service. */
  readonly configuration: ConfigurationReplica;
  readonly findCachedTokens: FindCachedTokens;
  /** Records the prefixes of a prompt that an engine is about to prefill. */
  readonly onPrefill: CacheIndex['recordPlacement'];
  epochIfHeld(cell: CellId): number | undefined;
  /** Returns whether this VM may use a share of the cold limits while no node holds the lease. */
  hasColdShare(cell: CellId): boolean;
  /** Makes sweeps for orphaned holds more frequent after a grant of a dead node was dropped. */
  onAbandoned(): void;
  start(): void;
  stop(): Promise<void>;
}

/** Number of VMs in a data centre that share the cold limits while no node holds the lease. */
const COLD_SHARE_VM_COUNT = 2;

/**
 * Changes the role of one upstream in the pools table. Resolves to false if the pool could not be
 * read or written, or changed between the read and the write.
 */
async function writeRole(
  objectApi: ObjectApi,
  poolId: PoolId,
  upstream: UpstreamId,
  role: UpstreamRole,
): Promise<boolean> {
  const key = configurationKeys.pool(poolId);
  const stored = await objectApi.get(key);
  if (stored.isErr() || stored.value === undefined) return false;
  const pool = stored.value.value as PoolEntry;
  const upstreams = pool.upstreams.map((entry) =>
    entry.id === upstream ? { ...entry, role } : entry,
  );
  const written = await putResolved(
    objectApi,
    key,
    { ...pool, upstreams },
    {
      ifVersion: stored.value.version,
      writeId: randomUUID(),
    },
  );
  return written.isOk();
}

export function createEngineControl(options: EngineControlOptions): EngineControl {
  const { self, ports, network, membership, configuration, telemetry } = options;
  const { engines, objectApi, weightStore } = ports;

  const listOwnedCells = (): readonly OwnedCell[] => {
    const cells = options.getScheduler()?.listCells() ?? [];
    return cells.flatMap(({ id, pool, upstreams, isOwned }) => {
      const entry = configuration.pools().get(pool);
      return isOwned && entry !== undefined ? [{ cell: id, pool: entry, upstreams }] : [];
    });
  };

  const leases = createCellLeases({
    self: self.vm,
    objectApi,
    telemetry,
    listOwnedCells: () => listOwnedCells().map(({ cell }) => cell),
  });
  const sweeper = createOrphanSweeper({
    engines,
    membership,
    network,
    telemetry,
    listCells: listOwnedCells,
    isGranted: ({ requestId, attempt }) =>
      options.getScheduler()?.hasGrant(requestId, attempt) ?? false,
    isRunningHere: ({ requestId, attempt }) =>
      options.getScheduler()?.findGrant(requestId, attempt) !== undefined,
  });
  const cacheIndex = createCacheIndex({ engines, telemetry, listCells: listOwnedCells });
  const orders = createModelOrders({
    engines,
    weightStore,
    telemetry,
    listCells: listOwnedCells,
    epochIfHeld: leases.epochIfHeld,
    readBacklog: (cell) => options.getScheduler()?.backlogs(cell) ?? { prefillMs: 0, decodeMs: 0 },
    writeRole: (pool, upstream, role) => writeRole(objectApi, pool, upstream, role),
  });

  /**
   * Index of the upstreams by id, rebuilt after each change of the configuration. Placement looks
   * up each candidate upstream, so a search through the pools would cost too much.
   */
  const entriesById = new Map<UpstreamId, UpstreamEntry>();
  let indexedRevision = -1;
  const findEntry = (upstream: UpstreamId): UpstreamEntry | undefined => {
    if (indexedRevision !== configuration.revision()) {
      entriesById.clear();
      for (const pool of configuration.pools().values()) {
        for (const entry of pool.upstreams) entriesById.set(entry.id, entry);
      }
      indexedRevision = configuration.revision();
    }
    return entriesById.get(upstream);
  };
  const isAwaitingRoleChange = (upstream: UpstreamId): boolean => {
    const entry = findEntry(upstream);
    return entry !== undefined && orders.isAwaitingRoleChange(entry);
  };

  let unsubscribe = (): void => {};
  return {
    configuration: {
      ...configuration,
      isUpstreamOutOfService: (upstream, dataCentre) =>
        configuration.isUpstreamOutOfService(upstream, dataCentre) ||
        isAwaitingRoleChange(upstream),
    },
    findCachedTokens: cacheIndex.findCachedTokens,
    onPrefill: cacheIndex.recordPlacement,
    epochIfHeld: leases.epochIfHeld,
    hasColdShare: (cell) => {
      const ring = configuration.ring(self.dataCentre)?.members ?? [];
      return rankByRendezvous(cell, ring).slice(0, COLD_SHARE_VM_COUNT).includes(self.vm);
    },
    onAbandoned: sweeper.expedite,
    start: () => {
      unsubscribe = membership.onChange((member) => {
        if (member.state === 'dead') sweeper.expedite();
      });
      leases.start();
      sweeper.start();
      cacheIndex.start();
      orders.start();
    },
    stop: async () => {
      unsubscribe();
      sweeper.stop();
      cacheIndex.stop();
      orders.stop();
      await leases.stop();
    },
  };
}
