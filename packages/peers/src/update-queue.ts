/** Membership updates waiting to be sent along with probes. */
import type { VmId } from '@hibiscusbank/core';

/** Updates in one message. */
export const MAX_UPDATES = 8;

/** Each update is sent this often times the logarithm of the number of receivers. */
const SENDS_PER_DOUBLING = 3;

export interface UpdateQueue {
  /** Queues the current state of a VM; replaces what was queued for it. */
  add(vm: VmId): void;
  /** Takes up to `limit` VMs, those sent least often first. */
  take(limit: number): readonly VmId[];
}

/** Creates the queue; `countMembers` tells how many nodes an update has to reach. */
export function createUpdateQueue(countMembers: () => number): UpdateQueue {
  const sends = new Map<VmId, number>();
  return {
    add: (vm) => {
      sends.delete(vm);
      sends.set(vm, 0);
    },
    take: (limit) => {
      const enough = SENDS_PER_DOUBLING * Math.ceil(Math.log2(countMembers() + 2));
      const taken = [...sends].sort((a, b) => a[1] - b[1]).slice(0, limit);
      for (const [vm, sent] of taken) {
        if (sent + 1 >= enough) sends.delete(vm);
        else sends.set(vm, sent + 1);
      }
      return taken.map(([vm]) => vm);
    },
  };
}
