/** This node's entry in the member table. Only the node itself may raise its incarnation. */
import type { Telemetry } from '@hibiscusbank/core';
import type { MemberTable } from './member-table.js';
import type { MembershipMetrics } from './metrics.js';
import type { Member, PeerIdentity } from './types.js';
import type { UpdateQueue } from './update-queue.js';

export interface SelfRecord {
  get(): Member;
  /** Publishes a new state under the next incarnation. */
  setState(state: 'live' | 'leaving'): void;
  /**
   * Adopts the address from the VM list if this process listens on all addresses and so cannot know
   * the one at which peers reach it.
   */
  adoptListedAddress(listed: string): void;
  /** Refutes a report about this node if it is wrong; returns whether it was refuted. */
  handleReport(report: Member): boolean;
}

/** Returns whether an address is a wildcard such as `0.0.0.0:1` or `[::]:1`. */
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

/**
 * Creates the entry. The wall clock at the start is the first incarnation, so that a new process
 * supersedes its predecessor on the same VM.
 */
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
    adoptListedAddress: (listed) => {
      if (!isUnspecified(record.peerAddress) || isUnspecified(listed)) return;
      publish({ ...record, peerAddress: listed, incarnation: record.incarnation + 1 });
    },
    handleReport: (report) => {
      const isOlder = report.incarnation < record.incarnation;
      const isSame = report.incarnation === record.incarnation && report.state === record.state;
      // A `live` report supersedes no entry of the same incarnation, so it needs no refutation.
      const precedesLeaving = report.incarnation === record.incarnation && report.state === 'live';
      if (isOlder || isSame || precedesLeaving) return false;
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
