/** Queries of engine reconciliation and role balancing to the owner of cells. */
import type { DataCentreId } from '@hibiscusbank/core';
import { monotonicMs } from '@hibiscusbank/core';
import type { Cell } from './cell.js';
import type { CellHost } from './cell-host.js';
import { canDecode, canPrefill } from './partition.js';
import { countSlots } from './wait-estimate.js';
import type { Topology } from './topology.js';
import type { OwnerQueries, RoleBacklogs } from './types.js';

function describeBacklogs(cell: Cell): RoleBacklogs {
  const now = monotonicMs();
  const waiting = cell.waiting.queue.entries();
  const states = cell.state.upstreams().filter((state) => !state.outOfService);
  const prefills = states.filter((state) => canPrefill(state.entry));
  const decodes = states.filter((state) => canDecode(state.entry));
  const pendingMs = prefills.reduce((sum, state) => sum + state.prefills.remainingMs(now), 0);
  const waitingMs = waiting.reduce((sum, entry) => sum + entry.prefillMs, 0);
  const { free, slots } = countSlots(decodes, { holdsLease: true, hasColdShare: true });
  const holdMs = cell.estimates.holdMs();
  return {
    prefillMs: prefills.length === 0 ? Infinity : (pendingMs + waitingMs) / prefills.length,
    decodeMs:
      slots === 0 ? Infinity : (Math.max(0, slots - free + waiting.length) * holdMs) / slots,
  };
}

/** Creates the queries on the cells that this VM owns. */
export function createOwnerQueries(
  host: CellHost,
  topology: Topology,
  dataCentre: DataCentreId,
): OwnerQueries {
  return {
    hasGrant: (requestId, attempt) =>
      host.hosted().some(({ cell }) => cell.state.grantOfAttempt(requestId, attempt) !== undefined),
    releaseAttempt: (requestId, attempt, report) => {
      for (const { cell } of host.hosted()) {
        const record = cell.state.grantOfAttempt(requestId, attempt);
        if (record !== undefined) cell.release(record.allocation.grant.id, report);
      }
    },
    backlogs: (id) => {
      const hosted = host.find(id);
      return hosted === undefined ? undefined : describeBacklogs(hosted.cell);
    },
    listCells: () =>
      topology.cellsIn(dataCentre).map((plan) => ({
        id: plan.id,
        pool: plan.pool.id,
        upstreams: plan.upstreams,
        owner: topology.findOwner(plan),
        isOwned: host.hosted().some(({ cell, ready }) => ready && cell.plan().id === plan.id),
      })),
  };
}
