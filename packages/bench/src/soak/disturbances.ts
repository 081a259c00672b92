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
  /** Last time at which any process or link was disturbed. */
  lastAnyMs(): number;
}

export interface DisturbanceOptions {
  readonly nowMs: () => number;
  readonly faults: NetworkFaults;
  readonly running: Fleet['running'];
}

/** Creates the record. */
export function createDisturbances({ nowMs, faults, running }: DisturbanceOptions): Disturbances {
  const last = new Map<Instance, number>();
  let lastAny = nowMs();
  const names = DATA_CENTRES.map((name) => dataCentreId(name));
  const isCutOff = ({ vm }: Instance): boolean => {
    const own = dataCentreId(vm.dataCentre);
    return !faults.reachesPlatform(own) || names.some((other) => faults.isCut(own, other));
  };
  return {
    observe: () => {
      for (const instance of running()) {
        const isNew = !last.has(instance);
        if (isNew || isCutOff(instance) || instance.owner.isPaused()) {
          last.set(instance, nowMs());
          lastAny = nowMs();
        }
      }
    },
    lastMs: (instance) => last.get(instance) ?? nowMs(),
    lastAnyMs: () => lastAny,
  };
}
