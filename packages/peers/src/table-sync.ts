/**
 * Full exchange of member tables: when a process starts, and when tables still differ after all
 * updates should have arrived (lost messages, a healed partition).
 */
import { monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import { decodeUpdate, encodeUpdate } from './probe-messages.js';
import type { MemberUpdate } from './probe-messages.js';
import type { Member, PeerIdentity, PeerNetwork } from './types.js';

const SYNC_TIMEOUT_MS = 1_000;

/** Bounds the traffic of full exchanges; one data centre of 57 VMs takes about 4 KB. */
const SYNC_INTERVAL_MS = 10_000;

/** Updates spread within a few probe intervals; tables that differ for less time are normal. */
const MAX_DIFFERENCE_MS = 5_000;

type Digests = Readonly<Record<string, number>>;

export interface TableSync {
  /** Takes over the members of a peer in data centres where the tables differ. */
  sync(from: PeerIdentity): Promise<boolean>;
  /**
   * Notes whether the tables were equal when a peer was heard, and takes over that of the peer when
   * no table of its data centre has been equal for a while.
   */
  compare(from: PeerIdentity, areEqual: boolean): void;
}

export interface TableSyncOptions {
  readonly network: PeerNetwork;
  readonly table: MemberTable;
  readonly metrics: MembershipMetrics;
  /** `isOldNews`: the report is known in this data centre and not to be passed on. */
  readonly onReport: (report: Member, from: PeerIdentity, isOldNews: boolean) => void;
}

/** Creates the exchange and answers `member.sync`. */
export function createTableSync(options: TableSyncOptions): TableSync {
  const { network, table, metrics } = options;
  let lastSync = -Infinity;
  // Kept by data centre: the VMs of one may agree among each other and differ from all of another.
  const differentSince = new Map<DataCentreId, number>();

  const digestAll = (): Digests =>
    Object.fromEntries(table.dataCentres().map((dc) => [dc, table.digest(dc)]));

  const listDifferent = (digests: Digests): MemberUpdate[] => {
    const differs = (dc: DataCentreId): boolean => digests[dc] !== table.digest(dc);
    const dataCentres = new Set(table.dataCentres().filter(differs));
    return table
      .all()
      .filter((member) => dataCentres.has(member.dataCentre) && member.incarnation > 0)
      .map(encodeUpdate);
  };

  /** A member that its own data centre and the VM list no longer know died during a partition. */
  const dropForgotten = (reports: readonly Member[], from: PeerIdentity): void => {
    const known = new Set(reports.map((report) => report.vm));
    if (!reports.some((report) => report.dataCentre === from.dataCentre)) return;
    for (const member of table.all()) {
      if (member.dataCentre !== from.dataCentre || member.state === 'dead') continue;
      if (known.has(member.vm) || table.isListed(member.vm)) continue;
      table.merge({ ...member, state: 'dead' });
    }
  };

  const sync = async (from: PeerIdentity): Promise<boolean> => {
    lastSync = monotonicMs();
    const result = await network.call<{ updates: MemberUpdate[] }>(
      from.vm,
      'member.sync',
      { digests: digestAll() },
      { timeoutMs: SYNC_TIMEOUT_MS },
    );
    metrics.syncs.inc({ result: result.isOk() ? 'ok' : 'failed' });
    if (result.isErr()) return false;
    const reports = result.value.updates.map(decodeUpdate);
    const isOldNews = from.dataCentre === network.self.dataCentre;
    for (const report of reports) options.onReport(report, from, isOldNews);
    if (!isOldNews) dropForgotten(reports, from);
    return true;
  };

  network.handle('member.sync', async (params) => ({
    updates: listDifferent((params as { digests: Digests }).digests),
  }));

  return {
    sync,
    compare: (from, areEqual) => {
      const now = monotonicMs();
      const since = areEqual ? now : (differentSince.get(from.dataCentre) ?? now);
      if (areEqual) differentSince.delete(from.dataCentre);
      else differentSince.set(from.dataCentre, since);
      if (now - since < MAX_DIFFERENCE_MS || now - lastSync < SYNC_INTERVAL_MS) return;
      void sync(from);
    },
  };
}
