/** Keeps a lease on the platform for every cell that this node owns. */
import { repeatUntilAborted } from '@hibiscusbank/core';
import type { CellId, Telemetry, VmId } from '@hibiscusbank/core';
import { createLease } from '@hibiscusbank/object-api';
import type { Lease, ObjectApi } from '@hibiscusbank/object-api';

const CHECK_INTERVAL_MS = 1_000;

export interface CellLeasesOptions {
  readonly self: VmId;
  readonly objectApi: ObjectApi;
  readonly telemetry: Telemetry;
  /** Cells that this node owns now. */
  readonly listOwned: () => readonly CellId[];
}

export interface CellLeases {
  /** Fencing token while this node holds the cell's lease. */
  epochIfHeld(cell: CellId): number | undefined;
  start(): void;
  /** Gives all leases up, so that the next owners need not wait for their expiry. */
  stop(): Promise<void>;
}

/** Creates the leases of a node. */
export function createCellLeases(options: CellLeasesOptions): CellLeases {
  const { objectApi, telemetry, self } = options;
  const leases = new Map<CellId, Lease>();
  const stopping = new AbortController();

  const acquire = (cell: CellId): void => {
    const key = `leases/${cell}`;
    const lease = createLease({ objectApi, key, holder: self, telemetry });
    leases.set(cell, lease);
    lease.acquire();
  };

  const followOwnership = async (): Promise<void> => {
    const owned = new Set(options.listOwned());
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
      void repeatUntilAborted(stopping.signal, () => CHECK_INTERVAL_MS, followOwnership);
    },
    stop: async () => {
      stopping.abort();
      const held = [...leases.values()];
      leases.clear();
      await Promise.all(held.map((lease) => lease.release()));
    },
  };
}
