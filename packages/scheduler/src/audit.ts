/** Finds grants whose node no longer has them, after lost state on either side. */
import { monotonicMs } from '@hibiscusbank/core';
import type { GrantId, VmId } from '@hibiscusbank/core';
import type { Cell } from './cell.js';
import type { GrantRecord } from './cell-state.js';
import { CALL_TIMEOUT_MS } from './messages.js';
import type { AuditParams, AuditReply } from './messages.js';
import type { PeerCalls } from './peer-calls.js';

/** Most requests end within this time, so that few grants are ever asked about. */
export const AUDIT_INTERVAL_MS = 20_000;
/**
 * Collected grants are asked about early: a release that reached the previous owner after the
 * collection is unknown to the next one.
 */
export const COLLECTED_AUDIT_MS = 3_000;

/** Creates the audit; call it often, it asks only about grants that are due. */
export function createAudit(calls: PeerCalls): (cell: Cell) => void {
  const askHolder = async (
    cell: Cell,
    holder: VmId,
    records: readonly GrantRecord[],
  ): Promise<void> => {
    const params: AuditParams = { grants: records.map((record) => record.filed.grant.id) };
    const reply = await calls.call<AuditReply>(holder, 'cell.audit', params, CALL_TIMEOUT_MS);
    if (reply.isErr()) return;
    const unknown = new Set<GrantId>(reply.value.unknown);
    const now = monotonicMs();
    for (const record of records) {
      const { id } = record.filed.grant;
      // A resuming node may have adopted the grant in the meantime.
      const isCurrent = cell.state.grant(id) === record && record.holder === holder;
      if (isCurrent && unknown.has(id)) record.abandonedAt ??= now;
    }
  };

  return (cell) => {
    const now = monotonicMs();
    const due = new Map<VmId, GrantRecord[]>();
    for (const record of cell.state.grants()) {
      if (record.abandonedAt !== undefined || now < record.auditAt) continue;
      record.auditAt = now + AUDIT_INTERVAL_MS;
      due.set(record.holder, [...(due.get(record.holder) ?? []), record]);
    }
    for (const [holder, records] of due) void askHolder(cell, holder, records);
  };
}
