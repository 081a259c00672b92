/** The node's own entry in the membership, which only the node itself may raise. */
import type { Telemetry } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import type { Member, PeerIdentity } from './types.js';
import type { UpdateQueue } from './update-queue.js';

export interface SelfRecord {
  get(): Member;
  setState(state: 'live' | 'leaving'): void;
  /**
   * Takes the address of the VM list when this process listens on all addresses and thus does not
   * know the one at which peers reach it.
   */
  learnAddress(listed: string): void;
  /** Answers a report about this node; returns whether it had to be refuted. */
  hear(report: Member): boolean;
}

/** Whether an address stands for all addresses of its host. */
export function isUnspecified(address: string): boolean {
  return /^(?:0\.0\.0\.0|\[?::\]?):\d+$/u.test(address);
}

export interface SelfRecordOptions {
  readonly self: PeerIdentity;
  readonly address: string;
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly telemetry: Telemetry;
  readonly metrics: MembershipMetrics;
}

/** Creates the entry. A new process starts above its predecessor by the time of its start. */
export function createSelfRecord(options: SelfRecordOptions): SelfRecord {
  const { table, queue, telemetry, metrics } = options;
  let record: Member = {
    ...options.self,
    peerAddress: options.address,
    state: 'live',
    incarnation: Date.now(),
  };

  const publish = (next: Member): void => {
    record = next;
    table.merge(record);
    queue.add(record.vm);
  };

  return {
    get: () => record,
    setState: (state) => publish({ ...record, state, incarnation: record.incarnation + 1 }),
    learnAddress: (listed) => {
      if (!isUnspecified(record.peerAddress) || isUnspecified(listed)) return;
      publish({ ...record, peerAddress: listed, incarnation: record.incarnation + 1 });
    },
    hear: (report) => {
      const isOlder = report.incarnation < record.incarnation;
      const isSame = report.incarnation === record.incarnation && report.state === record.state;
      // A live report of the same incarnation precedes the announcement that this VM leaves.
      const isPrecursor = report.incarnation === record.incarnation && report.state === 'live';
      if (isOlder || isSame || isPrecursor) return false;
      metrics.refutations.inc();
      telemetry.log('memberReportRefuted', {
        state: report.state,
        incarnation: report.incarnation,
      });
      publish({ ...record, incarnation: report.incarnation + 1 });
      return true;
    },
  };
}
