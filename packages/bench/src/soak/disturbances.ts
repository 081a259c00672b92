/** When each process was last cut off, paused or started, so that time limits count from then. */
import { dataCentreId } from '@hibiscusbank/core';
import type { Fleet, Instance } from './fleet.js';
import type { NetworkFaults } from './network-faults.js';
import { DATA_CENTRES } from './site.js';

export interface Disturbances {
  /** Notes the faults that are present now. */
  observe(): void;
  /** Last time at which the process was not fully connected or not running. */
  lastMs(instance: Instance): number;
  /** Last time at which any process was paused or two data centres were cut off from each other. */
  lastSplitMs(): number;
}

export interface DisturbanceOptions {
  readonly nowMs: () => number;
  readonly faults: NetworkFaults;
  readonly running: Fleet['running'];
}

/** Creates the record. */
export function createDisturbances({ nowMs, faults, running }: DisturbanceOptions): Disturbances {
  const last = new Map<Instance, number>();
  let lastSplit = nowMs();
  const names = DATA_CENTRES.map((name) => dataCentreId(name));
  const isSplit = ({ vm, owner }: Instance): boolean => {
    const own = dataCentreId(vm.dataCentre);
    return owner.isPaused() || names.some((other) => faults.isCut(own, other));
  };
  const isCutOff = ({ vm }: Instance): boolean =>
    !faults.reachesPlatform(dataCentreId(vm.dataCentre));
  return {
    observe: () => {
      for (const instance of running()) {
        const isNew = !last.has(instance);
        const split = isSplit(instance);
        if (split) lastSplit = nowMs();
        if (isNew || split || isCutOff(instance)) last.set(instance, nowMs());
      }
    },
    lastMs: (instance) => last.get(instance) ?? nowMs(),
    lastSplitMs: () => lastSplit,
  };
}
