/** Which VMs are live. */
import { monotonicMs, repeatUntilAborted } from '@hibiscusbank/core';
import type { DataCentreId, Telemetry, VmId } from '@hibiscusbank/core';
import type { ListedVm, VmList } from '@hibiscusbank/platform';
import type { Member, Membership, PeerIdentity } from './types.js';

const LIST_INTERVAL_MS = 2_000;

export interface MembershipOptions {
  readonly self: PeerIdentity;
  readonly selfAddress: string;
  readonly vmList: VmList;
  readonly telemetry: Telemetry;
}

/** Creates the membership of one node. */
export function createMembership(options: MembershipOptions): Membership {
  const members = new Map<VmId, Member>();
  const listeners = new Set<(member: Member) => void>();
  const stopping = new AbortController();
  let listed: readonly VmId[] | undefined;
  let lastContact = monotonicMs();

  const update = (member: Member): void => {
    const previous = members.get(member.vm);
    members.set(member.vm, member);
    if (previous?.state === member.state) return;
    options.telemetry.log('memberStateChanged', { member: member.vm, state: member.state });
    for (const listener of listeners) listener(member);
  };

  const applyList = (vms: readonly ListedVm[]): void => {
    lastContact = monotonicMs();
    listed = vms.map((vm) => vm.id);
    for (const vm of vms) {
      if (vm.id === options.self.vm) continue;
      update({
        vm: vm.id,
        dataCentre: vm.dataCentre,
        peerAddress: vm.peerAddress,
        state: vm.state,
      });
    }
  };

  const readList = async (): Promise<void> => {
    const result = await options.vmList.read();
    result.match(applyList, (error) => {
      options.telemetry.log('vmListUnavailable', { error: error.message });
    });
  };

  const setSelf = (state: Member['state']): void => {
    update({ ...options.self, peerAddress: options.selfAddress, state });
  };

  const listLive = (dataCentre: DataCentreId): readonly VmId[] =>
    [...members.values()]
      .filter((member) => member.dataCentre === dataCentre)
      .filter((member) => member.state === 'live' || member.state === 'suspect')
      .map((member) => member.vm)
      .sort();

  return {
    self: options.self,
    listLive,
    members: () => [...members.values()],
    find: (vm) => members.get(vm),
    listedVms: () => listed,
    lastContactMs: () => lastContact,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    start: async () => {
      setSelf('live');
      await readList();
      void repeatUntilAborted(stopping.signal, () => LIST_INTERVAL_MS, readList);
    },
    leave: async () => setSelf('leaving'),
    stop: async () => stopping.abort(),
  };
}
