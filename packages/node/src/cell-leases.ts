/** Holds a lease in the platform's object store for each cell that this node owns. */
import { repeatUntilAborted } from '@hibiscusbank/core';
import type { CellId, Telemetry, VmId } from '@hibiscusbank/core';
import { createLease } from '@hibiscusbank/object-api';
import type { Lease, ObjectApi } from '@hibiscusbank/object-api';

const CHECK_INTERVAL_MS = 1_000;

export interface CellLeasesOptions {
  readonly self: VmId;
  readonly objectApi: ObjectApi;
  readonly telemetry: Telemetry;
  /** Returns the cells that this node currently owns. */
  readonly listOwnedCells: () => readonly CellId[];
}

export interface CellLeases {
  /** Returns the fencing token of the cell's lease, or `undefined` unless this node holds it. */
  epochIfHeld(cell: CellId): number | undefined;
  start(): void;
  /** Releases all leases, so that the next owners need not wait until they expire. */
  stop(): Promise<void>;
}

/** Creates the leases of a node. None is acquired before `start`. */
export function createCellLeases(options: CellLeasesOptions): CellLeases {
  const { objectApi, telemetry, self } = options;
  const leases = new Map<CellId, Lease>();
  const stopController = new AbortController();

  const acquire = (cell: CellId): void => {
    const key = `leases/${cell}`;
    const lease = createLease({ objectApi, key, holder: self, telemetry });
    leases.set(cell, lease);
    lease.acquire();
  };

  const updateLeases = async (): Promise<void> => {
    const owned = new Set(options.listOwnedCells());
    for (const [cell, lease] of leases) {
      if (owned.has(cell)) continue;
      leases.delete(cell);
      void lease.release();
    }
    for (const cell of owned) {
      if (!leases.has(cell)) acquire(cell);
    }
  };

  return {
    epochIfHeld: (cell) => leases.get(cell)?.epochIfHeld(),
    start: () => {
      void repeatUntilAborted(stopController.signal, () => CHECK_INTERVAL_MS, updateLeases);
    },
    stop: async () => {
      stopController.abort();
      const allLeases = [...leases.values()];
      leases.clear();
      await Promise.all(allLeases.map((lease) => lease.release()));
    },
  };
}
