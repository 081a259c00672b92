/** Records when each process was last partitioned, paused or started; checks start their time limits then. */
import { dataCentreId } from '@hibiscusbank/core';
import type { Fleet, NodeInstance } from './fleet.js';
import type { NetworkFaults } from './network-faults.js';
import { DATA_CENTRES } from './site.js';

export interface FaultHistory {
  /** Records the faults that are active now. */
  record(): void;
  /** Returns the last time at which the process was partitioned, cut off from the platform, paused or just started. */
  lastFaultMs(instance: NodeInstance): number;
  /** Returns the last time at which any process was paused or any two data centres were partitioned. */
  lastPartitionOrPauseMs(): number;
}

export interface FaultHistoryOptions {
  readonly nowMs: () => number;
  readonly faults: NetworkFaults;
  readonly running: Fleet['running'];
}

export function createFaultHistory({ nowMs, faults, running }: FaultHistoryOptions): FaultHistory {
  const lastFaultMsByInstance = new Map<NodeInstance, number>();
  let lastPartitionOrPauseMs = nowMs();
  const dataCentres = DATA_CENTRES.map((name) => dataCentreId(name));
  const isPartitionedOrPaused = ({ vm, nodeProcess }: NodeInstance): boolean => {
    const localDataCentre = dataCentreId(vm.dataCentre);
    return (
      nodeProcess.isPaused() ||
      dataCentres.some((other) => faults.isPartitioned(localDataCentre, other))
    );
  };
  const isPlatformUnreachable = ({ vm }: NodeInstance): boolean =>
    !faults.reachesPlatform(dataCentreId(vm.dataCentre));
  return {
    record: () => {
      for (const instance of running()) {
        const isNew = !lastFaultMsByInstance.has(instance);
        const partitionedOrPaused = isPartitionedOrPaused(instance);
        if (partitionedOrPaused) lastPartitionOrPauseMs = nowMs();
        if (isNew || partitionedOrPaused || isPlatformUnreachable(instance))
          lastFaultMsByInstance.set(instance, nowMs());
      }
    },
    lastFaultMs: (instance) => lastFaultMsByInstance.get(instance) ?? nowMs(),
    lastPartitionOrPauseMs: () => lastPartitionOrPauseMs,
  };
}
