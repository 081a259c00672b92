/**
 * Full sync of member tables. Runs when a process starts, and when tables still differ after
 * updates had time to arrive, e.g. because messages were lost or a partition healed.
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import { decodeUpdate, encodeUpdate } from './probe-messages.js';
import type { MemberUpdate } from './probe-messages.js';
import type { Member, PeerIdentity, PeerNetwork } from './types.js';

const SYNC_TIMEOUT_MS = 1_000;

/** Limits the traffic of full syncs; the table of a data centre of 57 VMs takes about 4 KB. */
const SYNC_INTERVAL_MS = 10_000;

/** Updates need a few probe intervals to spread, so a difference shorter than this is normal. */
const MAX_DIVERGENCE_MS = 5_000;

type Digests = Readonly<Record<string, number>>;

export interface TableSync {
  /**
   * Applies the peer's entries of those data centres whose digests differ; returns whether the peer
   * answered.
   */
  sync(from: PeerIdentity): Promise<boolean>;
  /**
   * Records whether the table of a peer equalled the local one. Starts a sync from the peer when no
   * table of its data centre has been equal for `MAX_DIVERGENCE_MS`.
   */
  recordComparison(from: PeerIdentity, areEqual: boolean): void;
}

export interface TableSyncOptions {
  readonly network: PeerNetwork;
  readonly table: MemberTable;
  readonly metrics: MembershipMetrics;
  /** `isKnownLocally`: the report comes from a local peer and is not passed on. */
  readonly onReport: (report: Member, from: PeerIdentity, isKnownLocally: boolean) => void;
}

/** Creates the table sync of one node and handles `member.sync`. */
export function createTableSync(options: TableSyncOptions): TableSync {
  const { network, table, metrics } = options;
  let lastSyncAt = -Infinity;
  // Kept per data centre: tables equal to those of local peers must not hide a lasting difference
  // from all tables of another data centre.
  const divergedSince = new Map<DataCentreId, number>();

  const digestAll = (): Digests =>
    Object.fromEntries(table.dataCentres().map((dc) => [dc, table.digest(dc)]));

  const encodeDivergingMembers = (digests: Digests): MemberUpdate[] => {
    const differs = (dc: DataCentreId): boolean => digests[dc] !== table.digest(dc);
    const dataCentres = new Set(table.dataCentres().filter(differs));
    return table
      .all()
      .filter((member) => dataCentres.has(member.dataCentre) && member.incarnation > 0)
      .map(encodeUpdate);
  };

  /**
   * Marks members dead that neither their own data centre nor the VM list knows any more: they died
   * and were removed there during a partition.
   */
  const markRemovedMembersDead = (reports: readonly Member[], from: PeerIdentity): void => {
    const reportedVms = new Set(reports.map((report) => report.vm));
    if (!reports.some((report) => report.dataCentre === from.dataCentre)) return;
    for (const member of table.all()) {
      if (member.dataCentre !== from.dataCentre || member.state === 'dead') continue;
      if (reportedVms.has(member.vm) || table.isListed(member.vm)) continue;
      table.merge({ ...member, state: 'dead' });
    }
  };

  const sync = async (from: PeerIdentity): Promise<boolean> => {
    lastSyncAt = monotonicMs();
    const result = await network.call<{ updates: MemberUpdate[] }>(
      from.vm,
      'member.sync',
      { digests: digestAll() },
      { timeoutMs: SYNC_TIMEOUT_MS },
    );
    metrics.syncs.inc({ result: result.isOk() ? 'ok' : 'failed' });
    if (result.isErr()) return false;
    const reports = result.value.updates.map(decodeUpdate);
    const isKnownLocally = from.dataCentre === network.self.dataCentre;
    for (const report of reports) options.onReport(report, from, isKnownLocally);
    if (!isKnownLocally) markRemovedMembersDead(reports, from);
    return true;
  };

  network.handle('member.sync', async (params) => ({
    updates: encodeDivergingMembers((params as { digests: Digests }).digests),
  }));

  return {
    sync,
    recordComparison: (from, areEqual) => {
      const now = monotonicMs();
      const since = areEqual ? now : (divergedSince.get(from.dataCentre) ?? now);
      if (areEqual) divergedSince.delete(from.dataCentre);
      else divergedSince.set(from.dataCentre, since);
      if (now - since < MAX_DIVERGENCE_MS || now - lastSyncAt < SYNC_INTERVAL_MS) return;
      void sync(from);
    },
  };
}
