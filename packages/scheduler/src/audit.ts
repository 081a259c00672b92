/** Detects grants that their holder no longer has, after a loss of state on either side. */
import { monotonicMs } from '@hibiscusbank/core';
import type { GrantId, VmId } from '@hibiscusbank/core';
import type { Cell } from './cell.js';
import type { GrantRecord } from './cell-state.js';
import { CALL_TIMEOUT_MS } from './messages.js';
import type { AuditParams, AuditReply } from './messages.js';
import type { PeerCalls } from './peer-calls.js';

/** Most requests end within this time, so few grants are ever audited. */
export const AUDIT_INTERVAL_MS = 20_000;
/**
 * Collected grants are audited early, because the new owner does not see a release that reached the
 * previous owner after the collection.
 */
export const COLLECTED_AUDIT_MS = 3_000;

/** Creates the audit function; each call asks only about grants that are due. */
export function createAudit(calls: PeerCalls): (cell: Cell) => void {
  const askHolder = async (
    cell: Cell,
    holder: VmId,
    records: readonly GrantRecord[],
  ): Promise<void> => {
    const params: AuditParams = { grants: records.map((record) => record.allocation.grant.id) };
    const reply = await calls.call<AuditReply>(holder, 'cell.audit', params, CALL_TIMEOUT_MS);
    if (reply.isErr()) return;
    const unknown = new Set<GrantId>(reply.value.unknown);
    const now = monotonicMs();
    for (const record of records) {
      const { id } = record.allocation.grant;
      // A resuming node may have adopted the grant in the meantime.
      const isCurrent = cell.state.grant(id) === record && record.holder === holder;
      if (isCurrent && unknown.has(id)) record.abandonedAt ??= now;
    }
  };

  return (cell) => {
    const now = monotonicMs();
    const dueByHolder = new Map<VmId, GrantRecord[]>();
    for (const record of cell.state.grants()) {
      if (record.abandonedAt !== undefined || now < record.auditAt) continue;
      record.auditAt = now + AUDIT_INTERVAL_MS;
      dueByHolder.set(record.holder, [...(dueByHolder.get(record.holder) ?? []), record]);
    }
    for (const [holder, records] of dueByHolder) void askHolder(cell, holder, records);
  };
}
