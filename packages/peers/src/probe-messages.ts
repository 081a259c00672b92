/** Contents of probes and their replies. */
import { hash32 } from '@hibiscusbank/core';
import type { DataCentreId, VmId } from '@hibiscusbank/core';
import type { DataCentreAges, DataCentreContacts } from './data-centre-ages.js';
import type { MemberTable } from './member-table.js';
import type { SelfRecord } from './self-record.js';
import type { Member, MemberState, PeerIdentity, ProbePayload } from './types.js';
import { MAX_UPDATES } from './update-queue.js';
import type { UpdateQueue } from './update-queue.js';

/** Entry of a member on the wire: VM, data centre, address, state, incarnation. */
export type MemberUpdate = readonly [string, string, string, MemberState, number];

export interface ProbeMessage {
  readonly updates: readonly MemberUpdate[];
  /** Hash of the sender's member table. */
  readonly digest: number;
  /** Time since the last contact with each data centre other than the sender's. */
  readonly ages: DataCentreAges;
  readonly payloads: Readonly<Record<string, unknown>>;
}

export const encodeUpdate = (member: Member): MemberUpdate => [
  member.vm,
  member.dataCentre,
  member.peerAddress,
  member.state,
  member.incarnation,
];

export const decodeUpdate = ([vm, dc, peerAddress, state, incarnation]: MemberUpdate): Member => ({
  vm: vm as VmId,
  dataCentre: dc as DataCentreId,
  peerAddress,
  state,
  incarnation,
});

export interface ProbeMessagesOptions {
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly selfRecord: SelfRecord;
  readonly contacts: DataCentreContacts;
  readonly payloads: readonly ProbePayload[];
  /** Called with every received report, including those about this VM. */
  readonly onReport: (report: Member, from: PeerIdentity) => void;
  /** Called for every received message; `areEqual`: the sender's table equals the local one. */
  readonly onCompared: (from: PeerIdentity, areEqual: boolean) => void;
}

export interface ProbeMessages {
  /** Builds the probe or reply for a peer. */
  compose(to: PeerIdentity): ProbeMessage;
  /** Applies a received probe or reply. */
  handle(message: ProbeMessage, from: PeerIdentity): void;
}

/** Hashes the whole table without the data centres of which all members are dead. */
function digestTable(table: MemberTable): number {
  return hash32(
    table
      .dataCentres()
      .map((dataCentre) => [dataCentre, table.digest(dataCentre)])
      .filter(([, digest]) => digest !== 0)
      .join(' '),
  );
}

/** Creates the encoder and handler of one node's probe messages. */
export function createProbeMessages(options: ProbeMessagesOptions): ProbeMessages {
  const { table, queue, contacts, payloads } = options;
  const localDataCentre = options.selfRecord.get().dataCentre;

  const selectPayloads = (peer: PeerIdentity): ProbePayload[] => {
    const scope = peer.dataCentre === localDataCentre ? 'local' : 'remote';
    return payloads.filter((payload) => payload.scope === 'all' || payload.scope === scope);
  };

  /**
   * Selects this node's entry, the receiver's entry if its state is not `live`, so that the receiver
   * can refute it, and queued updates.
   */
  const selectUpdates = (to: PeerIdentity): MemberUpdate[] => {
    const selfMember = options.selfRecord.get();
    const chosen = new Map<VmId, Member>([[selfMember.vm, selfMember]]);
    const receiver = table.get(to.vm);
    if (receiver !== undefined && receiver.incarnation > 0 && receiver.state !== 'live') {
      chosen.set(receiver.vm, receiver);
    }
    for (const vm of queue.take(MAX_UPDATES - chosen.size)) {
      const member = table.get(vm);
      if (member !== undefined) chosen.set(vm, member);
    }
    return [...chosen.values()].map(encodeUpdate);
  };

  return {
    compose: (to) => ({
      updates: selectUpdates(to),
      digest: digestTable(table),
      ages: contacts.exportAges(),
      payloads: Object.fromEntries(
        selectPayloads(to)
          .map((payload) => [payload.name, payload.read()] as const)
          .filter(([, value]) => value !== undefined),
      ),
    }),
    handle: (message, from) => {
      if (from.dataCentre === localDataCentre) contacts.mergeAges(message.ages);
      else contacts.recordContact(from.dataCentre);
      for (const update of message.updates) options.onReport(decodeUpdate(update), from);
      for (const payload of selectPayloads(from)) {
        const value = message.payloads[payload.name];
        if (value !== undefined) payload.receive(value, from);
      }
      options.onCompared(from, message.digest === digestTable(table));
    },
  };
}
