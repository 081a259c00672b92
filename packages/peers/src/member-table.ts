/** Member table of one node, with the rules by which reports about a VM supersede each other. */
import { hash32, monotonicMs } from '@hibiscusbank/core';
import type { DataCentreId, Telemetry, VmId } from '@hibiscusbank/core';
import type { ListedVm } from '@hibiscusbank/object-api';
import type { Member, MemberState } from './types.js';

/** Dead members are kept for this time so that delayed reports do not mark them live again. */
const DEAD_RETENTION_MS = 600_000;

/** Among reports of the same incarnation, only a higher rank supersedes. */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  live: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

export interface MemberTable {
  get(vm: VmId): Member | undefined;
  all(): readonly Member[];
  /** Members that may own work, sorted by id. */
  listLive(dataCentre: DataCentreId): readonly VmId[];
  /** Applies a report if it supersedes the known entry; returns whether it was applied. */
  merge(report: Member): boolean;
  /**
   * Adds the VMs of the platform's list as dead members until they are contacted. Removes dead
   * members that are not listed and were never contacted or died `DEAD_RETENTION_MS` ago.
   */
  applyList(vms: readonly ListedVm[]): void;
  isListed(vm: VmId): boolean;
  /** Hash of the members of a data centre, without dead ones; 0 if there are none. */
  digest(dataCentre: DataCentreId): number;
  /** Data centres of all members, sorted. */
  dataCentres(): readonly DataCentreId[];
  onChange(listener: (member: Member) => void): () => void;
}

interface DataCentreSummary {
  readonly digest: number;
  readonly count: number;
}

function supersedes(report: Member, known: Member): boolean {
  if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation;
  return STATE_RANK[report.state] > STATE_RANK[known.state];
}

/** Hashes one member. `suspect` counts as `live`: a short suspicion must not make tables differ. */
function digestMember({ vm, state, incarnation }: Member): number {
  if (state === 'dead') return 0;
  return hash32(`${vm} ${state === 'leaving' ? state : 'live'} ${incarnation}`);
}

/** Creates the member table of one node. */
export function createMemberTable(telemetry: Telemetry): MemberTable {
  const members = new Map<VmId, Member>();
  // Updated incrementally, because every probe message carries a digest of the whole table.
  const summaries = new Map<DataCentreId, DataCentreSummary>();
  const diedAt = new Map<VmId, number>();
  const listeners = new Set<(member: Member) => void>();
  let listed: ReadonlySet<VmId> = new Set();

  const listLive = (dataCentre: DataCentreId): readonly VmId[] =>
    [...members.values()]
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.state === 'live' || member.state === 'suspect')
      .map((member) => member.vm)
      .sort();

  const updateSummary = (member: Member, countChange: number): void => {
    const { digest, count } = summaries.get(member.dataCentre) ?? { digest: 0, count: 0 };
    const next = {
      // eslint-disable-next-line no-bitwise
      digest: (digest ^ digestMember(member)) >>> 0,
      count: count + countChange,
    };
    if (next.count === 0) summaries.delete(member.dataCentre);
    else summaries.set(member.dataCentre, next);
  };

  const remove = (vm: VmId): void => {
    const known = members.get(vm);
    if (known !== undefined) updateSummary(known, -1);
    members.delete(vm);
  };

  const upsert = (member: Member): void => {
    remove(member.vm);
    members.set(member.vm, member);
    updateSummary(member, 1);
  };

  const publishChange = (member: Member): void => {
    const { vm, state, incarnation, dataCentre } = member;
    telemetry.log('memberStateChanged', { member: vm, state, incarnation });
    const live = listLive(dataCentre).length;
    telemetry.metrics.liveMembers.set({ data_centre: dataCentre }, live);
    for (const listener of listeners) listener(member);
  };

  const merge = (report: Member): boolean => {
    const known = members.get(report.vm);
    if (known !== undefined && !supersedes(report, known)) return false;
    telemetry.invariants.check(
      known === undefined || report.incarnation >= known.incarnation,
      'member_incarnation_monotonic',
      () => `VM ${report.vm} from ${known?.incarnation} to ${report.incarnation}`,
    );
    upsert(report);
    if (report.state === 'dead') diedAt.set(report.vm, monotonicMs());
    else diedAt.delete(report.vm);
    publishChange(report);
    return true;
  };

  const removeExpiredDead = (): void => {
    const retentionStart = monotonicMs() - DEAD_RETENTION_MS;
    for (const { vm, state, incarnation } of members.values()) {
      if (state !== 'dead' || listed.has(vm)) continue;
      if (incarnation > 0 && (diedAt.get(vm) ?? 0) > retentionStart) continue;
      remove(vm);
      diedAt.delete(vm);
    }
  };

  return {
    get: (vm) => members.get(vm),
    all: () => [...members.values()],
    listLive,
    merge,
    applyList: (vms) => {
      listed = new Set(vms.map((vm) => vm.id));
      for (const { id, dataCentre, peerAddress } of vms) {
        const known = members.get(id);
        // A dead member listed with a new address may have been restarted there.
        if (known !== undefined && (known.state !== 'dead' || known.peerAddress === peerAddress)) {
          continue;
        }
        const incarnation = known?.incarnation ?? 0;
        upsert({ vm: id, dataCentre, peerAddress, state: 'dead', incarnation });
      }
      removeExpiredDead();
    },
    isListed: (vm) => listed.has(vm),
    digest: (dataCentre) => summaries.get(dataCentre)?.digest ?? 0,
    dataCentres: () => [...summaries.keys()].sort(),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
