/** Membership updates waiting to be sent along with probes. */
import type { VmId } from '@hibiscusbank/core';

/** Maximum number of updates in one message. */
export const MAX_UPDATES = 8;

/** Each update is sent this many times per doubling of the number of receivers. */
const SENDS_PER_DOUBLING = 3;

export interface UpdateQueue {
  /** Queues a VM whose entry changed; the count of earlier sends restarts at 0. */
  add(vm: VmId): void;
  /** Returns up to `limit` VMs, least sent first, counts the send, and drops those sent enough. */
  take(limit: number): readonly VmId[];
}

/** Creates the queue. `countMembers` returns the number of nodes that an update has to reach. */
export function createUpdateQueue(countMembers: () => number): UpdateQueue {
  const sendCounts = new Map<VmId, number>();
  return {
    add: (vm) => {
      sendCounts.delete(vm);
      sendCounts.set(vm, 0);
    },
    take: (limit) => {
      const maxSends = SENDS_PER_DOUBLING * Math.ceil(Math.log2(countMembers() + 2));
      const selected = [...sendCounts].sort((a, b) => a[1] - b[1]).slice(0, limit);
      for (const [vm, sent] of selected) {
        if (sent + 1 >= maxSends) sendCounts.delete(vm);
        else sendCounts.set(vm, sent + 1);
      }
      return selected.map(([vm]) => vm);
    },
  };
}
